#pragma once

#include <chrono>
#include <cstdint>

#include "Common/Ids.h"

namespace Common {

/// The pause after one of \a pauseMs: \a minMs where there was none, else twice as long, up to
/// \a maxMs.
std::int64_t nextBackoffMs(std::int64_t pauseMs, std::int64_t minMs, std::int64_t maxMs);

/// \a pauseMs, spread by half to either side: processes that lost something together would
/// otherwise come back to it together.
std::chrono::milliseconds jitteredDelay(std::int64_t pauseMs, Random &random);

} // namespace Common
