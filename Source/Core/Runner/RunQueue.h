#pragma once

#include "Runner/RunnerState.h"

/// Order in which waiting tasks start.
///
/// Load pattern: for seconds, more tasks are ordered than the backend server can run at once. In
/// order of arrival, a short urgent task would wait behind long ones that have time. Tasks are
/// therefore ordered by priority, then by the latest start that meets their latency objective,
/// according to the expected run time.
namespace Runner {

/// Whether this agent may still act for the gateway that ordered the run.
bool isGranted(const RunnerState &state, const Run &run, Common::Moment now);

void enqueue(RunnerState &state, RunId id);
void dequeue(RunnerState &state, RunId id);

/// The runs that may start now, in order, regardless of free resources. Left out are runs whose
/// gateway's grant has expired, that have to wait after a failed start, or whose task has another
/// run that is not over yet.
std::vector<RunId> startable(const RunnerState &state, Common::Moment now);

} // namespace Runner
