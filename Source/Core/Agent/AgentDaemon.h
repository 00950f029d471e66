#pragma once

#include <cstdint>
#include <memory>

#include "Schema/Schema.h"

namespace Agent {

/// A running agent. One control thread owns all state; HTTP and WebSocket threads hand it messages
/// and carry out its effects.
class AgentDaemon
{
public:
    ~AgentDaemon();
    AgentDaemon(const AgentDaemon &) = delete;
    AgentDaemon &operator=(const AgentDaemon &) = delete;

    /// Where /metrics, /health and /ready are served.
    std::uint16_t metricsPort() const;

    /// Begins a graceful stop. Safe from any thread.
    void requestStop();
    /// Runs the control thread's loop until the stop is complete or its time is over. Returns false
    /// where the time ran out: a task still ran, or an outcome was not acknowledged.
    bool run();

private:
    friend class AgentDaemonBuilder;
    struct Implementation;
    explicit AgentDaemon(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

class AgentDaemonBuilder
{
public:
    AgentDaemonBuilder &settings(Schema::AgentSettings settings);
    /// Listens for metrics and starts the traffic threads. Throws std::runtime_error where the
    /// address cannot be had.
    std::unique_ptr<AgentDaemon> build();

private:
    Schema::AgentSettings chosen;
};

} // namespace Agent
