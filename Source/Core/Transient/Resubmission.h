#pragma once

#include <cstdint>

/// Why nothing of a job runs any more when its caller has submitted it again at another gateway,
/// though the first gateway and agents may have died meanwhile.
///
/// An agent tells all gateways which jobs it holds for one that it has not heard from for a while,
/// and they start nothing of these. An agent that dies before it has told has renewed no lease
/// since: its runs are over when the caller is back.
namespace Transient {

/// A caller whose connection broke submits again no sooner.
constexpr std::int64_t ResubmitMs = 1300;
/// For how long an agent acts on what it last heard of a gateway.
constexpr std::int64_t GrantMs = 800;
/// That each renewal grants to what runs.
constexpr std::int64_t LeaseMs = 700;
/// A backend server's clock may be slow by one part in so many.
constexpr std::int64_t ClockDriftDivisor = 50;
/// From the moment at which an agent has to tell until the gateways know: late timers, the wire.
constexpr std::int64_t NotificationMs = 80;

/// By the clock of the agent, where the backend server's is slow.
constexpr std::int64_t onSlowClockMs(std::int64_t ms)
{
    return ms + ms / ClockDriftDivisor;
}

/// How old the last sign of a gateway may get until the agent tells the others of its jobs.
constexpr std::int64_t suspectTimeMs(std::int64_t leaseMs)
{
    return ResubmitMs - NotificationMs - onSlowClockMs(leaseMs);
}

/// Signs of a gateway that is well are up to two heartbeats old.
constexpr std::int64_t UsualMessageAgeMs = 500;
static_assert(suspectTimeMs(LeaseMs) >= UsualMessageAgeMs);
static_assert(suspectTimeMs(LeaseMs) < GrantMs);

} // namespace Transient
