#pragma once

#include <optional>
#include <string>

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerState.h"

/// Tasks between the moment they are sent to a backend server and the moment they end.
namespace Dispatch {

/// Counts a task of \a job, which waits no more, in flight at \a backend.
void addInFlight(SchedulerState &state, ScheduledJob &job, int index, BackendIndex backend,
                 Common::Moment now);

/// As addInFlight(), for a task that is sent now.
Assignment startTask(SchedulerState &state, ScheduledJob &job, int index, BackendIndex backend,
                     Common::Moment now);

/// Takes the task out of those in flight, where it is at \a agent.
std::optional<TaskInFlight> removeInFlight(SchedulerState &state, const TaskKey &key,
                                           const std::string &agent, Common::Moment now);

} // namespace Dispatch
