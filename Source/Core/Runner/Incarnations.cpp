#include "Runner/Incarnations.h"

#include <algorithm>

#include "Runner/Announcements.h"
#include "Runner/Leases.h"
#include "Runner/Observation.h"
#include "Runner/Runs.h"

namespace Runner {

using Schema::Reason;

void detectIncarnation(RunnerState &state, Effects &effects, std::int64_t startedAtMs,
                       Common::Moment now)
{
    effects.emplace_back(Transient::LogLine{"backend_restarted",
                                            {{"started_at_ms", std::to_string(startedAtMs)}}});
    const PresentBackend before = *state.backend;
    state.previousIncarnations.erase({before.id, startedAtMs});
    state.backend->startedAtMs = startedAtMs;
    state.backend->announced.reset();
    updateLeaving(state);
    beginIncarnation(state, effects, before, now);
    matchClaim(state, effects);
    stopIneligible(state, effects, now);
}

void beginIncarnation(RunnerState &state, Effects &effects, const PresentBackend &before,
                      Common::Moment now)
{
    state.previousIncarnations.insert(incarnationOf(before));
    for (const auto &[id, observation] : state.pendingObservations) {
        recordRenewal(state, observation);
    }
    // Answers of the previous incarnation must not be taken for answers of this one.
    state.pendingObservations.clear();
    state.strays.clear();
    state.observationBackoff = {};
    state.silentSinceMs = 0;
    state.lastEnd = 0;
    state.acknowledgedEnd = 0;
    state.isClean = false;
    // The new incarnation has seen no fence yet. Late orders that were meant for the previous one
    // have a lower fence than this.
    ++state.fence;
    // A start may have reached the new incarnation before it was detected, with a lease by the
    // clock of the previous one, so the longest possible lease is assumed.
    state.leaseGrantSentMs =
            std::max(state.leaseGrantSentMs,
                     now.steadyMs + state.times.longestLeaseMs - state.times.leaseMs);
    const bool takesOldCalls = state.backend->id == before.id;
    std::vector<RunId> unanswered;
    for (auto &[id, run] : state.runs) {
        if (!takesOldCalls) {
            // Every call names the backend server's id, and one with another id rejects it.
            run.isStartKnown = true;
            run.earlierStartSentMs = 0;
        }
        if (run.phase == RunPhase::Running) {
            // The run is over unless the next observation lists it.
            run.startAnsweredMs = now.steadyMs + 1;
            run.missedObservations = MissedUntilLost - 1;
        } else if (run.phase != RunPhase::Queued) {
            unanswered.push_back(id);
        }
    }
    for (const RunId id : unanswered) {
        stopRun(state, effects, id, Reason::BackendLost, now);
        Run &run = state.runs.at(id);
        // The previous incarnation may have accepted the stop, this one has not.
        run.isStartPending = false;
        run.stopAcceptedMs = 0;
        run.stopTries = 0;
        run.nextStopMs = now.steadyMs;
    }
}

} // namespace Runner
