#include <doctest/doctest.h>
#include <stdexcept>
#include <string>
#include <string_view>

#include "Net/ChunkedBody.h"

TEST_CASE("A chunked body is decoded wherever its input is cut, and ends where it ends")
{
    struct Row
    {
        const char *name;
        std::string body;
        std::string expected;
    };
    const Row rows[] = {
            {"empty", "0\r\n\r\n", ""},
            {"one chunk", "2\r\nab\r\n0\r\n\r\n", "ab"},
            {"two chunks, sizes in hexadecimal", "1\r\na\r\nB\r\n01234567890\r\n0\r\n\r\n",
             "a01234567890"},
            {"data that looks like the end", "7\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n", "\r\n0\r\n\r\n"},
            {"extension and trailer", "1;x=y\r\na\r\n0\r\nName: value\r\n\r\n", "a"},
    };
    for (const Row &row : rows) {
        const std::string input = row.body + "GET /next";
        for (std::size_t cut = 0; cut <= input.size(); ++cut) {
            CAPTURE(row.name);
            CAPTURE(cut);
            Net::ChunkedBody body;
            std::size_t taken = body.take(std::string_view(input).substr(0, cut));
            taken += body.take(std::string_view(input).substr(taken));
            CHECK(body.isComplete());
            CHECK(taken == row.body.size());
            CHECK(body.data() == row.expected);
        }
    }
    for (const std::string malformed :
         {"x\r\n", "\r\n", "-1\r\n", "123456789\r\n", "1\r\nabc\r\n", "1x\r\n"}) {
        CAPTURE(malformed);
        Net::ChunkedBody body;
        CHECK_THROWS_AS(body.take(malformed), std::runtime_error);
    }
    Net::ChunkedBody endless;
    CHECK_THROWS_AS(endless.take(std::string(1U << 20U, '0')), std::runtime_error);
}
