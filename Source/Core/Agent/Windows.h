#pragma once

#include <cstdint>
#include <map>
#include <string>

/// Splits the slots of an agent among the gateways.
///
/// Load pattern: several owners send to the same backend server. Without a split each would either
/// fill all slots, so that most starts are refused, or keep to a fixed share, so that slots are
/// idle while only one owner has work. Slots are shared max-min fairly by what each gateway
/// requests (tasks held and waiting), as is usual for a divisible resource. Each window also covers
/// all slots that the other gateways do not request. A gateway that requests nothing keeps a window
/// of at least one, since its first task would otherwise wait for a heartbeat; the short queue
/// absorbs that overlap.
namespace Agent {

/// Slots that one gateway uses and requests.
struct GatewayDemand
{
    /// Its tasks that this agent holds, queued or running.
    std::int64_t held = 0;
    /// Tasks that wait at the gateway for a slot on any backend server.
    std::int64_t waiting = 0;
};

using Demands = std::map<std::string, GatewayDemand>;
using Windows = std::map<std::string, std::int64_t>;

/// Returns the maximum number of tasks that each gateway may have at this agent at once.
Windows splitSlots(std::int64_t slots, const Demands &demands);

} // namespace Agent
