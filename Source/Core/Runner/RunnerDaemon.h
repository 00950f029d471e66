#pragma once

#include <cstdint>
#include <memory>

#include "Schema/Schema.h"

namespace Runner {

/// A running agent for transient jobs. One control thread owns all state; HTTP and WebSocket
/// threads send it messages and carry out its effects.
class RunnerDaemon
{
public:
    ~RunnerDaemon();
    RunnerDaemon(const RunnerDaemon &) = delete;
    RunnerDaemon &operator=(const RunnerDaemon &) = delete;

    std::uint16_t metricsPort() const;

    /// Begins a graceful stop. Safe from any thread.
    void requestStop();
    /// Runs the control thread's loop until the stop is complete or its timeout has passed. Returns
    /// false if runs, or ends that were not acknowledged, were left by then.
    bool run();

private:
    friend class RunnerDaemonBuilder;
    struct Implementation;
    explicit RunnerDaemon(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

class RunnerDaemonBuilder
{
public:
    RunnerDaemonBuilder &settings(Schema::TransientAgentSettings settings);
    /// Listens and starts the network threads. Throws std::runtime_error if it cannot listen on an
    /// address.
    std::unique_ptr<RunnerDaemon> build();

private:
    Schema::TransientAgentSettings chosen;
};

} // namespace Runner
