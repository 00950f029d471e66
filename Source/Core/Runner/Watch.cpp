#include "Runner/Watch.h"

#include <algorithm>

#include "Runner/Pace.h"
#include "Runner/Runs.h"

namespace Runner {

namespace {

using Schema::AttemptPhase;
using Schema::Reason;
using Transient::ObserveOutcome;
using Transient::RunEnd;

/// Calls at a time: two that hang and one that works.
constexpr std::size_t MostWatches = 3;
/// After a lost answer: one more in twenty is likely lost, too, and each hides ends for as long.
constexpr std::int64_t LossyMs = 3000;
constexpr std::int64_t LossyWatchMs = 60;
/// Runs missing from so many observations in a row that were asked for after they had started are
/// gone.
constexpr int MostMissed = 2;
constexpr std::int64_t StrayRetryMs = 150;
/// Between observations that failed at once.
constexpr std::int64_t FailedPauseMs = 50;

bool isWatchNeeded(const RunnerState &state)
{
    return !state.isClean || state.acknowledgedEnd < state.lastEnd || !state.strays.empty()
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

void takeEnd(RunnerState &state, Effects &effects, const Transient::EndedRun &end,
             Common::Moment now)
{
    if (end.position <= state.lastEnd) {
        return;
    }
    state.lastEnd = end.position;
    RunId id = 0;
    const Run *run = findRun(state, end.task, end.number, id);
    if (run == nullptr) {
        return;
    }
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
        finishRun(state, effects, id, AttemptPhase::Stopped, reason, now);
    }
    }
}

bool isShown(const Transient::Observation &seen, const std::string &task, std::int64_t number)
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

void takeActive(RunnerState &state, Effects &effects, const Transient::Observation &seen,
                Common::Moment now)
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
    // What is not shown any more has ended.
    for (auto entry = state.strays.begin(); entry != state.strays.end();) {
        entry = isShown(seen, entry->first.first, entry->first.second) ? std::next(entry)
                                                                       : state.strays.erase(entry);
    }
}

/// Runs that the backend server does not show any more, though it was asked after they had started
/// or after it had taken their stop in.
void settleMissing(RunnerState &state, Effects &effects, const Transient::Observation &seen,
                   std::int64_t sentMs, Common::Moment now)
{
    std::vector<RunId> gone;
    for (auto &[id, run] : state.runs) {
        if (isShown(seen, run.task, run.number)) {
            run.missed = 0;
            continue;
        }
        const bool isStopped =
                run.phase == RunPhase::Stopping && run.stopTakenMs != 0 && sentMs > run.stopTakenMs;
        // Calls overtake each other: only what was asked after the answer came surely saw the run.
        const bool isMissing = run.phase == RunPhase::Running && sentMs >= run.startAnsweredMs
                               && ++run.missed >= MostMissed;
        if (isStopped || isMissing) {
            gone.push_back(id);
        }
    }
    for (const RunId id : gone) {
        const Run &run = state.runs.at(id);
        const Reason reason =
                run.phase == RunPhase::Stopping ? run.stopReason : Reason::BackendLost;
        finishRun(state, effects, id, AttemptPhase::Stopped, reason, now);
    }
}

/// Another life shows itself in an observation before it has announced itself.
void meetLife(RunnerState &state, Effects &effects, std::int64_t startedAtMs, Common::Moment now)
{
    effects.emplace_back(Transient::LogLine{"backend_restarted",
                                            {{"started_at_ms", std::to_string(startedAtMs)}}});
    const Transient::BackendAnnouncement before = *state.backend;
    state.formerLives.erase({before.id, startedAtMs});
    state.backend->startedAtMs = startedAtMs;
    // Its own announcements count from the beginning: compared with those of the former life, they
    // would all seem late.
    constexpr std::int64_t NoneYet = -1;
    state.backend->sequence = NoneYet;
    beginLife(state, effects, before, now);
}

void becomeClean(RunnerState &state, Effects &effects)
{
    if (state.isClean || !state.strays.empty()) {
        return;
    }
    state.isClean = true;
    effects.emplace_back(
            Transient::LogLine{"backend_clean", {{"last_end", std::to_string(state.lastEnd)}}});
    effects.emplace_back(Announce{});
}

/// Whether anything there is to go on. What a former process left is not: renewed while its stops
/// went unanswered, it ran on beside its successor at another agent.
bool hasWanted(const RunnerState &state)
{
    return std::any_of(state.runs.begin(), state.runs.end(), [](const auto &entry) {
        const RunPhase phase = entry.second.phase;
        return phase == RunPhase::Starting || phase == RunPhase::Running;
    });
}

