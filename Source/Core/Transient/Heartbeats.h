#pragma once

#include <cstdint>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Decides what a gateway sends to its peers without being asked, and when.
///
/// Load pattern: heartbeats go to every agent and gateway four times a second. With a list of all
/// gateways in each, 12 gateways sent 900 kB/s each to 78 peers before the first job: more than a
/// quarter of what a link of 25 Mbit/s carries, and half the processor of the weak ones.
namespace Transient {

/// The gateways that a gateway is connected to.
struct ConnectedGateways
{
    Schema::Member self;
    std::vector<Schema::Member> others;
    /// Incremented with each gateway that is added.
    std::uint64_t change = 1;
};

void addConnected(ConnectedGateways &gateways, const Schema::Member &gateway);
void removeConnected(ConnectedGateways &gateways, const Schema::Member &gateway);

/// What a peer has been told on its present connection.
struct ToldPeer
{
    /// When the last frame that shows that this gateway works was sent.
    std::int64_t sentMs = 0;
    /// Last change of the connected gateways that was sent, and when.
    std::uint64_t gatewaysChange = 0;
    std::int64_t gatewaysSentMs = 0;
};

/// Time on the steady clock when the next heartbeat to the peer is due.
std::int64_t nextHeartbeatMs(const ToldPeer &told, const ConnectedGateways &gateways,
                             std::int64_t heartbeatMs);

/// Heartbeat to the peer. It lists the other gateways only if some were added since the last list,
/// or if that is several seconds old.
Schema::GatewayAnnouncement makeHeartbeat(const ConnectedGateways &gateways, ToldPeer &told,
                                          Common::Moment now);

} // namespace Transient
