#pragma once

#include <functional>
#include <vector>

#include "Runner/RunnerState.h"

/// Forecasts when one more task could start here.
///
/// Load pattern: tasks of 60, 200 and 900 ms run and wait together, and an urgent one overtakes all
/// waiting ones. A forecast from the mean remaining time would refuse urgent jobs because of work
/// that never delays them. The queue is therefore simulated in its own order, up to the moment when
/// there is room again.
namespace Runner {

struct Forecast
{
    /// Wait of a task with the most urgent priority.
    double urgentWaitMs = 0;
    /// Wait of a task behind all waiting ones.
    double waitMs = 0;
};

Forecast forecastOf(const RunnerState &state, Common::Moment now);

/// Whether a queued run stays in the queue if it has to wait for \a waitMs from now on.
using StaysFor = std::function<bool(const Run &run, double waitMs)>;

/// Queued runs for which \a staysFor is false, in the order of the queue. The waits of those behind
/// them are forecast without them.
std::vector<RunId> runsNotStaying(const RunnerState &state, const StaysFor &staysFor,
                                  Common::Moment now);

} // namespace Runner