/// The observation was carried out, or may have been: that a refused one has done nothing is known
/// of starts only.
void renewed(RunnerState &state, const Watch &watch)
{
    if (watch.isRenewal) {
        state.grantedMs = std::max(state.grantedMs, watch.sentMs);
    }
}

void takeObservation(RunnerState &state, Effects &effects, const Transient::Observation &seen,
                     const Watch &watch, Common::Moment now)
{
    clockSeen(state, seen.clockMs, now);
    renewed(state, watch);
    state.silentSinceMs = 0;
    const bool isNewLife = seen.startedAtMs != 0 && state.backend && state.backend->startedAtMs != 0
                           && seen.startedAtMs != state.backend->startedAtMs;
    if (isNewLife) {
        meetLife(state, effects, seen.startedAtMs, now);
    } else {
        state.acknowledgedEnd = std::max(state.acknowledgedEnd, watch.lastEnd);
    }
    std::vector<Transient::EndedRun> ended = seen.ended;
    std::sort(ended.begin(), ended.end(),
              [](const auto &left, const auto &right) { return left.position < right.position; });
    for (const Transient::EndedRun &end : ended) {
        takeEnd(state, effects, end, now);
    }
    takeActive(state, effects, seen, now);
    settleMissing(state, effects, seen, watch.sentMs, now);
    paceSeen(state, now);
    becomeClean(state, effects);
    if (!state.isAlive) {
        state.isAlive = true;
        effects.emplace_back(Transient::LogLine{"backend_regained", {}});
        effects.emplace_back(Announce{});
    }
}

/// A lease that was granted ends by then. The clock of the backend server may be slow by a
/// fiftieth: twice that is safe.
std::int64_t lapseMs(const RunnerState &state)
{
    constexpr std::int64_t ClockShare = 25;
    return state.times.leaseMs + state.times.leaseMs / ClockShare;
}

