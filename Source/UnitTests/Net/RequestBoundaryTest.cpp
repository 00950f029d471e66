#include <doctest/doctest.h>
#include <string>
#include <string_view>

#include "Net/RequestBoundary.h"

TEST_CASE("The end of a request is found wherever its input is cut")
{
    struct Row
    {
        const char *name;
        std::string head;
        std::size_t bodyLength;
    };
    const Row rows[] = {
            {"no body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 0},
            {"body", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", 5},
            {"blank line after a lone carriage return", "GET / HTTP/1.1\r\nA: \r\r\n\r\n", 0},
    };
    for (const Row &row : rows) {
        const std::string input = row.head + std::string(row.bodyLength, 'b') + "GET /next";
        for (std::size_t cut = 0; cut <= input.size(); ++cut) {
            CAPTURE(row.name);
            CAPTURE(cut);
            Net::RequestBoundary boundary;
            std::size_t head = boundary.take(std::string_view(input).substr(0, cut));
            if (!boundary.isHeadComplete()) {
                head += boundary.take(std::string_view(input).substr(cut));
            }
            CHECK(boundary.isHeadComplete());
            CHECK(head == row.head.size());
            boundary.expectBody(row.bodyLength);
            CHECK(boundary.take(std::string_view(input).substr(head)) == row.bodyLength);
        }
    }
}
