#include "Runner/StartLimit.h"

#include <algorithm>
#include <cmath>

namespace Runner {

namespace {

/// Ten times a usual answer.
constexpr double ShortestMs = 30;
/// Also of a process that has seen no answers yet.
constexpr double LongestMs = 150;
constexpr std::int64_t FirstSamples = 8;
constexpr double MeanShare = 1.0 / 8;
constexpr double DeviationShare = 1.0 / 4;
constexpr double Deviations = 6;

} // namespace

void startAnswerSeen(StartLimit &limit, std::int64_t answerMs)
{
    const auto seenMs = static_cast<double>(answerMs);
    ++limit.samples;
    limit.backoff = 1;
    limit.deviationMs += DeviationShare * (std::abs(seenMs - limit.meanMs) - limit.deviationMs);
    limit.meanMs += MeanShare * (seenMs - limit.meanMs);
}

void startUnanswered(StartLimit &limit)
{
    if (static_cast<double>(limit.backoff) * ShortestMs < LongestMs) {
        limit.backoff *= 2;
    }
}

std::int64_t startLimitMs(const StartLimit &limit)
{
    if (limit.samples < FirstSamples) {
        return static_cast<std::int64_t>(LongestMs);
    }
    const double learnedMs = std::max(limit.meanMs + Deviations * limit.deviationMs, ShortestMs);
    return static_cast<std::int64_t>(
            std::min(learnedMs * static_cast<double>(limit.backoff), LongestMs));
}

} // namespace Runner
