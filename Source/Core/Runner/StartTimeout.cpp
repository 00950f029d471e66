#include "Runner/StartTimeout.h"

#include <algorithm>
#include <cmath>

namespace Runner {

namespace {

/// Ten times the usual answer time.
constexpr double MinTimeoutMs = 30;
/// Also used until MinSamples answers have been received.
constexpr double MaxTimeoutMs = 150;
constexpr std::int64_t MinSamples = 8;
constexpr double MeanWeight = 1.0 / 8;
constexpr double DeviationWeight = 1.0 / 4;
constexpr double DeviationFactor = 6;

} // namespace

void recordStartAnswer(StartTimeout &timeout, std::int64_t answerMs)
{
    const auto observedMs = static_cast<double>(answerMs);
    ++timeout.samples;
    timeout.backoff = 1;
    timeout.deviationMs +=
            DeviationWeight * (std::abs(observedMs - timeout.meanMs) - timeout.deviationMs);
    timeout.meanMs += MeanWeight * (observedMs - timeout.meanMs);
}

void recordStartUnanswered(StartTimeout &timeout)
{
    if (static_cast<double>(timeout.backoff) * MinTimeoutMs < MaxTimeoutMs) {
        timeout.backoff *= 2;
    }
}

std::int64_t startTimeoutMs(const StartTimeout &timeout)
{
    if (timeout.samples < MinSamples) {
        return static_cast<std::int64_t>(MaxTimeoutMs);
    }
    const double learnedMs =
            std::max(timeout.meanMs + DeviationFactor * timeout.deviationMs, MinTimeoutMs);
    return static_cast<std::int64_t>(
            std::min(learnedMs * static_cast<double>(timeout.backoff), MaxTimeoutMs));
}

} // namespace Runner
