#include <chrono>
#include <ctime>
#include <doctest/doctest.h>

#include "Common/Common.h"

TEST_CASE("The steady clock counts the time for which the machine is suspended")
{
    // On a machine that was never suspended both clocks of the kernel agree, and this shows
    // nothing.
    using std::chrono::milliseconds;
    using std::chrono::nanoseconds;
    using std::chrono::seconds;
    timespec sinceBoot{};
    REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &sinceBoot) == 0);
    const auto before = std::chrono::duration_cast<milliseconds>(seconds(sinceBoot.tv_sec)
                                                                 + nanoseconds(sinceBoot.tv_nsec));
    const std::int64_t steadyMs = Common::currentMoment().steadyMs;
    CHECK(steadyMs >= before.count());
    CHECK(steadyMs < before.count() + 1000);
}
