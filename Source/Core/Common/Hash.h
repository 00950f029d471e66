#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Common {

/// Hash that is the same in all processes, builds and machines, because shards are derived from it.
std::uint64_t hash64(std::string_view bytes);

/// 128-bit hash in hexadecimal, to compare the content of a resubmission with the first submission.
std::string digest(std::string_view bytes);

} // namespace Common
