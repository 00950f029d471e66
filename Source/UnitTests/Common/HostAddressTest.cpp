#include <doctest/doctest.h>
#include <ostream>
#include <string>

#include "Common/HostAddress.h"

TEST_CASE("Addresses that cannot be dialled are told from those that can")
{
    struct Row
    {
        std::string address;
        bool isUsable;
    };
    const Row rows[] = {
            {"127.0.0.1:1", true},
            {"edge-1.example:65535", true},
            {"localhost:7720", true},
            {"127.0.0.1:0", false},
            {"127.0.0.1:65536", false},
            {"127.0.0.1:-1", false},
            {"127.0.0.1:+7", false},
            {"127.0.0.1:7x", false},
            {"127.0.0.1:99999999999999999999", false},
            {"127.0.0.1:", false},
            {"127.0.0.1", false},
            {":7", false},
            {"", false},
            {"a b:7", false},
            {"127.0.0.1:1/x:7", false},
            {"user@host:7", false},
            {std::string(254, 'h') + ":7", false},
            {std::string("h\0st:7", 6), false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.address);
        CHECK(Common::isHostAndPort(row.address) == row.isUsable);
    }
}
