#pragma once

#include "Runner/RunnerState.h"

/// Estimates how fast the backend server works compared to the expected run times.
///
/// Load pattern: a backend server becomes slow, or all its runs stop making progress, while it
/// still answers and nothing fails. The ends of runs reveal this too late or never: its tasks would
/// count as nearly done, and every gateway would continue to send it more. The progress of the runs
/// reveals it within some tens of milliseconds, while their tasks can still finish in time
/// elsewhere.
namespace Runner {

/// Whether the run has been observed long enough after its start for its progress to show its pace.
bool isPaceKnown(const Run &run);

/// Remaining time of a run, by its progress where its pace is known and by the expected run time
/// otherwise.
std::int64_t timeLeftMs(const Run &run, Common::Moment now);

/// Updates the backend server's slowdown from the progress of its runs. Without a run of known pace
/// it stays unchanged.
void updateSlowdown(RunnerState &state, Common::Moment now);

/// Factor by which runs take longer than expected; 1 if it is less than 2, or nothing is known.
double slowdownOf(const RunnerState &state, Common::Moment now);

/// If the backend server has nearly come to a standstill, stops the runs that would be late here
/// and take less than half the remaining time elsewhere, and returns the waiting tasks.
Effects moveFromSlow(RunnerState &state, Common::Moment now);

} // namespace Runner
