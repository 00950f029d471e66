#pragma once

#include <cstdint>

#include "Common/Common.h"
#include "Schema/Schema.h"
#include "Transient/Discovery.h"
#include "Transient/Evacuations.h"

/// Decides what a gateway sends to its peers without being asked, and when.
///
/// Load pattern: heartbeats go to every connected agent and gateway four times a second. With a
/// list of all gateways in each, 12 gateways sent 900 kB/s each to 78 peers before the first job.
/// When all processes start together, a list of all gateways for each one that is added takes half
/// a core of each of 55 gateways.
namespace Transient {

/// What a peer has been told on its present connection.
struct ToldPeer
{
    /// When the last frame that shows that this gateway works was sent.
    std::int64_t sentMs = 0;
    /// Last change of the known gateways that was sent, and when.
    std::uint64_t gatewaysChange = 0;
    std::int64_t gatewaysSentMs = 0;
    /// Last change of the evacuations that was sent.
    std::uint64_t evacuationsChange = 0;
    /// When all known gateways were sent.
    std::int64_t allGatewaysSentMs = 0;
};

/// Time on the steady clock when the next heartbeat to the peer is due: at once if the evacuations
/// have changed.
std::int64_t nextHeartbeatMs(const ToldPeer &told, const Discovery &discovery,
                             const Evacuations &evacuations, std::int64_t heartbeatMs);

/// Heartbeat of the gateway \a self to the peer. It lists the gateways that were added since the
/// last one, and now and then all, so that the peer learns which ones still work. It contains all
/// evacuations if the peer has not been told of the last change.
Schema::GatewayAnnouncement makeHeartbeat(const Schema::Member &self, const Discovery &discovery,
                                          const Evacuations &evacuations, ToldPeer &told,
                                          Common::Moment now);

} // namespace Transient
