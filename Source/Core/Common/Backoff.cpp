#include "Common/Backoff.h"

#include <algorithm>
#include <random>

namespace Common {

std::int64_t longerPause(std::int64_t pauseMs, std::int64_t firstMs, std::int64_t mostMs)
{
    return pauseMs == 0 ? firstMs : std::min(pauseMs * 2, mostMs);
}

std::chrono::milliseconds spreadPause(std::int64_t pauseMs, Random &random)
{
    std::uniform_int_distribution<std::int64_t> spread(pauseMs / 2, pauseMs + pauseMs / 2);
    return std::chrono::milliseconds(spread(random));
}

} // namespace Common
