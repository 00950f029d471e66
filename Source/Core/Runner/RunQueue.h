#pragma once

#include "Runner/RunnerState.h"

/// In which order waiting tasks start.
///
/// Load pattern: for seconds, more is ordered than the backend server can run at once. By order of
/// arrival a short urgent task waits behind long ones that have time. The queue's priority goes
/// first, then the task whose latest start, by its target and expected run time, comes first.
namespace Runner {

void enqueue(RunnerState &state, RunId id);
void dequeue(RunnerState &state, RunId id);

/// The runs that start now, in order: each still needs room when its turn comes. A task of which
/// another run is not over yet waits.
std::vector<RunId> startable(const RunnerState &state, Common::Moment now);

} // namespace Runner
