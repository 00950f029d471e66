#include <algorithm>

#include "Dispatch/Scheduling/BackendMonitor.h"
#include "Dispatch/Scheduling/EarlyBinding.h"
#include "Dispatch/Scheduling/Placement.h"
#include "Dispatch/Scheduling/ScheduledJobs.h"
#include "Dispatch/Scheduling/Scheduler.h"
#include "Dispatch/Scheduling/TasksInFlight.h"

namespace Dispatch {
namespace {

/// A caller's credit delays the others by at most this time, the run time of the shortest common
/// tasks.
constexpr double BurstCreditMs = 50;
constexpr std::int64_t RemoveIdleCallersPeriodMs = 10000;

/// Blocks the lanes without jobs or without a free slot. Returns false if no lane is left.
bool blockFullLanes(const SchedulerState &state, Blocked &blocked)
{
    const std::vector<std::size_t> &laneJobs = state.queue.laneJobs;
    blocked.lanes.assign(laneJobs.size(), false);
    bool open = false;
    for (LaneId lane = 0; lane < laneJobs.size(); ++lane) {
        const Requirement &requirement = state.pool.requirements[lane / 2];
        const bool full = bindsEarly(state.placement) ? requirement.eligibleCount == 0
                                                      : requirement.free.empty();
        blocked.lanes[lane] = laneJobs[lane] == 0 || full;
        open = open || !blocked.lanes[lane];
    }
    return open;
}

/// Number of tasks that compete for the next faster slots: the caller's own, and those of the
/// callers before it that already wait for one.
double tasksAhead(const SchedulerState &state, const ScheduledJob &job, const Blocked &blocked)
{
    if (state.queue.order == QueueOrder::Arrival) {
        return static_cast<double>(state.pool.requirements[job.requirement].queuedTasks);
    }
    const CallerQueue &caller = state.queue.callers[job.caller];
    return static_cast<double>(caller.queuedTasks + blocked.callersTasks);
}

bool reservedForShort(const SchedulerState &state, const ScheduledJob &job, Common::Moment now)
{
    return job.isLong && state.switches.slotReserve && state.queue.order == QueueOrder::Fair
           && longTasksBlocked(state.reserve, state.pool.total.slots, now.steadyMs);
}

/// Starts the job's next task, or blocks what cannot be placed now.
void placeNext(SchedulerState &state, const QueuedJob &next, Blocked &blocked, Common::Moment now,
               Common::Random &random, std::vector<Assignment> &assignments)
{
    ScheduledJob &job = state.jobs.at(next.job);
    if (now.wallMs >= job.demand.deadlineMs) {
        dequeue(state.queue, job.number);
        return;
    }
    if (reservedForShort(state, job, now)) {
        blocked.lanes[next.lane] = true;
        return;
    }
    if (bindsEarly(state.placement)) {
        blocked.lanes[next.lane] = !bindNext(state, job, now, random, assignments);
        return;
    }
    const PlacementQuery query{job.requirement, meanRunMs(state.estimates, job.profile),
                               tasksAhead(state, job, blocked), job.demand.idempotent};
    const Placement placement = placeTask(state.pool, query, now.steadyMs, random);
    if (placement.kind == PlacementKind::Full) {
        blocked.lanes[next.lane] = true;
    } else if (placement.kind == PlacementKind::Wait) {
        blocked.callers.insert(next.caller);
        blocked.callersTasks += state.queue.callers[next.caller].queuedTasks;
    } else {
        const int index = takeTask(state, job);
        assignments.push_back(startTask(state, job, index, placement.backend, now));
    }
}

void prepareAssignment(SchedulerState &state, Common::Moment now)
{
    state.pool.silenceMs = state.agentSilenceMs;
    sweepBackends(state.pool, now.steadyMs);
    state.queue.burstCredit = BurstCreditMs * state.pool.total.capacity;
    checkStalled(state, now.steadyMs);
    requeueDelayed(state, now.steadyMs);
    if (now.steadyMs - state.idleCallersRemovedMs >= RemoveIdleCallersPeriodMs) {
        state.idleCallersRemovedMs = now.steadyMs;
        removeIdleCallers(state.queue);
    }
}

} // namespace

std::vector<Assignment> assignTasks(SchedulerState &state, Common::Moment now,
                                    Common::Random &random, std::size_t limit)
{
    prepareAssignment(state, now);
    std::vector<Assignment> assignments;
    if (now.steadyMs < state.lastRoundMs + state.startBatchMs) {
        return assignments;
    }
    startBound(state, now, assignments);
    Blocked blocked;
    if (state.runnableTasks == 0 || !blockFullLanes(state, blocked)) {
        return assignments;
    }
    while (assignments.size() < limit) {
        const std::optional<QueuedJob> next = nextJob(state.queue, blocked);
        if (!next) {
            break;
        }
        placeNext(state, *next, blocked, now, random, assignments);
    }
    if (!assignments.empty()) {
        state.lastRoundMs = now.steadyMs;
    }
    return assignments;
}

void taskAdopted(SchedulerState &state, const TaskKey &task, const std::string &agent,
                 Common::Moment now)
{
    ScheduledJob *job = findJob(state, task.job);
    const auto backend = state.pool.byInstance.find(agent);
    if (job == nullptr || backend == state.pool.byInstance.end()
        || state.inFlight.count(task) > 0) {
        return;
    }
    addInFlight(state, *job, task.index, backend->second, now);
    // restoreJob() has already counted the task as started.
    job->started -= 1;
}

bool taskEnded(SchedulerState &state, const TaskKey &key, const std::string &agent, bool succeeded,
               double runMs, Common::Moment now)
{
    const std::optional<TaskInFlight> task = removeInFlight(state, key, agent, now);
    if (!task) {
        return false;
    }
    chargeEnd(state.queue, task->caller, runMs > 0 ? runMs - task->chargedMs : 0);
    BackendRecord &backend = state.pool.backends[task->backend];
    const bool removed = backend.instance != agent;
    if (removed) {
        return true;
    }
    if (succeeded) {
        backend.consecutiveRefusals = 0;
    }
    if (succeeded && runMs > 0) {
        recordRunTime(state.estimates, task->profile, backend.speed, runMs);
    }
    updateBackendHealth(state, *task, succeeded, runMs, now);
    return true;
}

bool taskAbandoned(SchedulerState &state, const TaskKey &key, const std::string &agent,
                   Common::Moment now)
{
    const std::optional<TaskInFlight> task = removeInFlight(state, key, agent, now);
    if (!task) {
        return false;
    }
    chargeEnd(state.queue, task->caller, 0);
    return true;
}

RetryDecision taskNotStarted(SchedulerState &state, const TaskKey &key, const std::string &agent,
                             Schema::Reason reason, Common::Moment now, Common::Random &random)
{
    const std::optional<TaskInFlight> task = removeInFlight(state, key, agent, now);
    if (!task) {
        return RetryDecision::Ignored;
    }
    chargeEnd(state.queue, task->caller, -task->chargedMs);
    const bool known = state.pool.backends[task->backend].instance == agent;
    if (known && state.switches.retryBudget) {
        handleStartRefused(state.pool, task->backend, reason, now.steadyMs);
    }
    ScheduledJob *job = findJob(state, key.job);
    if (job == nullptr) {
        return RetryDecision::Ignored;
    }
    job->started -= 1;
    watchDeadline(state, *job);
    const int attempt = ++job->attempts[key.index];
    if (!state.switches.retryBudget) {
        delayTask(state, *job, key.index, now.steadyMs);
        return RetryDecision::Requeued;
    }
    if (attempt >= MaxStartAttempts) {
        return RetryDecision::AttemptsExhausted;
    }
    const std::int64_t backoffMs = spendRetry(state.retries, attempt, random);
    delayTask(state, *job, key.index, now.steadyMs + backoffMs);
    return RetryDecision::Requeued;
}

void agentHelloReceived(SchedulerState &state, const Schema::AgentHello &hello, Common::Moment now)
{
    updateBackend(state.pool, hello, now.steadyMs);
}

void agentWindowReceived(SchedulerState &state, const std::string &instance, std::int64_t window,
                         std::int64_t running, Common::Moment now)
{
    const auto found = state.pool.byInstance.find(instance);
    if (found == state.pool.byInstance.end()) {
        return;
    }
    BackendRecord &backend = state.pool.backends[found->second];
    backend.window = window;
    backend.reportedRunning = running;
    backend.lastReceivedMs = now.steadyMs;
    updateFreeLists(state.pool, found->second, now.steadyMs);
}

void agentLost(SchedulerState &state, const std::string &instance, Common::Moment now)
{
    const auto found = state.pool.byInstance.find(instance);
    if (found != state.pool.byInstance.end()) {
        markBackendLost(state.pool, found->second, now.steadyMs);
    }
}

} // namespace Dispatch
