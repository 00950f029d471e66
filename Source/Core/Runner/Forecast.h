#pragma once

#include "Runner/RunnerState.h"

/// When one more task could start here.
///
/// Load pattern: tasks of 60, 200 and 900 ms stand side by side, and an urgent one passes all that
/// waits. A mean time left says little of either: with it, urgent jobs are refused for work that
/// would never stand before them. So the queue is played forward, in its own order, to the moment
/// at which there is room again.
namespace Runner {

struct Forecast
{
    /// For a task of the most urgent priority.
    double urgentWaitMs = 0;
    /// For a task behind all that waits.
    double waitMs = 0;
};

Forecast forecastOf(const RunnerState &state, Common::Moment now);

} // namespace Runner
