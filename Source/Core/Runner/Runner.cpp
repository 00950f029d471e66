#include "Runner/Runner.h"

#include <algorithm>
#include <limits>

#include "Runner/Evacuation.h"
#include "Runner/Observation.h"
#include "Runner/Orphans.h"
#include "Runner/Pace.h"
#include "Runner/Release.h"
#include "Runner/Returns.h"
#include "Runner/RunQueue.h"

namespace Runner {

namespace {

using Schema::AttemptPhase;
using Schema::Reason;

/// Unanswered orders have been carried out up to 12 s later, so used run numbers are kept for
/// longer than that.
constexpr std::int64_t UsedNumberRetentionMs = 30'000;
/// Longer than it takes until a lost connection is restored or its gateway counts as lost.
constexpr std::int64_t RecentEndRetentionMs = 3000;
constexpr std::int64_t PruneIntervalMs = 5000;

Run makeRun(const std::string &gateway, const Schema::TaskOrders &orders,
            const Schema::TaskAttempt &attempt, Common::Moment now)
{
    Run run;
    run.gateway = gateway;
    run.task = attempt.task;
    run.attempt = attempt.attempt;
    run.payload = orders.payload;
    run.service = orders.service.value_or("");
    run.requiredLabel = orders.requiredLabel.value_or("");
    run.resources = orders.resources;
    run.priority = orders.priority;
    run.expectedMs = orders.expectedRunMs;
    run.targetMs = now.steadyMs + orders.targetInMs;
    run.deadlineMs = now.steadyMs + orders.deadlineInMs;
    run.orderedMs = now.steadyMs;
    run.longestWaitMs = orders.longestWaitMs;
    return run;
}

void reportTask(Effects &effects, const std::string &gateway, const Schema::TaskAttempt &attempt,
                AttemptPhase phase, Reason reason, const Transient::LogFields &cause)
{
    Schema::AttemptState state;
    state.task = attempt.task;
    state.attempt = attempt.attempt;
    state.phase = phase;
    state.reason = reason;
    Transient::LogLine line{"order_given_back",
                            {{"task", attempt.task},
                             {"attempt", std::to_string(attempt.attempt)},
                             {"gateway", gateway},
                             {"reason", Schema::enumName(reason)}}};
    line.fields.insert(line.fields.end(), cause.begin(), cause.end());
    effects.emplace_back(std::move(line));
    effects.emplace_back(ReportAttempt{gateway, state});
}

/// Returns a task that this agent does not accept at present.
void returnTask(const RunnerState &state, Effects &effects, const std::string &gateway,
                const Schema::TaskAttempt &attempt, Common::Moment now)
{
    const bool isByEvacuation = isEvacuated(state);
    reportTask(effects, gateway, attempt, AttemptPhase::NotStarted,
               isByEvacuation ? Reason::FailureDomainEvacuated : Reason::AgentDraining,
               isByEvacuation
                       ? Transient::evacuationFields(state.evacuations, state.failureDomain, now)
                       : Transient::LogFields{});
}

void pruneRecentEnds(RunnerState &state, Common::Moment now)
{
    for (auto &[gateway, ends] : state.recentEnds) {
        while (!ends.empty() && now.steadyMs > ends.front().endedMs + RecentEndRetentionMs) {
            ends.pop_front();
        }
    }
}

void pruneUsedNumbers(RunnerState &state, Common::Moment now)
{
    if (now.steadyMs < state.prunedNumbersMs + PruneIntervalMs) {
        return;
    }
    state.prunedNumbersMs = now.steadyMs;
    for (auto entry = state.usedNumbers.begin(); entry != state.usedNumbers.end();) {
        const bool isOld = now.steadyMs > entry->second.usedMs + UsedNumberRetentionMs;
        entry = isOld ? state.usedNumbers.erase(entry) : std::next(entry);
    }
}

} // namespace

void grantReceived(RunnerState &state, const std::string &gateway, std::int64_t echoMs)
{
    if (echoMs == 0) {
        return;
    }
    std::int64_t &until = state.grants[gateway];
    until = std::max(until, echoMs + state.times.grantMs);
}

Effects ordersReceived(RunnerState &state, const std::string &gateway,
                       const Schema::TaskOrders &orders, Common::Moment now)
{
    Effects effects;
    grantReceived(state, gateway, orders.echoMs);
    state.lastOrders[gateway] = orders.sequence;
    state.urgentPriority = std::min(state.urgentPriority, orders.priority);
    for (const Schema::TaskAttempt &attempt : orders.tasks) {
        if (!isAccepting(state)) {
            returnTask(state, effects, gateway, attempt, now);
            continue;
        }
        const RunId id = ++state.lastRun;
        state.runs.emplace(id, makeRun(gateway, orders, attempt, now));
        enqueue(state, id);
    }
    return effects;
}

Effects withdrawReceived(RunnerState &state, const std::string &gateway,
                         const Schema::WithdrawTasks &withdraw, Common::Moment now)
{
    Effects effects;
    for (const Schema::TaskAttempt &attempt : withdraw.tasks) {
        const auto found =
                std::find_if(state.runs.begin(), state.runs.end(), [&](const auto &entry) {
                    const Run &run = entry.second;
                    return run.task == attempt.task && run.attempt == attempt.attempt
                           && run.gateway == gateway;
                });
        if (found == state.runs.end()) {
            // The report of its end is on the way to the gateway, or was lost with a connection.
            reportTask(effects, gateway, attempt, AttemptPhase::Stopped, Reason::Withdrawn, {});
            continue;
        }
        const RunId id = found->first;
        stopRun(state, effects, id, Reason::Withdrawn, now);
    }
    return effects;
}

Effects gatewayLost(RunnerState &state, const std::string &gateway, Common::Moment now)
{
    Effects effects;
    std::vector<RunId> orphaned;
    for (const auto &[id, run] : state.runs) {
        if (run.gateway == gateway) {
            orphaned.push_back(id);
        }
    }
    const auto grant = state.grants.find(gateway);
    const std::int64_t grantAgeMs =
            grant == state.grants.end() ? -1 : now.steadyMs - grant->second + state.times.grantMs;
    effects.emplace_back(Transient::LogLine{"gateway_lost",
                                            {{"gateway", gateway},
                                             {"runs", std::to_string(orphaned.size())},
                                             {"granted_ms_ago", std::to_string(grantAgeMs)}}});
    for (const RunId id : orphaned) {
        stopRun(state, effects, id, Reason::GatewayLost, now);
    }
    gatewayReleased(state, gateway);
    return effects;
}

Effects beginStop(RunnerState &state, Common::Moment now)
{
    Effects effects;
    state.isStopping = true;
    returnQueuedTasks(state, effects, Reason::AgentDraining, now);
    announceIfChanged(state, effects);
    return effects;
}

bool isStopped(const RunnerState &state)
{
    return state.runs.empty() && state.acknowledgedEnd >= state.lastEnd;
}

void switchOff(RunnerState &state, const std::vector<Schema::AgentDecision> &disabled)
{
    using Schema::AgentDecision;
    for (const AgentDecision decision : disabled) {
        switch (decision) {
        case AgentDecision::UrgencyOrder:
            state.decisions.ordersByUrgency = false;
            break;
        case AgentDecision::Moves:
            state.decisions.movesFromSlow = false;
            break;
        case AgentDecision::StartLimits:
            state.decisions.learnsStartTimeout = false;
            break;
        }
    }
}

Effects tick(RunnerState &state, Common::Moment now)
{
    Effects effects;
    std::vector<std::string> lapsed;
    for (const auto &[gateway, untilMs] : state.grants) {
        if (now.steadyMs >= untilMs) {
            lapsed.push_back(gateway);
        }
    }
    for (const std::string &gateway : lapsed) {
        append(effects, gatewayLost(state, gateway, now));
    }
    append(effects, moveFromSlow(state, now));
    append(effects, sendDueStops(state, now));
    append(effects, startRuns(state, now));
    append(effects, returnBusyTasks(state, now));
    append(effects, observeIfDue(state, now));
    updateOrphans(state, effects, now);
    pruneUsedNumbers(state, now);
    pruneRecentEnds(state, now);
    return effects;
}

std::int64_t nextWakeMs(const RunnerState &state, Common::Moment now)
{
    constexpr std::int64_t Idle = 250;
    std::int64_t next = now.steadyMs + Idle;
    for (const auto &[id, run] : state.runs) {
        if (run.phase != RunPhase::Stopping) {
            next = std::min(next, run.deadlineMs);
        } else if (run.stopAcceptedMs == 0) {
            next = std::min(next, run.nextStopMs);
        }
        if (run.phase == RunPhase::Queued && run.notBeforeMs > now.steadyMs) {
            next = std::min(next, run.notBeforeMs);
        }
    }
    for (const auto &[gateway, untilMs] : state.grants) {
        next = std::min(next, untilMs);
    }
    next = std::min(next, nextSuspectMs(state, now));
    for (const auto &[id, observation] : state.pendingObservations) {
        if (!observation.isOverdue) {
            next = std::min(next, observation.sentMs + observation.waitMs
                                          + state.times.observeGraceMs + 1);
        }
    }
    next = std::min(next, nextReturnMs(state).value_or(next));
    if (state.observationBackoff.notBeforeMs > now.steadyMs) {
        next = std::min(next, state.observationBackoff.notBeforeMs);
    }
    if (state.nextObserveMs > now.steadyMs) {
        next = std::min(next, state.nextObserveMs);
    }
    return next;
}

} // namespace Runner
