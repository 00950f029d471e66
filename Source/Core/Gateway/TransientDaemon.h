#pragma once

#include <cstdint>
#include <memory>

#include "Schema/Schema.h"

namespace Gateway {

/// A running gateway for transient jobs. One control thread owns all state; HTTP, WebSocket and
/// store threads hand it messages and carry out its effects.
class TransientDaemon
{
public:
    ~TransientDaemon();
    TransientDaemon(const TransientDaemon &) = delete;
    TransientDaemon &operator=(const TransientDaemon &) = delete;

    std::uint16_t callerPort() const;
    std::uint16_t metricsPort() const;

    /// Begins a graceful stop. Safe from any thread.
    void requestStop();
    /// Runs the control thread's loop until the stop is complete or its time is over. Returns false
    /// where a request was still open.
    bool run();

private:
    friend class TransientDaemonBuilder;
    struct Implementation;
    explicit TransientDaemon(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

class TransientDaemonBuilder
{
public:
    TransientDaemonBuilder &settings(Schema::TransientGatewaySettings settings);
    /// Listens and starts the traffic threads. Throws std::runtime_error where an address cannot be
    /// had.
    std::unique_ptr<TransientDaemon> build();

private:
    Schema::TransientGatewaySettings chosenSettings;
};

} // namespace Gateway
