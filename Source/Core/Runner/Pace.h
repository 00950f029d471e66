#pragma once

#include "Runner/RunnerState.h"

/// How fast the backend server works against what was expected of it.
///
/// Load pattern: a backend server turns slow, or everything on it stands still, while it still
/// answers and nothing fails. Ends tell of it too late or never: its tasks would count as nearly
/// done, and every gateway would go on sending it more. The progress of what runs tells within some
/// tens of milliseconds, while its tasks can still be in time elsewhere.
namespace Runner {

/// An observation has shown how far the run was when that told of its pace.
bool isPaceKnown(const Run &run);

/// Time that a run still takes, by its progress where it tells and by the estimate otherwise.
std::int64_t timeLeftMs(const Run &run, Common::Moment now);

/// Takes the progress of what runs into the backend server's slowdown.
void updateSlowdown(RunnerState &state, Common::Moment now);

/// By how much runs take longer there than expected; 1 where they do not, or nothing is known.
double slowdownOf(const RunnerState &state, Common::Moment now);

/// Where all stands nearly still: stops what would be late here and in time elsewhere, and gives
/// back what waits here.
Effects moveFromSlow(RunnerState &state, Common::Moment now);

} // namespace Runner
