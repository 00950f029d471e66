#include "Dispatch/Scheduling/SlotReserve.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {
namespace {

constexpr double MaxReservedShare = 0.25;
/// Leaves room for a short burst above the last peak.
constexpr double PeakHeadroom = 1.25;
/// Longer than a long task runs, so that the reserve outlasts one batch of long tasks.
constexpr double PeakHalfLifeMs = 10000;

double decayedPeak(const SlotReserve &reserve, std::int64_t nowMs)
{
    const auto age = static_cast<double>(nowMs - reserve.peakAtMs);
    return reserve.shortPeak * std::exp2(-age / PeakHalfLifeMs);
}

} // namespace

void recordTaskStarted(SlotReserve &reserve, bool isLong, std::int64_t nowMs)
{
    if (isLong) {
        reserve.longInFlight += 1;
        return;
    }
    reserve.shortInFlight += 1;
    const auto current = static_cast<double>(reserve.shortInFlight);
    reserve.shortPeak = std::max(decayedPeak(reserve, nowMs), current);
    reserve.peakAtMs = nowMs;
}

void recordTaskEnded(SlotReserve &reserve, bool isLong)
{
    (isLong ? reserve.longInFlight : reserve.shortInFlight) -= 1;
}

bool longTasksBlocked(const SlotReserve &reserve, double slots, std::int64_t nowMs)
{
    const double wanted = decayedPeak(reserve, nowMs) * PeakHeadroom;
    const double reserved = std::floor(std::min(wanted, slots * MaxReservedShare));
    return reserved >= 1 && static_cast<double>(reserve.longInFlight) >= slots - reserved;
}

} // namespace Dispatch
