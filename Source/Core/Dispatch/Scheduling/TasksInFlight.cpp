#include "Dispatch/Scheduling/TasksInFlight.h"

namespace Dispatch {

void addInFlight(SchedulerState &state, ScheduledJob &job, int index, BackendIndex backend,
                 Common::Moment now)
{
    const Requirement &requirement = state.pool.requirements[job.requirement];
    const double runMs = meanRunMs(state.estimates, job.profile);
    TaskInFlight task;
    task.backend = backend;
    task.agent = state.pool.backends[backend].instance;
    task.profile = job.profile;
    task.service = job.demand.service;
    task.resources = requirement.resources;
    task.caller = job.caller;
    task.isLong = job.isLong;
    task.workMs = runMs;
    task.chargedMs = runMs * speedFactor(state.pool.backends[backend].speed);
    task.sinceMs = now.steadyMs;
    occupySlot(state.pool, backend, requirement, task.workMs, now.steadyMs);
    chargeStart(state.queue, job.caller, task.chargedMs);
    recordTaskStarted(state.reserve, job.isLong, now.steadyMs);
    job.started += 1;
    state.inFlight.emplace(TaskKey{job.demand.id, index}, std::move(task));
}

Assignment startTask(SchedulerState &state, ScheduledJob &job, int index, BackendIndex backend,
                     Common::Moment now)
{
    addInFlight(state, job, index, backend, now);
    earnRetryTokens(state.retries);
    return {{job.demand.id, index}, state.pool.backends[backend].instance};
}

std::optional<TaskInFlight> removeInFlight(SchedulerState &state, const TaskKey &key,
                                           const std::string &agent, Common::Moment now)
{
    const auto found = state.inFlight.find(key);
    if (found == state.inFlight.end() || found->second.agent != agent) {
        return std::nullopt;
    }
    TaskInFlight task = std::move(found->second);
    state.inFlight.erase(found);
    vacateSlot(state.pool, task.backend, task.resources, task.workMs, now.steadyMs);
    recordTaskEnded(state.reserve, task.isLong);
    return task;
}

} // namespace Dispatch
