#pragma once

#include <cstdint>
#include <map>
#include <string>

/// How an agent splits its slots among the gateways.
///
/// Load pattern: several owners send to the same backend server. Without a split each would either
/// fill all slots, so that most starts are refused, or keep to a fixed share, so that slots stand
/// idle while only one owner has work. Grounds: max-min shares by what each wants (held and
/// waiting), as for any divisible resource; a gateway that wants nothing keeps a window of one,
/// since else its first task would wait for a heartbeat, and the short queue absorbs that overlap.
namespace Agent {

/// What one gateway uses and asks for.
struct GatewayDemand
{
    /// Tasks of it that this agent holds, queued or running.
    std::int64_t held = 0;
    /// Tasks waiting at it for a slot anywhere.
    std::int64_t waiting = 0;
};

using Demands = std::map<std::string, GatewayDemand>;
using Windows = std::map<std::string, std::int64_t>;

/// The most tasks that each gateway may have here at once.
Windows splitSlots(std::int64_t slots, const Demands &demands);

} // namespace Agent
