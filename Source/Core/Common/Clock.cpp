#include "Common/Clock.h"

#include <chrono>
#include <ctime>

namespace Common {

namespace {

/// Unlike the standard library's steady clock, this one counts the time for which the machine is
/// suspended.
std::int64_t steadyMs()
{
    constexpr std::int64_t MsPerSecond = 1000;
    constexpr std::int64_t NsPerMs = 1'000'000;
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time.tv_sec * MsPerSecond + time.tv_nsec / NsPerMs;
}

} // namespace

Moment currentMoment()
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {steadyMs(), duration_cast<milliseconds>(wall).count()};
}

} // namespace Common
