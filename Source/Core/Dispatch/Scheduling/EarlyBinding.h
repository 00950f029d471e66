#pragma once

#include <vector>

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerState.h"

/// Baselines for the bench: a task is bound to a backend server when its turn comes, free or not,
/// and then waits for that one. This is what a dispatcher without windows does, with the waiting
/// kept here so that agents need no queue for it.
namespace Dispatch {

/// Starts the bound tasks whose backend server has a free place; those of a backend server that
/// takes no work any more go back to their jobs.
void startBound(SchedulerState &state, Common::Moment now, std::vector<Assignment> &assignments);

/// Binds the job's next task, and starts it where a place is free. False where no backend server
/// takes work.
bool bindNext(SchedulerState &state, ScheduledJob &job, Common::Moment now, Common::Random &random,
              std::vector<Assignment> &assignments);

} // namespace Dispatch
