#pragma once

#include "Runner/RunnerState.h"

/// Returns tasks that would wait here for longer than their gateway allows.
///
/// Load pattern: many gateways place tasks by reports of the load that are 50 to 150 ms old, and
/// choose the same backend servers meanwhile. With a third of all processors free, a third of the
/// starts waited while other backend servers were idle, and most wide jobs had a task among them.
/// An order therefore limits the wait. A returned task was never sent to the backend server, and
/// the report that returns it contains the present load.
namespace Runner {

/// Returns the queued tasks that are expected to wait for longer than their orders allow, or that
/// have done so. A task of which a start was sent stays, whatever became of that start.
Effects returnBusyTasks(RunnerState &state, Common::Moment now);

/// When the next queued task will have waited for as long as its order allows; nothing if there is
/// none.
std::optional<std::int64_t> nextReturnMs(const RunnerState &state);

} // namespace Runner
