#include "Net/Address.h"

#include <charconv>

namespace Net {

Address parseAddress(const std::string &text)
{
    Address address;
    const std::size_t colon = text.rfind(':');
    address.host = text.substr(0, colon);
    if (colon != std::string::npos) {
        const char *end = text.data() + text.size();
        std::from_chars(text.data() + colon + 1, end, address.port);
    }
    return address;
}

} // namespace Net
