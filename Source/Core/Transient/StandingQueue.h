#pragma once

#include <cstdint>
#include <optional>

/// Detects that requests wait in this process because it is short of processor time.
///
/// Load pattern: callers submit more than the processor of a gateway can handle, or the machine
/// gives it less than its settings say. Every request then waits for the ones before it, and by the
/// time that it is handled its caller has no use for an answer any more, so that nothing is served
/// although the processor is busy all the time. The processor time used does not show it: a machine
/// at half its speed is full at half its processors. The age of requests does.
///
/// A burst is worked off, and at its end a request is handled soon after its arrival. A queue is
/// standing if that has not happened for a while: the processor has been busy all the time, and
/// what waits will not be worked off by waiting.
namespace Transient {

/// A request that is handled sooner after its arrival shows that there is no queue.
constexpr std::int64_t FreshRequestMs = 20;
/// Time without a fresh request after which the queue counts as standing.
constexpr std::int64_t StandingAfterMs = 100;
/// Oldest request that is handled while the queue is standing; older ones are refused unread.
constexpr std::int64_t MaxRequestAgeMs = 40;

struct StandingQueue
{
    /// Steady clock: when the first request that was not fresh was handled since the last fresh
    /// one.
    std::optional<std::int64_t> agedSinceMs;
    std::int64_t observedMs = 0;
    /// When the queue last was standing; nothing if it never was.
    std::optional<std::int64_t> standingMs;
};

/// Takes note of a request that is handled \a ageMs after its arrival.
void observeRequestAge(StandingQueue &queue, std::int64_t ageMs, std::int64_t nowMs);

/// Whether requests wait now for want of processor time.
bool isStanding(const StandingQueue &queue, std::int64_t nowMs);

/// Whether the queue was standing at some time since \a sinceMs.
bool wasStandingSince(const StandingQueue &queue, std::int64_t sinceMs);

} // namespace Transient
