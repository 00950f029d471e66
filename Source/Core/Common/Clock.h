#pragma once

#include <cstdint>

namespace Common {

/// The two clocks that decision code may use, read once for each event. Decision code never reads a
/// clock itself, so that a test can run it in virtual time.
struct Moment
{
    /// Monotonic milliseconds, for leases, silence detection and timers within one process.
    std::int64_t steadyMs = 0;
    /// Milliseconds since the Unix epoch, for deadlines and submission times that are exchanged
    /// between machines.
    std::int64_t wallMs = 0;
};

Moment currentMoment();

} // namespace Common
