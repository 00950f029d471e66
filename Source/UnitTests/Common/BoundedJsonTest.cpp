#include <doctest/doctest.h>
#include <string>

#include "Common/BoundedJson.h"

TEST_CASE("A body of legal length takes many times its length in memory once it is parsed")
{
    constexpr std::size_t Long = std::size_t{4} << 20U;
    struct Row
    {
        const char *name;
        std::string text;
        bool isParsed;
    };
    const auto repeated = [](const std::string &value, std::size_t times) {
        std::string text = "[0";
        for (std::size_t time = 0; time < times; ++time) {
            text += ',' + value;
        }
        return text + ']';
    };
    const Row rows[] = {
            {"not JSON", "{", false},
            {"not JSON, and long", std::string(Long, 'x'), false},
            {"a long string", '"' + std::string(Long, 'x') + '"', true},
            {"few long strings", repeated('"' + std::string(10'000, 'x') + '"', 360), true},
            {"many short values", repeated("0", 1'000'000), false},
            {"many empty arrays", repeated("[]", 1'000'000), false},
            {"many small objects", repeated("{\"a\":0}", 200'000), false},
            {"deep", std::string(1'000'000, '['), false},
            {"short", repeated("0", 1000), true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CHECK(Common::parseBoundedJson(row.text).is_discarded() != row.isParsed);
    }
}
