#pragma once

#include "Runner/RunnerState.h"

/// Tracks the jobs that have tasks here while their gateway may be lost. Their callers will submit
/// them again at other gateways, which must not start them while the tasks here still run.
namespace Runner {

/// Updates state.orphans, and logs when jobs were added.
void updateOrphans(RunnerState &state, Effects &effects, Common::Moment now);

/// When the next gateway becomes suspect; the largest value if none does or no task is here.
std::int64_t nextSuspectMs(const RunnerState &state, Common::Moment now);

} // namespace Runner
