#pragma once

#include <cstdint>
#include <memory>

#include "Schema/Schema.h"

namespace Agent {

/// A running agent. One control thread owns all state. HTTP and WebSocket threads post messages to
/// it and perform its effects.
class AgentDaemon
{
public:
    ~AgentDaemon();
    AgentDaemon(const AgentDaemon &) = delete;
    AgentDaemon &operator=(const AgentDaemon &) = delete;

    /// Port on which /metrics, /health and /ready are served.
    std::uint16_t metricsPort() const;

    /// Requests a graceful stop. May be called from any thread.
    void requestStop();
    /// Runs the control thread's loop until the stop is complete or has timed out. Returns false
    /// if, at the end, a task is still running or a final state is not acknowledged.
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
    /// Starts the metrics server and the network threads. Throws std::runtime_error if the metrics
    /// server cannot listen on its address.
    std::unique_ptr<AgentDaemon> build();

private:
    Schema::AgentSettings chosen;
};

} // namespace Agent
