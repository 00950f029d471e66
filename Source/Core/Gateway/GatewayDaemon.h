#pragma once

#include <cstdint>
#include <memory>

#include "Schema/Schema.h"

namespace Gateway {

/// A running gateway. One control thread owns all state; HTTP, WebSocket and log threads hand it
/// messages and carry out its effects.
class GatewayDaemon
{
public:
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    std::uint16_t httpPort() const;
    std::uint16_t peerPort() const;

    /// Begins a graceful stop: shards are handed over and every request owed is answered. Safe from
    /// any thread.
    void requestStop();
    /// Runs the control thread's loop until the stop is complete or its time is over. Returns false
    /// where the time ran out.
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
    /// Listens on its ports and starts its traffic threads. Throws std::runtime_error where an
    /// address cannot be had.
    std::unique_ptr<GatewayDaemon> build();

private:
    Schema::GatewaySettings chosenSettings;
};

} // namespace Gateway
