#pragma once

#include <vector>

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerState.h"

/// Baselines for benchmarks: a task is bound to a backend server when it is next in the queue,
/// whether that has a free slot or not, and then waits for this backend server. A dispatcher
/// without windows works like this, but here the bound tasks wait in the gateway, so that agents
/// need no queue.
namespace Dispatch {

/// Starts the bound tasks whose backend server has a free slot. The tasks of a backend server that
/// has become unavailable return to their jobs.
void startBound(SchedulerState &state, Common::Moment now, std::vector<Assignment> &assignments);

/// Binds the job's next task, and starts it if a slot is free. Returns false if no eligible backend
/// server is available.
bool bindNext(SchedulerState &state, ScheduledJob &job, Common::Moment now, Common::Random &random,
              std::vector<Assignment> &assignments);

} // namespace Dispatch
