#pragma once

#include <cstdint>

/// Keeps some slots free of long tasks while short tasks keep arriving.
///
/// Load pattern: tasks of several seconds among tasks of 50 ms. The order of the queue does not
/// help a short task once all slots are occupied by long ones, because running tasks are not
/// preempted: it waits for seconds, and its response takes fifty times its ideal duration.
///
/// The reserve follows the recent peak of short tasks in flight, up to a quarter of the slots. It
/// decays when short tasks stop, so that long tasks alone may use every slot.
namespace Dispatch {

/// Tasks expected to run at least this long are long. Most tasks take 50 ms to 1 s, and a few take
/// several seconds.
constexpr double LongTaskMs = 1500;

struct SlotReserve
{
    std::int64_t shortInFlight = 0;
    std::int64_t longInFlight = 0;
    /// Peak number of short tasks in flight at once, at the time peakAtMs; it decays afterwards.
    double shortPeak = 0;
    std::int64_t peakAtMs = 0;
};

void recordTaskStarted(SlotReserve &reserve, bool isLong, std::int64_t nowMs);
void recordTaskEnded(SlotReserve &reserve, bool isLong);

/// Whether one more long task would take a slot from the reserve.
bool longTasksBlocked(const SlotReserve &reserve, double slots, std::int64_t nowMs);

} // namespace Dispatch
