#include "Common/Ids.h"

#include <array>
#include <cstdio>

namespace Common {

Random makeRandom()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return Random(seed);
}

std::string randomId(Random &random)
{
    constexpr std::size_t HexDigits = 16;
    std::array<char, HexDigits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
    return {text.data(), HexDigits};
}

} // namespace Common
