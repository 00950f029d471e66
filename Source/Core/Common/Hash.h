#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Common {

/// Stable across processes, builds and machines: shards are derived from it.
std::uint64_t hash64(std::string_view bytes);

/// 128-bit hash in hexadecimal, for comparing a resubmission's content with the first.
std::string digest(std::string_view bytes);

} // namespace Common
