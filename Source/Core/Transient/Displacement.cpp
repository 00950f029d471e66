#include "Transient/Displacement.h"

#include <algorithm>
#include <map>
#include <random>
#include <tuple>

#include "Transient/Cost.h"

namespace Transient {

namespace {

using Schema::AttemptPhase;
using Schema::Reason;

/// A start is known here within the longest time between two reports of an agent. Until then a task
/// that was expected to start may be running, and stopping it would waste its work.
constexpr std::int64_t StartReportMs = 250;

bool isActive(const GatewayState &state)
{
    return isShared(state.shared) && state.shared.displaces;
}

bool canBeDisplaced(const JobRecord &job)
{
    return !job.result && !job.hasBegun && job.unsettled > 0
           && job.displacement == DisplacementPhase::None;
}

template <typename Visit>
void forEachOrdered(const JobRecord &job, Visit visit)
{
    for (const StepRecord &step : job.steps) {
        for (const TaskRecord &task : step.tasks) {
            if (task.phase == TaskPhase::Ordered) {
                visit(step, task);
            }
        }
    }
}

/// Whether all agents that have tasks of the job can be told of the withdrawal, and none of the
/// tasks is expected to have started without being known here.
bool canBeWithdrawn(const GatewayState &state, const JobRecord &job, Common::Moment now)
{
    bool can = true;
    forEachOrdered(job, [&](const StepRecord &, const TaskRecord &task) {
        const auto agent = state.fleet.agents.find(task.agent);
        const bool isReachable = agent != state.fleet.agents.end() && agent->second.isConnected
                                 && agent->second.announced.instance == task.agentInstance;
        const bool mayHaveStarted = now.steadyMs >= task.expectedStartMs
                                    && now.steadyMs < task.expectedStartMs + StartReportMs;
        can = can && isReachable && !mayHaveStarted;
    });
    return can;
}

/// By how much the wait for a task of \a priority becomes shorter at each agent without \a job, if
/// the tasks of the job go before it. The most urgent tasks go before all others.
std::map<std::string, double> savedWaits(const GatewayState &state, const JobRecord &job,
                                         std::int64_t priority)
{
    std::map<std::string, double> saved;
    forEachOrdered(job, [&](const StepRecord &step, const TaskRecord &task) {
        const AgentView &agent = state.fleet.agents.at(task.agent);
        if (hasUrgentPriority(agent, priority) && !hasUrgentPriority(agent, job.queue.priority)) {
            return;
        }
        saved[task.agent] += step.request.resources.processors * task.expectedMs
                             / std::max(agent.announced.resources.processors, 1.0);
    });
    return saved;
}

std::vector<const JobRecord *> candidates(const GatewayState &state, const JobRecord &job,
                                          Common::Moment now)
{
    std::vector<const JobRecord *> found;
    for (const auto &[id, other] : state.jobs) {
        if (canBeDisplaced(other) && yieldsTo(costOf(other), costOf(job))
            && canBeWithdrawn(state, other, now)) {
            found.push_back(&other);
        }
    }
    // Among equal jobs the newest yields first, as it has waited least.
    std::sort(found.begin(), found.end(), [](const JobRecord *left, const JobRecord *right) {
        if (yieldsBefore(costOf(*left), costOf(*right))
            || yieldsBefore(costOf(*right), costOf(*left))) {
            return yieldsBefore(costOf(*left), costOf(*right));
        }
        return std::tie(left->receivedMs, left->id) > std::tie(right->receivedMs, right->id);
    });
    return found;
}

} // namespace

std::optional<std::vector<NeededWait>> neededWaits(const std::vector<PlacedTask> &placed,
                                                   double excessMs)
{
    std::map<int, double> longestMs;
    for (const PlacedTask &one : placed) {
        double &ofStep = longestMs[one.step];
        ofStep = std::max(ofStep, one.placement.waitMs + one.placement.runMs);
    }
    std::map<std::string, double> needed;
    for (const PlacedTask &one : placed) {
        const Placement &placement = one.placement;
        const double neededMs =
                placement.waitMs + placement.runMs - (longestMs[one.step] - excessMs);
        if (neededMs > placement.waitMs) {
            return std::nullopt;
        }
        double &atAgent = needed[placement.agent];
        atAgent = std::max(atAgent, neededMs);
    }
    std::vector<NeededWait> waits;
    for (const auto &[agent, waitMs] : needed) {
        if (waitMs > 0) {
            waits.push_back({agent, waitMs});
        }
    }
    return waits;
}

std::vector<std::string> jobsThatYield(const GatewayState &state, const JobRecord &job,
                                       const std::vector<NeededWait> &needed, Common::Moment now)
{
    std::vector<std::string> chosen;
    if (!isActive(state) || needed.empty()) {
        return chosen;
    }
    std::map<std::string, double> missing;
    for (const NeededWait &wait : needed) {
        missing[wait.agent] = wait.waitMs;
    }
    std::map<std::string, QueueYields> yields = state.yields;
    for (const JobRecord *other : candidates(state, job, now)) {
        QueueYields &ofQueue = yields[other->queue.name];
        if (!mayYield(ofQueue, other->workMs, now.steadyMs)) {
            continue;
        }
        bool isUseful = false;
        for (const auto &[agent, savedMs] : savedWaits(state, *other, job.queue.priority)) {
            const auto found = missing.find(agent);
            if (found != missing.end()) {
                isUseful = true;
                found->second -= savedMs;
                if (found->second <= 0) {
                    missing.erase(found);
                }
            }
        }
        if (isUseful) {
            chosen.push_back(other->id);
            recordYield(ofQueue, other->workMs, now.steadyMs);
        }
        if (missing.empty()) {
            return chosen;
        }
    }
    return {};
}

Effects beginDisplacement(GatewayState &state, JobRecord &job, const std::string &by,
                          double backlogMs, Common::Moment now)
{
    Withdrawals withdrawals = withdrawOrdered(job);
    for (StepRecord &step : job.steps) {
        for (TaskRecord &task : step.tasks) {
            if (task.phase == TaskPhase::Ready) {
                task.phase = TaskPhase::Held;
            }
        }
    }
    state.readyTasks -= job.ready;
    job.ready = 0;
    job.displacement = DisplacementPhase::Pending;
    job.backlogMs = backlogMs;
    recordYield(state.yields[job.queue.name], job.workMs, now.steadyMs);
    Effects effects;
    effects.emplace_back(
            LogLine{"job_displaced",
                    {{"job", job.id},
                     {"queue", job.queue.name},
                     {"by", by},
                     {"work_ms", text(job.workMs)},
                     {"tasks_withdrawn", std::to_string(job.unsettled)},
                     {"not_begun_for_ms", std::to_string(now.steadyMs - job.receivedMs)}}});
    sendWithdrawals(effects, withdrawals);
    return effects;
}

std::optional<std::int64_t> hopelessAtMs(const GatewayState &state, const JobRecord &job)
{
    if (!isActive(state) || !canBeDisplaced(job)) {
        return std::nullopt;
    }
    return job.deadlineMs - static_cast<std::int64_t>(job.chainMs);
}

Effects displaceHopeless(GatewayState &state, Common::Moment now)
{
    std::vector<std::string> hopeless;
    for (const auto &[id, job] : state.jobs) {
        const auto atMs = hopelessAtMs(state, job);
        if (atMs && now.steadyMs >= *atMs && canBeWithdrawn(state, job, now)) {
            hopeless.push_back(id);
        }
    }
    std::sort(hopeless.begin(), hopeless.end());
    Effects effects;
    for (const std::string &id : hopeless) {
        JobRecord &job = state.jobs.at(id);
        if (!mayYield(state.yields[job.queue.name], job.workMs, now.steadyMs)) {
            continue;
        }
        // Its wait so far is the best estimate of the backlog.
        append(effects, beginDisplacement(state, job, "",
                                          static_cast<double>(now.steadyMs - job.receivedMs), now));
    }
    return effects;
}

bool provesNotRun(const Schema::AttemptState &reported)
{
    return reported.phase == AttemptPhase::NotStarted && reported.reason != Reason::AgentLost;
}

void resumeDisplaced(GatewayState &state, Effects &effects, JobRecord &job)
{
    if (job.displacement != DisplacementPhase::Pending) {
        return;
    }
    job.displacement = DisplacementPhase::Over;
    int resumed = 0;
    for (StepRecord &step : job.steps) {
        for (TaskRecord &task : step.tasks) {
            if (task.phase == TaskPhase::Held) {
                task.phase = TaskPhase::Ready;
                ++resumed;
            }
        }
    }
    job.ready += resumed;
    state.readyTasks += resumed;
    effects.emplace_back(LogLine{"displaced_job_resumed",
                                 {{"job", job.id},
                                  {"tasks_returned", std::to_string(resumed)},
                                  {"unsettled", std::to_string(job.unsettled)}}});
}

void refuseIfReturned(GatewayState &state, Effects &effects, JobRecord &job, Common::Moment now,
                      Common::Random &random)
{
    if (job.result || job.displacement != DisplacementPhase::Pending || job.unsettled > 0) {
        return;
    }
    const double spread = std::uniform_real_distribution<double>(0, 1)(random);
    effects.emplace_back(CountReason{RefusalCounter, Reason::Displaced});
    append(effects, endJob(state, job,
                           {JobOutcome::Refused, Reason::Displaced,
                            retryAfterBacklogMs(job.backlogMs, spread)},
                           now));
}

} // namespace Transient
