#include "Transient/RemainingTimeout.h"

#include <algorithm>

namespace Transient {

namespace {

/// The shortest of this many samples is the first estimate.
constexpr std::int64_t FirstSamples = 40;
/// Share of the callers that may have less than the usual remaining timeout.
constexpr double LowQuantile = 0.05;
/// Relative change of the estimate for a sample. A hundred callers that have waited, as may come in
/// a second, lower the estimate by a fifth; it recovers after two thousand usual ones.
constexpr double SampleStep = 0.002;
/// The network and queues of the programs take part of the timeout of every caller.
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
