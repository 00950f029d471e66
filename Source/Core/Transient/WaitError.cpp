#include "Transient/WaitError.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Transient {

namespace {

/// Weight of one task in the moving averages: about eight wide jobs show a change. The tasks of one
/// job are placed with the same reports, and their errors are similar.
constexpr double TaskWeight = 1.0 / 64;
/// The error decays while there are no samples: a queue whose jobs are all refused would otherwise
/// never detect that waits are short again. The half-life is as long as two or three rounds of
/// short jobs under overload.
constexpr double ErrorHalfLifeMs = 1000;
/// Limits the effect of a single task: its backend server may have hung for seconds.
constexpr double MaxErrorMs = 250;
/// Standard deviation of normal values over their mean distance from the mean. The mean distance is
/// learned, since a single long wait would raise a variance far more.
constexpr double DeviationPerDistance = 1.2533;

WaitError decayed(const WaitError &error, std::int64_t nowMs)
{
    const auto idleMs = static_cast<double>(std::max<std::int64_t>(nowMs - error.observedMs, 0));
    const double share = std::exp2(-idleMs / ErrorHalfLifeMs);
    return {error.meanMs * share, error.distanceMs * share, error.observedMs};
}

} // namespace

void observeWait(WaitError &error, double predictedMs, double waitedMs, std::int64_t nowMs)
{
    const WaitError before = decayed(error, nowMs);
    const double bounded = std::clamp(waitedMs - predictedMs, -MaxErrorMs, MaxErrorMs);
    const double distanceMs = bounded - before.meanMs;
    error.meanMs = before.meanMs + TaskWeight * distanceMs;
    error.distanceMs = before.distanceMs + TaskWeight * (std::abs(distanceMs) - before.distanceMs);
    error.observedMs = nowMs;
}

double expectedMaximum(int count)
{
    /// For 1, 2, 4, ... values; between these it is nearly linear in the logarithm of the count.
    constexpr std::array<double, 9> Maxima{0,     0.564, 1.029, 1.424, 1.766,
                                           2.070, 2.343, 2.594, 2.827};
    const double doublings = std::log2(std::max(count, 1));
    const auto below = static_cast<std::size_t>(doublings);
    if (below + 1 >= Maxima.size()) {
        return Maxima.back();
    }
    const double share = doublings - static_cast<double>(below);
    return Maxima.at(below) + share * (Maxima.at(below + 1) - Maxima.at(below));
}

double latestWaitMs(const WaitError &error, double predictedMs, int tasks, std::int64_t nowMs)
{
    const WaitError present = decayed(error, nowMs);
    const double deviationMs = present.distanceMs * DeviationPerDistance;
    const double latestMs = predictedMs + present.meanMs + deviationMs * expectedMaximum(tasks);
    return std::max(latestMs, 0.0);
}

} // namespace Transient
