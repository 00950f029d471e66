#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <string_view>

#include "Net/RequestParser.h"

namespace {

constexpr std::size_t BodyLimit = std::size_t{1} << 16U;

/// Passes \a input on until a request is whole or refused.
Net::ParseResult parseAll(Net::RequestParser &parser, std::string_view &input)
{
    Net::ParseResult result = Net::ParseResult::NeedsMore;
    do {
        result = parser.parse(input);
    } while (result == Net::ParseResult::HeadComplete);
    return result;
}

const std::string Chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("A request is read wherever its input is cut, and ends where it ends")
{
    struct Row
    {
        const char *name;
        std::string request;
        std::string body;
    };
    const Row rows[] = {
            {"no body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", ""},
            {"body", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nbbbbb", "bbbbb"},
            {"empty chunked body", Chunked + "0\r\n\r\n", ""},
            {"one chunk", Chunked + "2\r\nab\r\n0\r\n\r\n", "ab"},
            {"two chunks, sizes in hexadecimal",
             Chunked + "1\r\na\r\nB\r\n01234567890\r\n0\r\n\r\n", "a01234567890"},
            {"data that looks like the end", Chunked + "7\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n",
             "\r\n0\r\n\r\n"},
            {"extension and trailer", Chunked + "1;x=y\r\na\r\n0\r\nName: value\r\n\r\n", "a"},
    };
    for (const Row &row : rows) {
        const std::string input = row.request + "GET /next";
        for (std::size_t cut = 0; cut <= input.size(); ++cut) {
            CAPTURE(row.name);
            CAPTURE(cut);
            Net::RequestParser parser(BodyLimit);
            std::string_view rest = std::string_view(input).substr(0, cut);
            Net::ParseResult result = parseAll(parser, rest);
            if (result == Net::ParseResult::NeedsMore) {
                CHECK(rest.empty());
                rest = std::string_view(input).substr(cut);
                result = parseAll(parser, rest);
                CHECK(input.size() - rest.size() == row.request.size());
            } else {
                CHECK(cut - rest.size() == row.request.size());
            }
            CHECK(result == Net::ParseResult::Complete);
            CHECK(parser.takeRequest().body == row.body);
            CHECK_FALSE(parser.isStarted());
        }
    }
}

TEST_CASE("What is not a request is taken for one, or read without end")
{
    struct Row
    {
        std::string input;
        Net::ParseResult result;
    };
    const std::string post = "POST / HTTP/1.1\r\n";
    const Row rows[] = {
            {"hello there\r\n\r\n", Net::ParseResult::Malformed},
            {"hello\r\n\r\n", Net::ParseResult::Malformed},
            {"GET / HTTP/1.1\r\nA: \r\r\n\r\n", Net::ParseResult::Malformed},
            {Chunked + "x\r\n", Net::ParseResult::Malformed},
            {Chunked + "\r\n", Net::ParseResult::Malformed},
            {Chunked + "-1\r\n", Net::ParseResult::Malformed},
            {Chunked + "1\r\nabc\r\n", Net::ParseResult::Malformed},
            {Chunked + "1x\r\n", Net::ParseResult::Malformed},
            {Chunked + "123456789\r\n", Net::ParseResult::BodyTooLong},
            {Chunked + std::string(1U << 20U, '0'), Net::ParseResult::Malformed},
            {post + "Content-Length: 99999999999999999\r\n\r\n", Net::ParseResult::BodyTooLong},
            {post + "Content-Length: x\r\n\r\n", Net::ParseResult::Malformed},
            {"GET /" + std::string(1U << 20U, 'a'), Net::ParseResult::Malformed},
            {post + "A: " + std::string(1U << 20U, 'a'), Net::ParseResult::Malformed},
    };
    for (const Row &row : rows) {
        for (const std::size_t piece : {row.input.size(), std::size_t{4096}}) {
            CAPTURE(row.input.substr(0, 80));
            CAPTURE(piece);
            Net::RequestParser parser(BodyLimit);
            Net::ParseResult result = Net::ParseResult::NeedsMore;
            for (std::size_t start = 0;
                 start < row.input.size() && result == Net::ParseResult::NeedsMore;
                 start += piece) {
                std::string_view input = std::string_view(row.input).substr(start, piece);
                result = parseAll(parser, input);
            }
            CHECK(result == row.result);
        }
    }
}

TEST_CASE("A request holds more memory than its bytes")
{
    constexpr std::size_t Received = 10'000;
    constexpr std::size_t MaxOverhead = Received;
    Net::RequestParser parser(BodyLimit);
    const std::string request =
            "POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + std::string(Received, 'b');
    std::string_view input = request;
    CHECK(parseAll(parser, input) == Net::ParseResult::NeedsMore);
    CHECK(parser.isHeadComplete());
    CHECK(parser.heldBytes() >= Received);
    CHECK(parser.heldBytes() <= Received + MaxOverhead);
    parser.discard();
    CHECK(parser.heldBytes() == 0);
}

TEST_CASE("The target of a request is taken apart wrongly")
{
    struct Row
    {
        const char *target;
        const char *path;
        std::map<std::string, std::string> query;
    };
    const Row rows[] = {
            {"/", "/", {}},
            {"/a%3Ab?wait=false", "/a:b", {{"wait", "false"}}},
            {"/a?x=a%20b&y=", "/a", {{"x", "a b"}, {"y", ""}}},
            {"/a?x&&=b&z=1=2", "/a", {{"x", ""}, {"z", "1=2"}}},
            {"/a?", "/a", {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.target);
        Net::RequestParser parser(BodyLimit);
        const std::string request = std::string("GET ") + row.target + " HTTP/1.1\r\n\r\n";
        std::string_view input = request;
        CHECK(parseAll(parser, input) == Net::ParseResult::Complete);
        const Net::HttpRequest read = parser.takeRequest();
        CHECK(read.path == row.path);
        CHECK(read.query == row.query);
    }
}
