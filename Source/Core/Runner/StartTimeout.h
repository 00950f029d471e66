#pragma once

#include <cstdint>

/// Timeout for the answer to a start, adapted to the answer times.
///
/// Load pattern: one start in twenty goes unanswered for a while, and its task can be moved
/// elsewhere only after the start has timed out and the run is known to be over. A fixed timeout
/// that suits a busy instance is longer than all the time that a short task has.
namespace Runner {

struct StartTimeout
{
    double meanMs = 0;
    double deviationMs = 0;
    std::int64_t samples = 0;
    /// Factor that doubles with each unanswered start and returns to 1 with each answer, so that
    /// not every start times out at an instance that has just become slow.
    std::int64_t backoff = 1;
};

void recordStartAnswer(StartTimeout &timeout, std::int64_t answerMs);
void recordStartUnanswered(StartTimeout &timeout);

std::int64_t startTimeoutMs(const StartTimeout &timeout);

} // namespace Runner
