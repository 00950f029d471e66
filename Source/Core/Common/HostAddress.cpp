#include "Common/HostAddress.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace Common {

namespace {

constexpr std::size_t MaxHostBytes = 253;

bool isHostCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9') || character == '.' || character == '-'
           || character == '_';
}

} // namespace

bool isHost(std::string_view text)
{
    return !text.empty() && text.size() <= MaxHostBytes
           && std::all_of(text.begin(), text.end(), isHostCharacter);
}

bool isHostAndPort(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isHost(text.substr(0, colon))) {
        return false;
    }
    const char *end = text.data() + text.size();
    std::int64_t port = 0;
    const auto [last, error] = std::from_chars(text.data() + colon + 1, end, port);
    return error == std::errc() && last == end && port >= 1 && port <= MaxPort;
}

} // namespace Common
