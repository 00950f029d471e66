#include "Runner/Observation.h"

#include <algorithm>

#include "Runner/Announcements.h"
#include "Runner/Incarnations.h"
#include "Runner/Leases.h"
#include "Runner/Load.h"
#include "Runner/Pace.h"
#include "Runner/Runs.h"

namespace Runner {

namespace {

using Schema::AttemptPhase;
using Schema::Reason;
using Transient::ObserveOutcome;
using Transient::RunEnd;

/// Concurrent calls: two may hang while a third one works.
constexpr std::size_t MaxPendingObservations = 3;
/// Period of shorter waits after a lost or overdue answer: one more in twenty is likely to be lost,
/// too, and each hides the ends of runs for as long as it waits.
constexpr std::int64_t LossyPeriodMs = 3000;
constexpr std::int64_t LossyObserveWaitMs = 60;
constexpr std::int64_t StrayRetryMs = 150;
/// Pause after an observation that failed without a timeout. Successive observations that do not
/// wait for an end are half of it apart.
constexpr std::int64_t FailedPauseMs = 50;

/// Tasks wait for a reading of the backend server's clock.
bool isClockNeeded(const RunnerState &state, Common::Moment now)
{
    return !state.queue.empty() && !isClockKnown(state, now);
}

bool isObservationNeeded(const RunnerState &state, Common::Moment now)
{
    return !state.isClean || state.claim || state.acknowledgedEnd < state.lastEnd
           || !state.strays.empty() || isClockNeeded(state, now)
           || std::any_of(state.runs.begin(), state.runs.end(),
                          [](const auto &entry) { return entry.second.phase != RunPhase::Queued; });
}

Run *findRun(RunnerState &state, const std::string &task, std::int64_t number, RunId &id)
{
    for (auto &[key, run] : state.runs) {
        if (run.phase != RunPhase::Queued && run.number == number && run.task == task) {
            id = key;
            return &run;
        }
    }
    return nullptr;
}

void processEnd(RunnerState &state, Effects &effects, const Transient::EndedRun &end,
                Common::Moment now)
{
    if (end.position <= state.lastEnd) {
        return;
    }
    state.lastEnd = end.position;
    RunId id = 0;
    Run *run = findRun(state, end.task, end.number, id);
    if (run == nullptr) {
        return;
    }
    run->isStartKnown = true;
    switch (end.end) {
    case RunEnd::Succeeded:
        finishRun(state, effects, id, AttemptPhase::Succeeded, Reason::None, now);
        break;
    case RunEnd::Failed:
        finishRun(state, effects, id, AttemptPhase::Failed, Reason::TaskFailed, now);
        break;
    default: {
        const Reason reason =
                run->phase == RunPhase::Stopping ? run->stopReason : Reason::LeaseLapsed;
        finishOrRestart(state, effects, id, reason, now);
    }
    }
}

bool isObserved(const Transient::Observation &seen, const std::string &task, std::int64_t number)
{
    return std::any_of(seen.active.begin(), seen.active.end(),
                       [&](const Transient::ActiveRun &active) {
                           return active.number == number && active.task == task;
                       });
}

void stopStray(RunnerState &state, Effects &effects, const Transient::ActiveRun &active,
               Common::Moment now)
{
    const auto [entry, isNew] = state.strays.try_emplace({active.task, active.number});
    Stray &stray = entry->second;
    if (isNew) {
        stray.firstSeenMs = now.steadyMs;
    }
    if (now.steadyMs < stray.nextStopMs) {
        return;
    }
    stray.nextStopMs = now.steadyMs + StrayRetryMs;
    effects.emplace_back(Transient::LogLine{"stray_run_stopped",
                                            {{"task", active.task},
                                             {"run", std::to_string(active.number)},
                                             {"percent", std::to_string(active.percent)}}});
    effects.emplace_back(CallStop{active.task, active.number});
}

void processActive(RunnerState &state, Effects &effects, const Transient::Observation &seen,
                   std::int64_t sentMs, Common::Moment now)
{
    for (const Transient::ActiveRun &active : seen.active) {
        RunId id = 0;
        Run *run = findRun(state, active.task, active.number, id);
        if (run == nullptr) {
            stopStray(state, effects, active, now);
            continue;
        }
        run->percent = active.percent;
        run->progressSeenMs = now.steadyMs;
        run->isStartKnown = true;
    }
    // Stray runs that are no longer listed have ended. An answer that was overtaken by the one that
    // showed them may have been made before they began.
    for (auto entry = state.strays.begin(); entry != state.strays.end();) {
        const bool isOver = sentMs >= entry->second.firstSeenMs
                            && !isObserved(seen, entry->first.first, entry->first.second);
        entry = isOver ? state.strays.erase(entry) : std::next(entry);
    }
}

/// Ends the runs that the backend server no longer lists, although the observation was sent after
/// their start was answered or after their stop was accepted. As long as another run of the same
/// task is listed, such as a late start that was meant for a previous incarnation, a run does not
/// end: its task would start again beside that one.
void finishMissingRuns(RunnerState &state, Effects &effects, const Transient::Observation &seen,
                       std::int64_t sentMs, Common::Moment now)
{
    std::vector<RunId> gone;
    for (auto &[id, run] : state.runs) {
        if (isObserved(seen, run.task, run.number)) {
            run.missedObservations = 0;
            continue;
        }
        if (hasStray(state, run.task)) {
            continue;
        }
        const bool isStopped = run.phase == RunPhase::Stopping && run.stopAcceptedMs != 0
                               && sentMs > run.stopAcceptedMs;
        // Calls can overtake each other: only an observation that was sent after the answer to the
        // start is certain to include the run.
        const bool isMissing = run.phase == RunPhase::Running && sentMs >= run.startAnsweredMs
                               && ++run.missedObservations >= MissedUntilLost;
        if (isStopped || isMissing) {
            gone.push_back(id);
        }
    }
    for (const RunId id : gone) {
        const Run &run = state.runs.at(id);
        const Reason reason =
                run.phase == RunPhase::Stopping ? run.stopReason : Reason::BackendLost;
        finishOrRestart(state, effects, id, reason, now);
    }
}

void updateClean(RunnerState &state, Effects &effects)
{
    if (state.isClean || !state.strays.empty()) {
        return;
    }
    state.isClean = true;
    effects.emplace_back(
            Transient::LogLine{"backend_clean", {{"last_end", std::to_string(state.lastEnd)}}});
}

/// Whether any run at the backend server should continue. Runs that a previous process left behind
/// should not: when they were renewed while their stops went unanswered, they continued beside
/// their replacements at another agent.
bool hasWantedRun(const RunnerState &state)
{
    return std::any_of(state.runs.begin(), state.runs.end(), [](const auto &entry) {
        const RunPhase phase = entry.second.phase;
        return phase == RunPhase::Starting || phase == RunPhase::Running;
    });
}

void processObservation(RunnerState &state, Effects &effects, const Transient::Observation &seen,
                        const PendingObservation &observation, Common::Moment now)
{
    updateClockOffset(state, seen.clockMs, now);
    recordRenewal(state, observation);
    state.silentSinceMs = 0;
    const bool isNewIncarnation = seen.startedAtMs != 0 && state.backend
                                  && state.backend->startedAtMs != 0
                                  && seen.startedAtMs != state.backend->startedAtMs;
    if (isNewIncarnation) {
        detectIncarnation(state, effects, seen.startedAtMs, now);
    } else {
        state.acknowledgedEnd = std::max(state.acknowledgedEnd, observation.lastEnd);
        refuteClaim(state, effects, observation.sentMs);
    }
    std::vector<Transient::EndedRun> ended = seen.ended;
    std::sort(ended.begin(), ended.end(),
              [](const auto &left, const auto &right) { return left.position < right.position; });
    for (const Transient::EndedRun &end : ended) {
        processEnd(state, effects, end, now);
    }
    processActive(state, effects, seen, observation.sentMs, now);
    finishMissingRuns(state, effects, seen, observation.sentMs, now);
    updateSlowdown(state, now);
    updateClean(state, effects);
    if (!state.isBackendResponsive) {
        state.isBackendResponsive = true;
        effects.emplace_back(Transient::LogLine{"backend_regained", {}});
    }
}

void markBackendLost(RunnerState &state, Effects &effects, ObserveOutcome outcome,
                     Common::Moment now)
{
    if (!state.isBackendResponsive) {
        return;
    }
    effects.emplace_back(Transient::LogLine{
            "backend_lost",
            {{"why", std::string(Common::nameOf(Transient::ObserveOutcomeNames, outcome))},
             {"silent_ms", std::to_string(now.steadyMs - state.silentSinceMs)},
             {"granted_ms_ago", std::to_string(now.steadyMs - latestLeaseGrantMs(state))},
             {"runs", std::to_string(state.runs.size() - state.queue.size())}}});
    state.isBackendResponsive = false;
}

void processFailedObservation(RunnerState &state, Effects &effects, ObserveOutcome outcome,
                              const PendingObservation &observation, Common::Moment now)
{
    effects.emplace_back(Transient::CountReason{
            "auburntrail_runner_watches_failed_"
                    + std::string(Common::nameOf(Transient::ObserveOutcomeNames, outcome))
                    + "_total",
            Reason::None});
    if (outcome == ObserveOutcome::Fenced) {
        raiseRejectedFence(state, observation.fence);
    }
    if (state.silentSinceMs == 0) {
        state.silentSinceMs = observation.sentMs;
    }
    if (outcome == ObserveOutcome::Unanswered) {
        state.lossyUntilMs = now.steadyMs + LossyPeriodMs;
        raiseUnansweredFence(state, observation.fence);
    } else {
        state.nextObserveMs = now.steadyMs + FailedPauseMs;
    }
    if (outcome == ObserveOutcome::Unanswered || outcome == ObserveOutcome::Refused) {
        recordRenewal(state, observation);
    }
    const std::int64_t lapsedMs = lapseMs(state);
    const bool isGone =
            outcome == ObserveOutcome::NotConnected || outcome == ObserveOutcome::OtherIncarnation;
    const bool isOver = isSilentFor(state, lapsedMs, now)
                        && now.steadyMs > latestLeaseGrantMs(state) + lapsedMs;
    if (isOver || isSilentFor(state, isGone ? lapsedMs : 2 * lapsedMs, now)) {
        markBackendLost(state, effects, outcome, now);
    }
    if (isOver) {
        endLostRuns(state, effects, Reason::BackendLost, now);
    }
    if (isGone || !state.isBackendResponsive) {
        acceptClaim(state, effects, now);
    }
}

} // namespace

bool hasStray(const RunnerState &state, const std::string &task)
{
    return std::any_of(state.strays.begin(), state.strays.end(),
                       [&](const auto &entry) { return entry.first.first == task; });
}

Effects observeIfDue(RunnerState &state, Common::Moment now)
{
    Effects effects;
    if (!state.backend || now.steadyMs < state.nextObserveMs) {
        return effects;
    }
    std::size_t pending = 0;
    for (auto &[id, observation] : state.pendingObservations) {
        const bool isOverdue =
                now.steadyMs > observation.sentMs + observation.waitMs + state.times.observeGraceMs;
        if (isOverdue && !observation.isOverdue) {
            observation.isOverdue = true;
            state.lossyUntilMs = now.steadyMs + LossyPeriodMs;
        }
        pending += observation.isOverdue ? 0 : 1;
    }
    const bool isNeeded = isObservationNeeded(state, now) || !state.isBackendResponsive;
    if (!isNeeded) {
        // Without observations, the time since the last answer is meaningless.
        state.silentSinceMs = 0;
    }
    if (!isNeeded || pending > 0 || state.pendingObservations.size() >= MaxPendingObservations
        || now.steadyMs < state.observationBackoff.notBeforeMs) {
        return effects;
    }
    CallObserve call;
    call.observation = ++state.lastObservation;
    call.lastEnd = state.lastEnd;
    // No renewal after a long silence: a backend server that carries out calls without answering
    // would continue forever with runs whose lease this agent counts as expired.
    const bool isSilent = isSilentFor(state, lapseMs(state), now);
    const bool isRenewal = !isSilent && hasWantedRun(state) && !hasOverdueStop(state, now);
    call.leaseUntilMs = isRenewal ? leaseUntilMs(state, now) : 0;
    const bool isWaiting = state.isClean && state.isBackendResponsive;
    const bool isLossy = now.steadyMs < state.lossyUntilMs;
    call.waitMs = isWaiting ? (isLossy ? LossyObserveWaitMs : state.times.observeWaitMs) : 0;
    const bool provesStops =
            std::any_of(state.runs.begin(), state.runs.end(), [](const auto &entry) {
                return entry.second.phase == RunPhase::Stopping && entry.second.stopAcceptedMs != 0;
            });
    if (provesStops || state.runs.empty() || state.claim || isClockNeeded(state, now)) {
        call.waitMs = 0;
    }
    state.pendingObservations[call.observation] = {
            now.steadyMs, call.waitMs, call.lastEnd, false, call.leaseUntilMs != 0, state.fence};
    if (call.waitMs == 0) {
        // The call returns at once; without a pause the next one would follow immediately.
        state.nextObserveMs = now.steadyMs + FailedPauseMs / 2;
    }
    effects.emplace_back(call);
    return effects;
}

Effects observeAnswered(RunnerState &state, std::uint64_t observation,
                        const Transient::ObserveAnswer &answer, Common::Moment now)
{
    Effects effects;
    const auto found = state.pendingObservations.find(observation);
    if (found == state.pendingObservations.end()) {
        return effects;
    }
    const PendingObservation sent = found->second;
    state.pendingObservations.erase(found);
    if (answer.outcome == ObserveOutcome::Unanswered
        || answer.outcome == ObserveOutcome::NotConnected) {
        recordObservationFailed(state.observationBackoff, now);
    } else {
        recordObservationAnswered(state.observationBackoff);
    }
    if (answer.outcome == ObserveOutcome::Observed) {
        processObservation(state, effects, answer.seen, sent, now);
    } else {
        processFailedObservation(state, effects, answer.outcome, sent, now);
    }
    announceIfChanged(state, effects);
    return effects;
}

} // namespace Runner
