#pragma once

#include <optional>
#include <string>

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerState.h"

/// Bookkeeping of the tasks that were sent to a backend server and have not ended.
namespace Dispatch {

/// Counts a task of \a job, which no longer waits, as in flight at \a backend.
void addInFlight(SchedulerState &state, ScheduledJob &job, int index, BackendIndex backend,
                 Common::Moment now);

/// Like addInFlight(), for a task that is sent now: its start also adds to the retry budget.
Assignment startTask(SchedulerState &state, ScheduledJob &job, int index, BackendIndex backend,
                     Common::Moment now);

/// Removes the task from those in flight and returns it, or nothing if it is not in flight at
/// \a agent.
std::optional<TaskInFlight> removeInFlight(SchedulerState &state, const TaskKey &key,
                                           const std::string &agent, Common::Moment now);

} // namespace Dispatch
