#include "Common/Backoff.h"

#include <algorithm>
#include <random>

namespace Common {

std::int64_t nextBackoffMs(std::int64_t pauseMs, std::int64_t minMs, std::int64_t maxMs)
{
    return pauseMs == 0 ? minMs : std::min(pauseMs * 2, maxMs);
}

std::chrono::milliseconds jitteredDelay(std::int64_t pauseMs, Random &random)
{
    std::uniform_int_distribution<std::int64_t> distribution(pauseMs / 2, pauseMs + pauseMs / 2);
    return std::chrono::milliseconds(distribution(random));
}

} // namespace Common
