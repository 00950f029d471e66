#pragma once

#include <cstdint>

/// Estimates how long a caller has waited before its request reached a gateway.
///
/// Load pattern: all gateways are down for a second. Callers' connections wait meanwhile and all
/// arrive within the half second after it, together with the usual ones. The target time of those
/// that have waited has passed; in order of arrival, they would make the new ones late as well: of
/// 319 jobs of the next two seconds 107 were in time. A request contains the caller's remaining
/// timeout, and the callers of a queue have similar timeouts. The time by which a remaining timeout
/// is shorter than that of nearly all other callers is therefore taken as time already waited.
namespace Transient {

struct UsualRemainingTimeout
{
    /// Estimate of the remaining timeout that nineteen of twenty callers have, or more, when they
    /// reach a gateway.
    double usualMs = 0;
    std::int64_t samples = 0;
};

/// Updates the estimate with the remaining timeout of a caller.
void observeRemainingTimeout(UsualRemainingTimeout &usual, std::int64_t remainingTimeoutMs);

/// Least time that a caller with this remaining timeout has waited; 0 while there are few samples.
std::int64_t waitedBeforeMs(const UsualRemainingTimeout &usual, std::int64_t remainingTimeoutMs);

} // namespace Transient
