#pragma once

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerState.h"

/// Evaluates task outcomes, overdue tasks and refused starts, and takes faulty backend servers out
/// of service. The number of ejected and stalled ones is limited by maxEjected().
namespace Dispatch {

/// Updates the health of the task's backend server after the task has ended, and ejects it if
/// necessary. A failure does not count when the service itself is failing.
void updateBackendHealth(SchedulerState &state, const TaskInFlight &task, bool succeeded,
                         double runMs, Common::Moment now);

/// Marks backend servers as stalled while more than half of their tasks are overdue. A backend
/// server that hangs reports no outcomes, so the age of its tasks is compared with the expected run
/// time.
void checkStalled(SchedulerState &state, std::int64_t nowMs);

/// Handles the refusal of a start by the agent, which proves that the task has not started.
/// Depending on \a reason, the agent's window is reduced, or its backend server is paused or marked
/// as draining, or nothing changes.
void handleStartRefused(BackendPool &pool, BackendIndex index, Schema::Reason reason,
                        std::int64_t nowMs);

} // namespace Dispatch
