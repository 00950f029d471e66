#pragma once

#include <chrono>
#include <cstdint>

#include "Common/Ids.h"

namespace Common {

/// Returns the delay that follows a delay of \a pauseMs: \a minMs if \a pauseMs is 0, otherwise
/// twice \a pauseMs, limited to \a maxMs.
std::int64_t nextBackoffMs(std::int64_t pauseMs, std::int64_t minMs, std::int64_t maxMs);

/// Returns a random delay between half and one and a half times \a pauseMs: processes that lost a
/// service together would otherwise retry together.
std::chrono::milliseconds jitteredDelay(std::int64_t pauseMs, Random &random);

} // namespace Common
