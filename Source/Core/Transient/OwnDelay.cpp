#include "Transient/OwnDelay.h"

#include <algorithm>
#include <cmath>

namespace Transient {

namespace {

/// Weight of one request or frame: a gateway handles 500 to 2,000 of them per second, so that the
/// average follows within a fraction of a second. It needs no decay, since agents send reports also
/// when there are no jobs.
constexpr double SampleWeight = 1.0 / 128;
/// Limits the effect of a single sample: all frames that arrive during a freeze wait for its end.
constexpr double MaxSampleMs = 200;

} // namespace

void observeOwnDelay(OwnDelay &delay, double waitedMs)
{
    const double distanceMs = std::clamp(waitedMs, 0.0, MaxSampleMs) - delay.meanMs;
    delay.meanMs += SampleWeight * distanceMs;
    delay.deviationMs += SampleWeight * (std::abs(distanceMs) - delay.deviationMs);
}

double ownDelayMs(const OwnDelay &delay)
{
    return delay.meanMs + delay.deviationMs;
}

} // namespace Transient
