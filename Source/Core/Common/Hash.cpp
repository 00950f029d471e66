#include "Common/Hash.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace Common {

std::uint64_t hash64(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string digest(std::string_view bytes)
{
    constexpr std::size_t HexDigits = 32;
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    std::array<char, HexDigits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return {text.data(), HexDigits};
}

} // namespace Common
