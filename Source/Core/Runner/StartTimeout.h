#pragma once

#include <cstdint>

/// How long the answer to a start is waited for.
///
/// Load pattern: one start in twenty goes unanswered for a while, and its task can go elsewhere
/// only once it is given up and settled. A fixed limit that suits a busy instance is longer than
/// all the time that a short task has. The limit follows the answers that come.
namespace Runner {

struct StartTimeout
{
    double meanMs = 0;
    double deviationMs = 0;
    std::int64_t samples = 0;
    /// Doubled with each start without an answer since the last one that had one: an instance that
    /// has just turned slow does not give up all it starts.
    std::int64_t backoff = 1;
};

void recordStartAnswer(StartTimeout &timeout, std::int64_t answerMs);
void recordStartUnanswered(StartTimeout &timeout);

std::int64_t startTimeoutMs(const StartTimeout &timeout);

} // namespace Runner
