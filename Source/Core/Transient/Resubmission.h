#pragma once

#include <cstdint>

/// Times which ensure that nothing of a job runs any more when its caller submits it again at
/// another gateway, although the first gateway and agents may have crashed meanwhile.
///
/// An agent reports the jobs that it has tasks of for a gateway from which it has received no
/// message for a while. The report reaches all gateways (OrphanRelay.h), and they start nothing of
/// these jobs. If an agent crashes before its report, it renews no lease after that time either,
/// and its runs are over when the caller submits again.
namespace Transient {

/// A caller whose connection broke submits again no sooner than after this time.
constexpr std::int64_t ResubmitMs = 1300;
/// How long an agent acts on the last message of a gateway.
constexpr std::int64_t GrantMs = 800;
/// Duration of the lease that each renewal grants to a run.
constexpr std::int64_t LeaseMs = 700;
/// A backend server's clock may be slow by one part in this many.
constexpr std::int64_t ClockDriftDivisor = 50;
/// Time from when an agent has to report until all gateways know: late timers, the network, and
/// passing the report on.
constexpr std::int64_t NotificationMs = 80;

/// Duration by the agent's clock of \a ms on the clock of a backend server that is slow.
constexpr std::int64_t onSlowClockMs(std::int64_t ms)
{
    return ms + ms / ClockDriftDivisor;
}

/// Age of a gateway's last message at which an agent reports that gateway's jobs to the others.
constexpr std::int64_t suspectTimeMs(std::int64_t leaseMs)
{
    return ResubmitMs - NotificationMs - onSlowClockMs(leaseMs);
}

/// The last message of a gateway that works is up to two heartbeats old.
constexpr std::int64_t UsualMessageAgeMs = 500;
static_assert(suspectTimeMs(LeaseMs) >= UsualMessageAgeMs);
static_assert(suspectTimeMs(LeaseMs) < GrantMs);

} // namespace Transient
