#include "Runner/Runs.h"

#include <algorithm>

#include "Runner/Evacuation.h"
#include "Runner/Load.h"
#include "Runner/RunQueue.h"

namespace Runner {

namespace {

using Schema::AttemptPhase;
using Schema::Reason;
using Transient::StartOutcome;

constexpr const char *StartCounter = "auburntrail_runner_starts_total";
constexpr const char *IneligibleCounter = "auburntrail_runner_ineligible_total";
/// Starts of a run before it is given up. Where the backend server rejects the run number, each try
/// skips twice as many numbers as the one before, so that these tries get past any number that a
/// day of resubmissions can have used.
constexpr int MaxStartTries = 10;
/// Pause after a start for which the backend server had no room. Either its free resources differ
/// from what is known here, or a stop is still in progress, which takes 50 ms at most.
constexpr std::int64_t NoRoomRetryMs = 50;
/// Pause after a refused start of a task that has to stay with this agent.
constexpr std::int64_t RefusedRetryMs = 50;

Transient::LogLine runLogLine(const char *event, const Run &run, Common::Moment now,
                              std::vector<std::pair<std::string, std::string>> more)
{
    Transient::LogLine note{event,
                            {{"task", run.task},
                             {"attempt", std::to_string(run.attempt)},
                             {"run", std::to_string(run.number)},
                             {"gateway", run.gateway},
                             {"waited_ms", std::to_string(now.steadyMs - run.orderedMs)}}};
    note.fields.insert(note.fields.end(), more.begin(), more.end());
    return note;
}

void requeue(RunnerState &state, RunId id, std::int64_t notBeforeMs)
{
    Run &run = state.runs.at(id);
    if (!run.isStartKnown) {
        run.earlierStartSentMs = run.startSentMs;
    }
    run.phase = RunPhase::Queued;
    run.notBeforeMs = notBeforeMs;
    enqueue(state, id);
}

/// Whether a task may wait here for the backend server.
bool mayQueue(const RunnerState &state)
{
    return !state.isStopping && !state.backend->leaving;
}

/// Whether the task of a run that ended for this reason should run again.
bool isTaskWanted(Reason endReason)
{
    return endReason == Reason::StartUnanswered || endReason == Reason::BackendLost
           || endReason == Reason::LeaseLapsed;
}

/// The answer to a pending start will be ignored, since its run is over. Its possible effects are
/// therefore accounted for now.
void dropPendingStart(RunnerState &state, Run &run)
{
    if (!run.isStartPending) {
        return;
    }
    run.isStartPending = false;
    state.leaseGrantSentMs = std::max(state.leaseGrantSentMs, run.startSentMs);
    raiseUnansweredFence(state, run.startFence);
}

std::int64_t nextNumber(const RunnerState &state, const Run &run)
{
    const auto known = state.usedNumbers.find(run.task);
    const std::int64_t above = known == state.usedNumbers.end() ? 0 : known->second.number;
    return std::max(above + 1, run.attempt);
}

CallStart beginStart(RunnerState &state, RunId id, Common::Moment now)
{
    Run &run = state.runs.at(id);
    run.phase = RunPhase::Starting;
    run.number = nextNumber(state, run);
    run.startSentMs = now.steadyMs;
    run.startFence = state.fence;
    run.incarnation = incarnationOf(*state.backend);
    run.isStartPending = true;
    run.isStartKnown = false;
    run.missedObservations = 0;
    ++run.startTries;
    state.usedNumbers[run.task] = {run.number, now.steadyMs};
    CallStart call;
    call.run = id;
    call.start.task = run.task;
    call.start.number = run.number;
    call.start.payload = run.payload;
    call.start.leaseUntilMs = leaseUntilMs(state, now);
    call.start.fence = state.fence;
    call.timeoutMs = startTimeoutMs(state.decisions.learnsStartTimeout ? state.startTimeout
                                                                       : StartTimeout{});
    return call;
}

void skipNumbers(RunnerState &state, const Run &run, Common::Moment now)
{
    UsedNumber &known = state.usedNumbers[run.task];
    const int doublings = std::min(run.startTries, MaxStartTries);
    known.number = std::max(known.number, run.number) + (std::int64_t{1} << doublings);
    known.usedMs = now.steadyMs;
}

/// Whether a start with this outcome may have renewed the lease of all runs at the backend server.
bool mayHaveRenewedLease(StartOutcome outcome)
{
    switch (outcome) {
    case StartOutcome::Started:
    case StartOutcome::NumberUsed:
    case StartOutcome::NoRoom:
    case StartOutcome::Unanswered:
        return true;
    default:
        return false;
    }
}

void handleStarted(RunnerState &state, Effects &effects, RunId id, Common::Moment now)
{
    Run &run = state.runs.at(id);
    run.phase = RunPhase::Running;
    run.startedMs = run.startSentMs;
    run.startAnsweredMs = now.steadyMs;
    if (!mayStartLate(state, run, now)) {
        // When this agent is lost, the gateway waits for late starts of unreported runs only.
        Schema::AttemptState started;
        started.task = run.task;
        started.attempt = run.attempt;
        started.phase = AttemptPhase::Running;
        effects.emplace_back(ReportAttempt{run.gateway, started});
    }
    effects.emplace_back(
            runLogLine("run_started", run, now,
                       {{"tries", std::to_string(run.startTries)},
                        {"answer_ms", std::to_string(now.steadyMs - run.startSentMs)}}));
}

/// Handles a start that has certainly not started the run: queues it again if the outcome allows
/// that and tries are left, and finishes it as not started otherwise.
void handleStartRejected(RunnerState &state, Effects &effects, RunId id, StartOutcome outcome,
                         Common::Moment now)
{
    Run &run = state.runs.at(id);
    effects.emplace_back(runLogLine(
            "start_denied", run, now,
            {{"why", std::string(Common::nameOf(Transient::StartOutcomeNames, outcome))}}));
    const bool staysHere = mayStartLate(state, run, now);
    const bool triesLeft = staysHere || run.startTries < MaxStartTries;
    if (!mayQueue(state)) {
        finishRun(state, effects, id, AttemptPhase::NotStarted, Reason::AgentDraining, now);
        return;
    }
    switch (outcome) {
    case StartOutcome::NumberUsed:
        skipNumbers(state, run, now);
        break;
    case StartOutcome::Fenced:
        raiseRejectedFence(state, run.startFence);
        break;
    case StartOutcome::NoRoom:
        if (triesLeft) {
            requeue(state, id, now.steadyMs + NoRoomRetryMs);
            return;
        }
        break;
    case StartOutcome::LeaseTooShort:
        break;
    default:
        if (staysHere && outcome != StartOutcome::Malformed) {
            requeue(state, id, now.steadyMs + RefusedRetryMs);
            return;
        }
        finishRun(state, effects, id, AttemptPhase::NotStarted, Reason::BackendRefused, now);
        return;
    }
    if (triesLeft) {
        requeue(state, id, now.steadyMs);
        return;
    }
    finishRun(state, effects, id, AttemptPhase::NotStarted,
              outcome == StartOutcome::NoRoom ? Reason::NoRoom : Reason::BackendRefused, now);
}

/// Returns the waiting tasks that the backend server cannot run, so that they run elsewhere. A task
/// whose lost start may still arrive here stays: it could run twice.
void returnIneligible(RunnerState &state, Effects &effects, Common::Moment now)
{
    const std::vector<RunId> queued = state.queue;
    for (const RunId id : queued) {
        const Run &run = state.runs.at(id);
        if (!isEligible(state, run) && !mayStartLate(state, run, now)) {
            finishRun(state, effects, id, AttemptPhase::NotStarted, Reason::NoBackend, now);
            effects.emplace_back(Transient::CountReason{IneligibleCounter, Reason::NoBackend});
        }
    }
}

} // namespace

bool hasOverdueStop(const RunnerState &state, Common::Moment now)
{
    const bool hasStray =
            std::any_of(state.strays.begin(), state.strays.end(), [&](const auto &entry) {
                return now.steadyMs > entry.second.firstSeenMs + state.times.stopOverdueMs;
            });
    return hasStray || std::any_of(state.runs.begin(), state.runs.end(), [&](const auto &entry) {
               const Run &run = entry.second;
               const bool isOverdue =
                       now.steadyMs > run.stopRequestedMs + state.times.stopOverdueMs;
               return run.phase == RunPhase::Stopping && run.stopAcceptedMs == 0
                      && (isOverdue || !isGranted(state, run, now));
           });
}

void raiseUnansweredFence(RunnerState &state, std::int64_t usedFence)
{
    if (usedFence == state.fence) {
        ++state.fence;
    }
}

void raiseRejectedFence(RunnerState &state, std::int64_t usedFence)
{
    if (usedFence == state.fence) {
        state.fence += FenceStepMs;
    }
}

void updateClockOffset(RunnerState &state, std::int64_t clockMs, Common::Moment now)
{
    state.clockOffsetMs = clockMs - now.steadyMs;
    state.clockSeenMs = now.steadyMs;
}

bool isClockKnown(const RunnerState &state, Common::Moment now)
{
    // Until then a lease is shortened by less than a third.
    constexpr std::int64_t MaxClockAgeMs = 10'000;
    return state.clockOffsetMs && now.steadyMs <= state.clockSeenMs + MaxClockAgeMs;
}

std::int64_t leaseUntilMs(const RunnerState &state, Common::Moment now)
{
    if (!state.clockOffsetMs) {
        return 0;
    }
    const std::int64_t ageMs = now.steadyMs - state.clockSeenMs;
    const std::int64_t behindMs =
            (ageMs + Transient::ClockDriftDivisor - 1) / Transient::ClockDriftDivisor;
    return now.steadyMs + *state.clockOffsetMs + state.times.leaseMs - behindMs;
}

bool mayStartLate(const RunnerState &state, const Run &run, Common::Moment now)
{
    const bool isUnanswered = run.phase == RunPhase::Stopping && !run.isStartKnown;
    const std::int64_t sentMs = isUnanswered ? run.startSentMs : run.earlierStartSentMs;
    return sentMs != 0 && now.steadyMs <= sentMs + state.times.lateStartMs;
}

void finishOrRestart(RunnerState &state, Effects &effects, RunId id, Reason reason,
                     Common::Moment now)
{
    Run &run = state.runs.at(id);
    const bool canRestart =
            isTaskWanted(reason) && now.steadyMs < run.deadlineMs && mayQueue(state);
    if (!canRestart || !mayStartLate(state, run, now)) {
        finishRun(state, effects, id, AttemptPhase::Stopped, reason, now);
        return;
    }
    effects.emplace_back(
            runLogLine("run_restarting", run, now, {{"reason", Schema::enumName(reason)}}));
    dropPendingStart(state, run);
    requeue(state, id, now.steadyMs);
    run.startedMs = 0;
    run.startAnsweredMs = 0;
    run.percent = 0;
    run.progressSeenMs = 0;
    run.stopReason = Reason::None;
    run.stopAcceptedMs = 0;
}

void finishRun(RunnerState &state, Effects &effects, RunId id, AttemptPhase phase, Reason reason,
               Common::Moment now)
{
    dropPendingStart(state, state.runs.at(id));
    const Run run = state.runs.at(id);
    const bool mayHaveRun = run.earlierStartSentMs != 0;
    Schema::AttemptState ended;
    ended.task = run.task;
    ended.attempt = run.attempt;
    ended.phase = phase == AttemptPhase::NotStarted && mayHaveRun ? AttemptPhase::Stopped : phase;
    ended.reason = reason;
    ended.runMs = run.startedMs == 0 ? 0 : now.steadyMs - run.startedMs;
    if (run.startSentMs != 0 && ended.phase != AttemptPhase::NotStarted) {
        ended.waitedMs = run.startSentMs - run.orderedMs;
    }
    effects.emplace_back(runLogLine("run_ended", run, now,
                                    {{"phase", Schema::enumName(ended.phase)},
                                     {"reason", Schema::enumName(reason)},
                                     {"run_ms", std::to_string(ended.runMs)}}));
    effects.emplace_back(ReportAttempt{run.gateway, ended});
    state.recentEnds[run.gateway].push_back({ended, now.steadyMs});
    dequeue(state, id);
    state.runs.erase(id);
}

void returnQueuedTasks(RunnerState &state, Effects &effects, Reason reason, Common::Moment now)
{
    const std::vector<RunId> queued = state.queue;
    for (const RunId id : queued) {
        finishRun(state, effects, id, AttemptPhase::NotStarted, reason, now);
    }
}

Effects startRuns(RunnerState &state, Common::Moment now)
{
    Effects effects;
    if (state.backend && !mayQueue(state)) {
        returnQueuedTasks(state, effects, Reason::AgentDraining, now);
        return effects;
    }
    if (isEvacuated(state)) {
        returnEvacuatedTasks(state, effects, now);
        return effects;
    }
    returnIneligible(state, effects, now);
    if (!state.isClean || !state.isBackendResponsive || !isClockKnown(state, now)
        || hasOverdueStop(state, now)) {
        return effects;
    }
    for (const RunId id : startable(state, now)) {
        const Run &run = state.runs.at(id);
        if (!isEligible(state, run)) {
            continue;
        }
        if (!hasRoom(state, run.resources)) {
            // No run overtakes another: a task with large requirements would otherwise wait for as
            // long as smaller ones arrive.
            break;
        }
        dequeue(state, id);
        effects.emplace_back(beginStart(state, id, now));
    }
    return effects;
}

Effects startAnswered(RunnerState &state, RunId id, std::int64_t number,
                      const Transient::StartAnswer &answer, Common::Moment now)
{
    Effects effects;
    const auto found = state.runs.find(id);
    if (found == state.runs.end() || found->second.number != number
        || !found->second.isStartPending) {
        // Its clock is ignored, too: the start may have gone to a previous incarnation, which had
        // another clock.
        return effects;
    }
    if (answer.clockMs) {
        updateClockOffset(state, *answer.clockMs, now);
    }
    Run &run = found->second;
    run.isStartPending = false;
    run.isStartKnown = answer.outcome != StartOutcome::Unanswered;
    if (run.isStartKnown) {
        recordStartAnswer(state.startTimeout, now.steadyMs - run.startSentMs);
    } else {
        recordStartUnanswered(state.startTimeout);
        raiseUnansweredFence(state, run.startFence);
    }
    if (mayHaveRenewedLease(answer.outcome)) {
        state.leaseGrantSentMs = std::max(state.leaseGrantSentMs, run.startSentMs);
    }
    effects.emplace_back(Transient::CountReason{
            StartCounter + std::string("_")
                    + std::string(Common::nameOf(Transient::StartOutcomeNames, answer.outcome)),
            Reason::None});
    if (run.phase != RunPhase::Starting) {
        return effects;
    }
    switch (answer.outcome) {
    case StartOutcome::Started:
        handleStarted(state, effects, id, now);
        break;
    case StartOutcome::Unanswered:
        stopRun(state, effects, id, Reason::StartUnanswered, now);
        break;
    default:
        handleStartRejected(state, effects, id, answer.outcome, now);
    }
    return effects;
}

void stopRun(RunnerState &state, Effects &effects, RunId id, Reason reason, Common::Moment now)
{
    Run &run = state.runs.at(id);
    if (run.phase == RunPhase::Queued) {
        finishRun(state, effects, id, AttemptPhase::NotStarted, reason, now);
        return;
    }
    if (run.phase == RunPhase::Stopping) {
        if (isTaskWanted(run.stopReason)) {
            run.stopReason = reason;
        }
        return;
    }
    effects.emplace_back(
            runLogLine("run_stopping", run, now,
                       {{"reason", Schema::enumName(reason)},
                        {"phase", std::string(Common::nameOf(RunPhaseNames, run.phase))},
                        {"percent", std::to_string(run.percent)}}));
    run.phase = RunPhase::Stopping;
    run.stopReason = reason;
    run.stopRequestedMs = now.steadyMs;
    run.stopTries = 0;
    run.nextStopMs = now.steadyMs;
}

void stopAnswered(RunnerState &state, const std::string &task, std::int64_t number, bool accepted,
                  Common::Moment now)
{
    for (auto &[id, run] : state.runs) {
        if (run.task != task || run.number != number || run.phase != RunPhase::Stopping) {
            continue;
        }
        if (accepted && run.stopAcceptedMs == 0) {
            run.stopAcceptedMs = now.steadyMs;
            // The next observation shows whether the run is over.
            state.nextObserveMs = now.steadyMs;
        }
    }
}

Effects sendDueStops(RunnerState &state, Common::Moment now)
{
    Effects effects;
    std::vector<RunId> overdue;
    for (const auto &[id, run] : state.runs) {
        if (run.phase != RunPhase::Stopping && now.steadyMs >= run.deadlineMs) {
            overdue.push_back(id);
        }
    }
    for (const RunId id : overdue) {
        stopRun(state, effects, id, Reason::DeadlinePassed, now);
    }
    for (auto &[id, run] : state.runs) {
        const bool isDue = run.phase == RunPhase::Stopping && run.stopAcceptedMs == 0
                           && now.steadyMs >= run.nextStopMs;
        if (isDue) {
            const bool isQuick = ++run.stopTries < state.times.quickStops;
            run.nextStopMs = now.steadyMs
                             + (isQuick ? state.times.stopRetryMs : state.times.laterStopRetryMs);
            effects.emplace_back(CallStop{run.task, run.number});
        }
    }
    return effects;
}

void stopIneligible(RunnerState &state, Effects &effects, Common::Moment now)
{
    if (announcedBackend(state) == nullptr) {
        return;
    }
    std::vector<RunId> ineligible;
    for (const auto &[id, run] : state.runs) {
        const bool isThere = run.phase == RunPhase::Starting || run.phase == RunPhase::Running;
        if (isThere && run.incarnation != incarnationOf(*state.backend)
            && !isEligible(state, run)) {
            ineligible.push_back(id);
        }
    }
    for (const RunId id : ineligible) {
        stopRun(state, effects, id, Reason::BackendLost, now);
    }
}

void endLostRuns(RunnerState &state, Effects &effects, Reason reason, Common::Moment now)
{
    std::vector<RunId> over;
    std::vector<RunId> unknown;
    for (const auto &[id, run] : state.runs) {
        if (run.phase == RunPhase::Queued) {
            continue;
        }
        const bool mayStillStart = !run.isStartKnown && run.stopAcceptedMs == 0
                                   && now.steadyMs <= run.startSentMs + state.times.lateStartMs;
        const bool isWanted = run.phase != RunPhase::Stopping || isTaskWanted(run.stopReason);
        const bool staysHere = isWanted && mayStartLate(state, run, now);
        (mayStillStart || staysHere ? unknown : over).push_back(id);
    }
    for (const RunId id : over) {
        finishRun(state, effects, id, AttemptPhase::Stopped, reason, now);
    }
    for (const RunId id : unknown) {
        stopRun(state, effects, id, reason, now);
    }
}

} // namespace Runner
