#include "Transient/RemainingTimeout.h"

#include <algorithm>

namespace Transient {

namespace {

/// The shortest of so many is the first guess.
constexpr std::int64_t FirstSamples = 40;
/// Share of the callers that may have less.
constexpr double LowQuantile = 0.05;
/// Of the figure, for a sample. A second of a hundred callers that have waited lowers the figure by
/// a fifth; it is back after two thousand usual ones.
constexpr double SampleStep = 0.002;
/// Network and queues of the programs take some of everybody's time.
constexpr double SlackMs = 50;

} // namespace

void observeRemainingTimeout(UsualRemainingTimeout &usual, std::int64_t remainingTimeoutMs)
{
    const auto seenMs = static_cast<double>(remainingTimeoutMs);
    ++usual.samples;
    if (usual.samples == 1) {
        usual.usualMs = seenMs;
    } else if (usual.samples <= FirstSamples) {
        usual.usualMs = std::min(usual.usualMs, seenMs);
    } else if (seenMs < usual.usualMs) {
        usual.usualMs *= 1 - SampleStep * (1 - LowQuantile);
    } else {
        usual.usualMs *= 1 + SampleStep * LowQuantile;
    }
}

std::int64_t waitedBeforeMs(const UsualRemainingTimeout &usual, std::int64_t remainingTimeoutMs)
{
    if (usual.samples < FirstSamples) {
        return 0;
    }
    const double waitedMs = usual.usualMs - static_cast<double>(remainingTimeoutMs) - SlackMs;
    return std::max<std::int64_t>(0, static_cast<std::int64_t>(waitedMs));
}

} // namespace Transient
