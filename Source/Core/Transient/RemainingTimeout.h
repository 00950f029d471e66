#pragma once

#include <cstdint>

/// How long a caller has waited before its request reached a gateway.
///
/// Load pattern: all gateways are gone for a second. Callers' connections wait meanwhile, and all
/// come in the first half second after, together with the usual ones. The target of those that have
/// waited is over; served first come first served, they make the fresh ones late as well: of 319
/// jobs of the next two seconds 107 were in time. A request says how long its caller still waits,
/// and the callers of a queue are alike: what one has less than nearly all others have, it has
/// waited.
namespace Transient {

struct UsualRemainingTimeout
{
    /// That nineteen of twenty callers have left, or more, when they reach a gateway.
    double usualMs = 0;
    std::int64_t samples = 0;
};

void observeRemainingTimeout(UsualRemainingTimeout &usual, std::int64_t remainingTimeoutMs);

/// For at least how long a caller with \a remainingTimeoutMs left has waited; 0 while little is
/// known.
std::int64_t waitedBeforeMs(const UsualRemainingTimeout &usual, std::int64_t remainingTimeoutMs);

} // namespace Transient
