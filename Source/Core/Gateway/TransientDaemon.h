#pragma once

#include <cstdint>
#include <memory>

#include "Schema/Schema.h"

namespace Gateway {

/// A running gateway for transient jobs. One control thread owns all state; HTTP, WebSocket and
/// store threads post messages to it and carry out its effects.
class TransientDaemon
{
public:
    ~TransientDaemon();
    TransientDaemon(const TransientDaemon &) = delete;
    TransientDaemon &operator=(const TransientDaemon &) = delete;

    std::uint16_t callerPort() const;
    std::uint16_t metricsPort() const;

    /// Requests a graceful stop. May be called from any thread.
    void requestStop();
    /// Runs the control loop until the stop is complete or its timeout has expired. Returns false
    /// if a request was still open.
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
    /// Starts to listen and starts the traffic threads. Throws std::runtime_error if it cannot
    /// listen on an address.
    std::unique_ptr<TransientDaemon> build();

private:
    Schema::TransientGatewaySettings chosenSettings;
};

} // namespace Gateway
