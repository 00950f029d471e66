#pragma once

#include <cstdint>
#include <memory>

#include "Schema/Schema.h"

namespace Gateway {

/// A running gateway. One control thread owns all state; HTTP, WebSocket and log threads post
/// messages to it and carry out its effects.
class GatewayDaemon
{
public:
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    std::uint16_t httpPort() const;
    std::uint16_t peerPort() const;

    /// Requests a graceful stop: shards are handed over and every open request is answered. May be
    /// called from any thread.
    void requestStop();
    /// Runs the control loop until the stop is complete or its timeout has expired. Returns false
    /// if the timeout has expired.
    bool run();

private:
    friend class GatewayDaemonBuilder;
    struct Implementation;
    explicit GatewayDaemon(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

class GatewayDaemonBuilder
{
public:
    GatewayDaemonBuilder &settings(Schema::GatewaySettings settings);
    /// Starts to listen on the ports and starts the traffic threads. Throws std::runtime_error if
    /// it cannot listen on an address.
    std::unique_ptr<GatewayDaemon> build();

private:
    Schema::GatewaySettings chosenSettings;
};

} // namespace Gateway