/// When the last call was sent that may have granted a lease, which holds for all that runs. Where
/// the end of leases was reckoned from the last answer instead, runs were given up that went on
/// under a start on its way or a renewal whose answer was lost, and their tasks ran twice at a
/// time.
std::int64_t lastGrantMs(const RunnerState &state)
{
    std::int64_t lastMs = state.grantedMs;
    for (const auto &[id, watch] : state.watches) {
        lastMs = watch.isRenewal ? std::max(lastMs, watch.sentMs) : lastMs;
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

void becomeSilent(RunnerState &state, Effects &effects, ObserveOutcome outcome, Common::Moment now)
{
    if (!state.isAlive) {
        return;
    }
    effects.emplace_back(Transient::LogLine{
            "backend_lost",
            {{"why", std::string(Common::nameOf(Transient::ObserveOutcomeNames, outcome))},
             {"silent_ms", std::to_string(now.steadyMs - state.silentSinceMs)},
             {"granted_ms_ago", std::to_string(now.steadyMs - lastGrantMs(state))},
             {"runs", std::to_string(state.runs.size() - state.queue.size())}}});
    state.isAlive = false;
    effects.emplace_back(Announce{});
}

void takeFailure(RunnerState &state, Effects &effects, ObserveOutcome outcome, const Watch &watch,
                 Common::Moment now)
{
    effects.emplace_back(Transient::CountReason{
            "auburntrail_runner_watches_failed_"
                    + std::string(Common::nameOf(Transient::ObserveOutcomeNames, outcome))
                    + "_total",
            Reason::None});
    if (outcome == ObserveOutcome::Fenced) {
        passFence(state, watch.fence);
    }
    if (state.silentSinceMs == 0) {
        state.silentSinceMs = watch.sentMs;
    }
    if (outcome == ObserveOutcome::Unanswered) {
        state.lossyUntilMs = now.steadyMs + LossyMs;
        fenceOff(state, watch.fence);
    } else {
        state.nextWatchMs = now.steadyMs + FailedPauseMs;
    }
    if (outcome == ObserveOutcome::Unanswered || outcome == ObserveOutcome::Refused) {
        renewed(state, watch);
    }
    const std::int64_t lapsedMs = lapseMs(state);
    const bool isGone =
            outcome == ObserveOutcome::NotConnected || outcome == ObserveOutcome::OtherIncarnation;
    const bool isOver =
            isSilentFor(state, lapsedMs, now) && now.steadyMs > lastGrantMs(state) + lapsedMs;
    if (isOver || isSilentFor(state, isGone ? lapsedMs : 2 * lapsedMs, now)) {
        becomeSilent(state, effects, outcome, now);
    }
    if (isOver) {
        loseStarted(state, effects, Reason::BackendLost, now);
    }
}

} // namespace

void beginLife(RunnerState &state, Effects &effects, const Transient::BackendAnnouncement &before,
               Common::Moment now)
{
    state.formerLives.insert({before.id, before.startedAtMs});
    for (const auto &[id, watch] : state.watches) {
        renewed(state, watch);
    }
    // What was asked of the former life must not be taken for an answer of this one.
    state.watches.clear();
    state.strays.clear();
    state.silentSinceMs = 0;
    state.lastEnd = 0;
    state.acknowledgedEnd = 0;
    state.isClean = false;
    // The new life has seen no fence; orders to the former one that arrive late are below this one.
    ++state.fence;
    // A start may have reached this life before it was met, with a lease by the former life's
    // clock.
    state.grantedMs = std::max(state.grantedMs,
                               now.steadyMs + state.times.longestLeaseMs - state.times.leaseMs);
    std::vector<RunId> unanswered;
    for (auto &[id, run] : state.runs) {
        if (run.phase == RunPhase::Running) {
            // Over, unless this life has it: the next observation tells.
            run.startAnsweredMs = now.steadyMs + 1;
            run.missed = MostMissed - 1;
        } else if (run.phase != RunPhase::Queued) {
            unanswered.push_back(id);
        }
    }
    for (const RunId id : unanswered) {
        stopRun(state, effects, id, Reason::BackendLost, now);
        Run &run = state.runs.at(id);
        // The former life may have taken the stop, this one has not.
        run.isStartPending = false;
        run.stopTakenMs = 0;
        run.stopTries = 0;
        run.nextStopMs = now.steadyMs;
    }
}

Effects observeMore(RunnerState &state, Common::Moment now)
{
    Effects effects;
    if (!state.backend || now.steadyMs < state.nextWatchMs) {
        return effects;
    }
    std::size_t pending = 0;
    for (auto &[id, watch] : state.watches) {
        const bool isOverdue =
                now.steadyMs > watch.sentMs + watch.waitMs + state.times.watchGraceMs;
        if (isOverdue && !watch.isOverdue) {
            watch.isOverdue = true;
            state.lossyUntilMs = now.steadyMs + LossyMs;
        }
        pending += watch.isOverdue ? 0 : 1;
    }
    const bool isNeeded = isWatchNeeded(state) || !state.isAlive;
    if (!isNeeded) {
        // Without questions there is no silence.
        state.silentSinceMs = 0;
    }
    if (!isNeeded || pending > 0 || state.watches.size() >= MostWatches) {
        return effects;
    }
    CallObserve call;
    call.watch = ++state.lastWatch;
    call.lastEnd = state.lastEnd;
    // A backend server that carries calls out without answering would go on for ever with what this
    // agent takes to have lapsed.
    const bool isSilent = isSilentFor(state, lapseMs(state), now);
    const bool isRenewal = !isSilent && hasWanted(state) && !hasUnstopped(state, now);
    call.leaseUntilMs = isRenewal ? leaseUntilMs(state, now) : 0;
    const bool isWaiting = state.isClean && state.isAlive;
    const bool isLossy = now.steadyMs < state.lossyUntilMs;
    call.waitMs = isWaiting ? (isLossy ? LossyWatchMs : state.times.watchMs) : 0;
    const bool provesStops =
            std::any_of(state.runs.begin(), state.runs.end(), [](const auto &entry) {
                return entry.second.phase == RunPhase::Stopping && entry.second.stopTakenMs != 0;
            });
    if (provesStops || state.runs.empty()) {
        call.waitMs = 0;
    }
    state.watches[call.watch] = {now.steadyMs,           call.waitMs, call.lastEnd, false,
                                 call.leaseUntilMs != 0, state.fence};
    if (call.waitMs == 0) {
        // Without a wait each answer would be followed by the next call at once.
        state.nextWatchMs = now.steadyMs + FailedPauseMs / 2;
    }
    effects.emplace_back(call);
    return effects;
}

Effects observed(RunnerState &state, std::uint64_t watch, const Transient::ObserveAnswer &answer,
                 Common::Moment now)
{
    Effects effects;
    const auto found = state.watches.find(watch);
    if (found == state.watches.end()) {
        return effects;
    }
    const Watch sent = found->second;
    state.watches.erase(found);
    if (answer.outcome == ObserveOutcome::Observed) {
        takeObservation(state, effects, answer.seen, sent, now);
    } else {
        takeFailure(state, effects, answer.outcome, sent, now);
    }
    return effects;
}

} // namespace Runner
