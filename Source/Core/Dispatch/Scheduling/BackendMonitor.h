#pragma once

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerState.h"

/// Watches outcomes and silence of the backend servers, and takes bad ones out of work within the
/// cap that Health.h sets.
namespace Dispatch {

/// A task ended: judges its backend server, unless the service is to blame.
void updateBackendHealth(SchedulerState &state, const TaskInFlight &task, bool succeeded,
                         double runMs, Common::Moment now);

/// Finds backend servers that hang. They report no outcome to learn from; the age of what they hold
/// gives them away.
void checkStalled(SchedulerState &state, std::int64_t nowMs);

/// The agent refused a start for \a reason, which is proof that nothing started: believes its
/// window no longer, or pauses it.
void handleStartRefused(BackendPool &pool, BackendIndex index, Schema::Reason reason,
                        std::int64_t nowMs);

} // namespace Dispatch
