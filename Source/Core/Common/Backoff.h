#pragma once

#include <chrono>
#include <cstdint>

#include "Common/Ids.h"

namespace Common {

/// The pause after one of \a pauseMs: \a firstMs where there was none, else twice as long, up to
/// \a mostMs.
std::int64_t longerPause(std::int64_t pauseMs, std::int64_t firstMs, std::int64_t mostMs);

/// \a pauseMs, spread by half to either side: processes that lost something together would
/// otherwise come back to it together.
std::chrono::milliseconds spreadPause(std::int64_t pauseMs, Random &random);

} // namespace Common
