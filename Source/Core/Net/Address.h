#pragma once

#include <cstdint>
#include <string>

namespace Net {

struct Address
{
    std::string host;
    std::uint16_t port = 0;
};

/// Splits "host:port", a form that the settings schema checks. The port is 0 if it is missing or
/// not a number.
Address parseAddress(const std::string &text);

} // namespace Net
