#pragma once

#include <cstdint>
#include <string>

namespace Net {

struct Address
{
    std::string host;
    std::uint16_t port = 0;
};

/// "host:port", as the settings' schema checks it. Without a readable port the port is 0.
Address parseAddress(const std::string &text);

} // namespace Net
