#include "Runner/ObservationBackoff.h"

#include <algorithm>

namespace Runner {

namespace {

/// Failures that are followed by the next observation at once. A single reset takes several calls
/// with it, and a backend server may leave every second call unanswered.
constexpr int FreeFailures = 6;
constexpr std::int64_t FirstPauseMs = 30;
/// Less than a third of the lease that observations renew.
constexpr std::int64_t LongestPauseMs = 200;
constexpr int MaxDoublings = 3;

} // namespace

void recordObservationAnswered(ObservationBackoff &backoff)
{
    backoff = {};
}

void recordObservationFailed(ObservationBackoff &backoff, Common::Moment now)
{
    ++backoff.failures;
    const int limited = backoff.failures - FreeFailures;
    if (limited > 0) {
        const int doublings = std::min(limited - 1, MaxDoublings);
        backoff.notBeforeMs = now.steadyMs + std::min(FirstPauseMs << doublings, LongestPauseMs);
    }
}

} // namespace Runner
