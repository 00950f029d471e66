#include "Dispatch/Scheduling/EarlyBinding.h"

#include "Dispatch/Scheduling/Flight.h"
#include "Dispatch/Scheduling/JobBook.h"
#include "Dispatch/Scheduling/Placement.h"

namespace Dispatch {
namespace {

void giveBack(SchedulerState &state, const BoundTasks &tasks)
{
    for (const auto &[number, index] : tasks) {
        const auto job = state.jobs.find(number);
        if (job != state.jobs.end()) {
            offerAgain(state, job->second, index);
        }
    }
}

bool startFirst(SchedulerState &state, BackendIndex backend, BoundTasks &tasks, Common::Moment now,
                std::vector<Assignment> &assignments)
{
    const auto [number, index] = tasks.front();
    const auto found = state.jobs.find(number);
    const bool late = found != state.jobs.end() && now.wallMs >= found->second.demand.deadlineMs;
    if (found == state.jobs.end() || late) {
        tasks.pop_front();
        return true;
    }
    ScheduledJob &job = found->second;
    if (!hasPlace(state.pool.backends[backend], state.pool.requirements[job.requirement])) {
        return false;
    }
    tasks.pop_front();
    takeDelayed(state, job);
    assignments.push_back(startTask(state, job, index, backend, now));
    return true;
}

} // namespace

void startBound(SchedulerState &state, Common::Moment now, std::vector<Assignment> &assignments)
{
    for (auto entry = state.bound.begin(); entry != state.bound.end();) {
        BoundTasks &tasks = entry->second;
        const BackendRecord &backend = state.pool.backends[entry->first];
        const bool out = isOut(state.pool, backend, now.steadyMs) || placesOf(backend) == 0;
        if (out || !bindsEarly(state.placement)) {
            giveBack(state, tasks);
            tasks.clear();
        }
        while (!tasks.empty() && startFirst(state, entry->first, tasks, now, assignments)) {
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
    const bool free = hasPlace(state.pool.backends[*chosen], requirement);
    const int index = takeTask(state, job);
    if (free && state.bound.count(*chosen) == 0) {
        assignments.push_back(startTask(state, job, index, *chosen, now));
        return true;
    }
    holdDelayed(state, job);
    state.bound[*chosen].emplace_back(job.number, index);
    return true;
}

} // namespace Dispatch
