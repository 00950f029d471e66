#include <doctest/doctest.h>

#include "Common/Common.h"

TEST_CASE("Hashes do not change between builds")
{
    struct Row
    {
        const char *text;
        std::uint64_t hash;
        const char *digest;
    };
    const Row rows[] = {
            {"", 0x2d06800538d394c2ULL, "99aa06d3014798d86001c324468d497f"},
    };
    CHECK(Common::hash64(rows[0].text) == rows[0].hash);
    CHECK(Common::digest(rows[0].text) == rows[0].digest);
    CHECK(Common::hash64("job-1") == Common::hash64("job-1"));
    CHECK(Common::hash64("job-1") != Common::hash64("job-2"));
}
