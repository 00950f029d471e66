#include "Runner/Leases.h"

#include <algorithm>

namespace Runner {

void recordRenewal(RunnerState &state, const PendingObservation &observation)
{
    if (observation.isRenewal) {
        state.leaseGrantSentMs = std::max(state.leaseGrantSentMs, observation.sentMs);
    }
}

std::int64_t lapseMs(const RunnerState &state)
{
    constexpr std::int64_t ClockShare = 25;
    return state.times.leaseMs + state.times.leaseMs / ClockShare;
}

std::int64_t latestLeaseGrantMs(const RunnerState &state)
{
    std::int64_t lastMs = state.leaseGrantSentMs;
    for (const auto &[id, observation] : state.pendingObservations) {
        lastMs = observation.isRenewal ? std::max(lastMs, observation.sentMs) : lastMs;
    }
    for (const auto &[id, run] : state.runs) {
        lastMs = run.isStartPending ? std::max(lastMs, run.startSentMs) : lastMs;
    }
    return lastMs;
}

bool isSilentFor(const RunnerState &state, std::int64_t ms, Common::Moment now)
{
    return state.silentSinceMs != 0 && now.steadyMs > state.silentSinceMs + ms;
}

} // namespace Runner
