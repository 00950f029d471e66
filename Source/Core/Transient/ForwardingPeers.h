#pragma once

#include <map>
#include <string>

#include "Transient/Forwarding.h"

/// Chooses the gateways that take forwarded jobs; not part of the interface.
namespace Transient {

/// Time since the last announcement of a peer after which nothing is sent to it: it may refuse the
/// job as too late.
constexpr std::int64_t OldAnnouncementMs = 600;
static_assert(SpareIntervalMs < OldAnnouncementMs);

/// A peer with processors to spare, at random by what they can spare; the end of the map if there
/// is none.
std::map<std::string, ForwardingPeer>::iterator choosePeer(GatewayState &state, Common::Moment now,
                                                           Common::Random &random);

} // namespace Transient
