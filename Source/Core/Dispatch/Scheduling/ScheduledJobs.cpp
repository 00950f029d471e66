#include "Dispatch/Scheduling/ScheduledJobs.h"

#include <algorithm>

#include "Dispatch/Scheduling/Capacity.h"

namespace Dispatch {
namespace {

ServiceSettings settingsOf(const SchedulerState &state, const std::string &service)
{
    const auto found = state.services.find(service);
    return found == state.services.end() ? ServiceSettings{} : found->second;
}

/// Wall-clock time after which a start is too late for the deadline, going by the median run time
/// on the fastest available backend server. The deadline itself while the run time is only a guess.
std::int64_t lastStartOf(SchedulerState &state, const ScheduledJob &job, Common::Moment now)
{
    if (isGuess(state.estimates, job.profile)) {
        return job.demand.deadlineMs;
    }
    constexpr double Median = 0.5;
    const std::vector<SpeedStep> &steps = speedSteps(state.pool, job.requirement, now.steadyMs);
    const double factor = steps.empty() ? 1 : steps.front().factor;
    const double runMs = runQuantileMs(state.estimates, job.profile, Median) * factor;
    return job.demand.deadlineMs - static_cast<std::int64_t>(runMs);
}

void countTasks(SchedulerState &state, const ScheduledJob &job, std::int64_t tasks)
{
    CallerQueue &caller = state.queue.callers[job.caller];
    state.queuedTasks += tasks;
    caller.queuedTasks += tasks;
    addQueued(state.queuedWork, job.profile, tasks);
    addQueued(caller.queuedWork, job.profile, tasks);
    addQueued(state.queue.teams[job.team].queuedWork, job.profile, tasks);
    if (job.runnable) {
        state.runnableTasks += tasks;
        state.pool.requirements[job.requirement].queuedTasks += tasks;
    }
}

void enqueueIfRunnable(SchedulerState &state, const ScheduledJob &job)
{
    if (!job.runnable || job.queued.empty() || isQueued(state.queue, job.number)) {
        return;
    }
    QueuedJob entry;
    entry.job = job.number;
    entry.lane = laneOf(job);
    entry.team = job.team;
    entry.caller = job.caller;
    entry.arrivalMs = job.admittedMs;
    entry.idealMs = job.idealMs;
    enqueue(state.queue, entry);
}

std::int64_t waitingTasks(const ScheduledJob &job)
{
    return static_cast<std::int64_t>(job.queued.size()) + job.delayed;
}

} // namespace

LaneId laneOf(const ScheduledJob &job)
{
    return job.requirement * 2 + (job.isLong ? 1 : 0);
}

ScheduledJob createJob(SchedulerState &state, const JobDemand &demand, Common::Moment now)
{
    const ServiceSettings settings = settingsOf(state, demand.service);
    const std::int64_t declaredMs =
            demand.declaredRunMs > 0 ? demand.declaredRunMs : settings.expectedRunMs;
    ScheduledJob job;
    job.demand = demand;
    job.number = state.nextNumber++;
    job.profile = findOrAddProfile(state.estimates, demand.service, declaredMs);
    job.requirement =
            acquireRequirement(state.pool, demand.service,
                               demand.resources.value_or(settings.resources), now.steadyMs);
    job.team = findOrAddTeam(state.queue, demand.team);
    job.caller = findOrAddCaller(state.queue, job.team, demand.caller);
    job.admittedMs = now.steadyMs;
    const double runMs = meanRunMs(state.estimates, job.profile);
    const SpeedStep total = totalCapacity(state.pool, job.requirement, now.steadyMs);
    const double allMs = total.capacity > 0 ? runMs * demand.taskCount / total.capacity : 0;
    job.idealMs = std::max(runMs, allMs);
    job.isLong = runMs >= LongTaskMs;
    job.lastStartMs = lastStartOf(state, job, now);
    return job;
}

void discardJob(SchedulerState &state, const ScheduledJob &job)
{
    releaseRequirement(state.pool, job.requirement);
}

void addScheduledJob(SchedulerState &state, ScheduledJob job, std::vector<int> queued)
{
    std::sort(queued.rbegin(), queued.rend());
    job.queued = std::move(queued);
    countTasks(state, job, waitingTasks(job));
    watchDeadline(state, job);
    state.numbers.emplace(job.demand.id, job.number);
    const JobNumber number = job.number;
    state.jobs.emplace(number, std::move(job));
}

ScheduledJob *findJob(SchedulerState &state, const std::string &id)
{
    const auto number = state.numbers.find(id);
    return number == state.numbers.end() ? nullptr : &state.jobs.at(number->second);
}

void makeJobRunnable(SchedulerState &state, ScheduledJob &job)
{
    if (job.runnable) {
        return;
    }
    const std::int64_t tasks = waitingTasks(job);
    countTasks(state, job, -tasks);
    job.runnable = true;
    countTasks(state, job, tasks);
    enqueueIfRunnable(state, job);
}

int takeTask(SchedulerState &state, ScheduledJob &job)
{
    const int index = job.queued.back();
    job.queued.pop_back();
    countTasks(state, job, -1);
    if (job.queued.empty()) {
        dequeue(state.queue, job.number);
    }
    return index;
}

void addDelayed(SchedulerState &state, ScheduledJob &job)
{
    job.delayed += 1;
    countTasks(state, job, 1);
}

void removeDelayed(SchedulerState &state, ScheduledJob &job)
{
    job.delayed -= 1;
    countTasks(state, job, -1);
}

void requeueTask(SchedulerState &state, ScheduledJob &job, int index)
{
    job.delayed -= 1;
    job.queued.push_back(index);
    enqueueIfRunnable(state, job);
}

void delayTask(SchedulerState &state, ScheduledJob &job, int index, std::int64_t readyMs)
{
    addDelayed(state, job);
    state.delayed.insert({readyMs, {job.number, index}});
}

void requeueDelayed(SchedulerState &state, std::int64_t nowMs)
{
    while (!state.delayed.empty() && state.delayed.begin()->first <= nowMs) {
        const auto [number, index] = state.delayed.begin()->second;
        state.delayed.erase(state.delayed.begin());
        const auto found = state.jobs.find(number);
        if (found != state.jobs.end()) {
            requeueTask(state, found->second, index);
        }
    }
}

void removeJob(SchedulerState &state, JobNumber number)
{
    const auto found = state.jobs.find(number);
    if (found == state.jobs.end()) {
        return;
    }
    const ScheduledJob &job = found->second;
    dequeue(state.queue, number);
    countTasks(state, job, -waitingTasks(job));
    releaseRequirement(state.pool, job.requirement);
    state.byLastStart.erase({job.lastStartMs, number});
    state.numbers.erase(job.demand.id);
    state.jobs.erase(found);
}

void watchDeadline(SchedulerState &state, const ScheduledJob &job)
{
    if (job.started == 0) {
        state.byLastStart.insert({job.lastStartMs, job.number});
    }
}

} // namespace Dispatch
