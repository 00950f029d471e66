#pragma once

#include <cstdint>

namespace Common {

/// The two clocks a decision may look at, read once for each event. Decision code never reads a
/// clock itself, so that a test can drive it through virtual time.
struct Moment
{
    /// Monotonic milliseconds, for leases, silence and timers within one process.
    std::int64_t steadyMs = 0;
    /// Milliseconds since the Unix epoch, for deadlines and submission times that cross machines.
    std::int64_t wallMs = 0;
};

Moment currentMoment();

} // namespace Common
