#include "Common/Clock.h"

#include <chrono>

namespace Common {

Moment currentMoment()
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {duration_cast<milliseconds>(steady).count(), duration_cast<milliseconds>(wall).count()};
}

} // namespace Common
