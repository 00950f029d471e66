#include "Dispatch/Scheduling/EarlyBinding.h"

#include "Dispatch/Scheduling/Placement.h"
#include "Dispatch/Scheduling/ScheduledJobs.h"
#include "Dispatch/Scheduling/TasksInFlight.h"

namespace Dispatch {
namespace {

void requeueBound(SchedulerState &state, const BoundTasks &tasks)
{
    for (const auto &[number, index] : tasks) {
        const auto job = state.jobs.find(number);
        if (job != state.jobs.end()) {
            requeueTask(state, job->second, index);
        }
    }
}

bool startFirstBound(SchedulerState &state, BackendIndex backend, BoundTasks &tasks,
                     Common::Moment now, std::vector<Assignment> &assignments)
{
    const auto [number, index] = tasks.front();
    const auto found = state.jobs.find(number);
    const bool late = found != state.jobs.end() && now.wallMs >= found->second.demand.deadlineMs;
    if (found == state.jobs.end() || late) {
        tasks.pop_front();
        return true;
    }
    ScheduledJob &job = found->second;
    if (!hasRoomFor(state.pool.backends[backend], state.pool.requirements[job.requirement])) {
        return false;
    }
    tasks.pop_front();
    removeDelayed(state, job);
    assignments.push_back(startTask(state, job, index, backend, now));
    return true;
}

} // namespace

void startBound(SchedulerState &state, Common::Moment now, std::vector<Assignment> &assignments)
{
    for (auto entry = state.bound.begin(); entry != state.bound.end();) {
        BoundTasks &tasks = entry->second;
        const BackendRecord &backend = state.pool.backends[entry->first];
        const bool unavailable =
                isUnavailable(state.pool, backend, now.steadyMs) || concurrencyLimit(backend) == 0;
        if (unavailable || !bindsEarly(state.placement)) {
            requeueBound(state, tasks);
            tasks.clear();
        }
        while (!tasks.empty() && startFirstBound(state, entry->first, tasks, now, assignments)) {
        }
        entry = tasks.empty() ? state.bound.erase(entry) : std::next(entry);
    }
}

bool bindNext(SchedulerState &state, ScheduledJob &job, Common::Moment now, Common::Random &random,
              std::vector<Assignment> &assignments)
{
    const std::optional<BackendIndex> chosen =
            bindTask(state.pool, state.placement, job.requirement, now.steadyMs, random);
    if (!chosen) {
        return false;
    }
    const Requirement &requirement = state.pool.requirements[job.requirement];
    const bool free = hasRoomFor(state.pool.backends[*chosen], requirement);
    const int index = takeTask(state, job);
    if (free && state.bound.count(*chosen) == 0) {
        assignments.push_back(startTask(state, job, index, *chosen, now));
        return true;
    }
    addDelayed(state, job);
    state.bound[*chosen].emplace_back(job.number, index);
    return true;
}

} // namespace Dispatch
