#include "RunnerFixture.h"

#include <algorithm>
#include <map>

namespace RunnerSite {

void failPending(Fixture &site, ObserveOutcome outcome, std::int64_t nowMs)
{
    const std::map<std::uint64_t, PendingObservation> pending = site.state.pendingObservations;
    for (const auto &[id, observation] : pending) {
        Transient::ObserveAnswer failed;
        failed.outcome = outcome;
        observeAnswered(site.state, id, failed, at(nowMs));
    }
}

std::int64_t failObservations(Fixture &site, ObserveOutcome outcome, std::int64_t fromMs,
                              std::int64_t untilMs)
{
    failPending(site, outcome, fromMs);
    std::int64_t leaseUntilMs = 0;
    for (std::int64_t nowMs = fromMs; nowMs < untilMs; nowMs += 10) {
        const auto call = lastOf<CallObserve>(tick(site.state, at(nowMs)));
        if (call) {
            leaseUntilMs = std::max(leaseUntilMs, call->leaseUntilMs);
            Transient::ObserveAnswer failed;
            failed.outcome = outcome;
            observeAnswered(site.state, call->observation, failed, at(nowMs + 1));
        }
    }
    return leaseUntilMs;
}

} // namespace RunnerSite
