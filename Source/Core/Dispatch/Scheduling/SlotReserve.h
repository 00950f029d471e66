#pragma once

#include <cstdint>

/// Keeps some slots free of long tasks while short ones keep coming.
///
/// Load pattern: tasks of several seconds among tasks of 50 ms. The queue's order does not help a
/// short task once all slots are held by long ones, which nothing takes back: it waits seconds, for
/// a response of fifty times its ideal.
///
/// The reserve is what short tasks held at once lately, and at most a quarter of the slots; it
/// decays when short tasks stop, so that long tasks alone may use every slot.
namespace Dispatch {

/// "Most tasks last 50 ms to a second, and a few take several seconds."
constexpr double LongTaskMs = 1500;

struct SlotReserve
{
    std::int64_t shortInFlight = 0;
    std::int64_t longInFlight = 0;
    /// Most short tasks at once, decaying.
    double shortPeak = 0;
    std::int64_t peakAtMs = 0;
};

void recordTaskStarted(SlotReserve &reserve, bool isLong, std::int64_t nowMs);
void recordTaskEnded(SlotReserve &reserve, bool isLong);

/// One more long task would take a slot from the reserve.
bool longTasksBlocked(const SlotReserve &reserve, double slots, std::int64_t nowMs);

} // namespace Dispatch
