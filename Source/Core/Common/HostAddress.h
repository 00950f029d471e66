#pragma once

#include <cstdint>
#include <string_view>

namespace Common {

constexpr std::int64_t MaxPort = 65'535;

/// Whether the text can be the name or the IPv4 address of a machine: letters, digits, '.', '-' and
/// '_', 253 at most.
bool isHost(std::string_view text);

/// Whether the text is "host:port" with a port from 1 to MaxPort.
bool isHostAndPort(std::string_view text);

} // namespace Common
