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

TEST_CASE("A text with values that no message has is refused before it is parsed")
{
    // Guards against copies of nested values, which recurse until the stack ends, and against
    // conversions of numbers, which are undefined beyond the range of the type.
    struct Row
    {
        const char *name;
        std::string text;
        bool isParsed;
    };
    const auto nested = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    const Row rows[] = {
            {"as deep as messages", nested(24), true},
            {"deeper", nested(25), false},
            {"deep objects", R"({"a":{"a":{"a":{"a":1}}}})", true},
            {"side by side", "[" + nested(20) + "," + nested(20) + "]", true},
            {"largest integer", "9223372036854775807", true},
            {"least integer", "-9223372036854775808", true},
            {"beyond 63 bits", "9223372036854775808", false},
            {"beyond 64 bits", "18446744073709551616", false},
            {"2^53", "9007199254740992.0", true},
            {"1e300", "[1e300]", false},
            {"-1e300", "[-1e300]", false},
            {"1e999", "[1e999]", false},
            {"a fraction", "0.125", true},
            {"no UTF-8", "\"\xff\"", false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        CHECK(Common::parseBoundedJson(row.text).is_discarded() != row.isParsed);
    }
    CHECK(Common::parseBoundedJson("[1,2,3]", 4).size() == 3);
    CHECK(Common::parseBoundedJson("[1,2,3]", 3).is_discarded());
}
