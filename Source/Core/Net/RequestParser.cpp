#include "Net/RequestParser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cctype>
#include <limits>
#include <utility>

#include "Net/HttpClient.h"

namespace Net {

namespace {

namespace Http = boost::beast::http;

/// Longest request line with headers, and longest line between chunks.
constexpr std::size_t MaxHeadBytes = std::size_t{16} << 10U;
/// Allocations from this size on take memory of the machine only as they are filled: the daemons
/// have the allocator map them by themselves.
constexpr std::size_t LazyBytes = std::size_t{128} << 10U;

std::string lowerCased(boost::beast::string_view text)
{
    std::string lower(text);
    for (char &letter : lower) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return lower;
}

void addParameters(std::string_view query, HttpRequest &request)
{
    while (!query.empty()) {
        const std::string_view parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), parameter.size() + 1));
        const std::size_t equals = std::min(parameter.find('='), parameter.size());
        const std::string_view value = parameter.substr(std::min(parameter.size(), equals + 1));
        if (equals > 0) {
            request.query[percentDecoded(parameter.substr(0, equals))] = percentDecoded(value);
        }
    }
}

void setTarget(std::string_view target, HttpRequest &request)
{
    const std::size_t mark = std::min(target.find('?'), target.size());
    request.path = percentDecoded(target.substr(0, mark));
    addParameters(target.substr(std::min(target.size(), mark + 1)), request);
}

} // namespace

/// Builds one HttpRequest from the library's events.
class RequestParser::Message : public Http::basic_parser<true>
{
public:
    explicit Message(std::size_t maxBodyBytes)
    {
        this->header_limit(static_cast<std::uint32_t>(MaxHeadBytes));
        this->body_limit(maxBodyBytes);
    }

    HttpRequest request;
    bool expectsContinue = false;

private:
    using Error = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(Http::verb, Text method, Text target, int, Error &) override
    {
        this->request.method = std::string(method);
        setTarget({target.data(), target.size()}, this->request);
    }

    void on_response_impl(int, Text, int, Error &) override {}

    void on_field_impl(Http::field field, Text name, Text value, Error &) override
    {
        this->request.headers[lowerCased(name)] = std::string(value);
        this->expectsContinue = this->expectsContinue || field == Http::field::expect;
    }

    void on_header_impl(Error &) override {}

    void on_body_init_impl(const boost::optional<std::uint64_t> &announced, Error &) override
    {
        if (announced && *announced >= LazyBytes) {
            this->request.body.reserve(static_cast<std::size_t>(*announced));
        }
    }

    std::size_t on_body_impl(Text bytes, Error &) override
    {
        this->request.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, Text, Error &) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, Text bytes, Error &) override
    {
        this->request.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(Error &) override {}
};

RequestParser::RequestParser(std::size_t maxBodyBytes)
    : maxBodyBytes(maxBodyBytes)
{}

RequestParser::~RequestParser() = default;

ParseResult RequestParser::parse(std::string_view &input)
{
    if (this->incomplete.empty()) {
        std::size_t taken = 0;
        const ParseResult result = this->put(input, taken);
        input.remove_prefix(taken);
        if (result == ParseResult::NeedsMore) {
            this->incomplete = input;
            input = {};
        }
        return result;
    }
    const std::size_t before = this->incomplete.size();
    this->incomplete += input;
    std::size_t taken = 0;
    const ParseResult result = this->put(this->incomplete, taken);
    if (result == ParseResult::NeedsMore) {
        this->incomplete.erase(0, taken);
        input = {};
        return result;
    }
    // What was kept could not be taken without more input, so all of it is taken now.
    input.remove_prefix(std::max(taken, before) - before);
    this->incomplete = std::string();
    return result;
}

/// Passes \a input on until the request is whole, its head is, or more is needed.
ParseResult RequestParser::put(std::string_view input, std::size_t &taken)
{
    if (!this->message) {
        this->message = std::make_unique<Message>(this->maxBodyBytes);
    }
    Message &current = *this->message;
    while (!current.is_done()) {
        const bool wasInHead = !current.is_header_done();
        boost::beast::error_code failed;
        const std::size_t used = current.put(
                boost::asio::const_buffer(input.data() + taken, input.size() - taken), failed);
        taken += used;
        this->headBytes += wasInHead ? used : 0;
        if (failed == Http::error::need_more) {
            const std::size_t line = input.size() - taken;
            if (line + (current.is_header_done() ? 0 : this->headBytes) <= MaxHeadBytes) {
                return ParseResult::NeedsMore;
            }
            this->malformed = "the head is too long";
            return ParseResult::Malformed;
        }
        if (failed == Http::error::body_limit) {
            return ParseResult::BodyTooLong;
        }
        if (failed || this->headBytes > MaxHeadBytes) {
            this->malformed = failed ? failed.message() : "the head is too long";
            return ParseResult::Malformed;
        }
        if (!current.is_done() && current.is_header_done() && !this->isHeadReported) {
            this->isHeadReported = true;
            return ParseResult::HeadComplete;
        }
        if (!current.is_done() && taken == input.size()) {
            return ParseResult::NeedsMore;
        }
    }
    return ParseResult::Complete;
}

HttpRequest RequestParser::takeRequest()
{
    HttpRequest request = std::move(this->message->request);
    this->discard();
    return request;
}

void RequestParser::discard()
{
    this->message.reset();
    this->incomplete = std::string();
    this->headBytes = 0;
    this->isHeadReported = false;
}

bool RequestParser::isStarted() const
{
    return this->message && (this->headBytes > 0 || !this->incomplete.empty());
}

std::size_t RequestParser::heldBytes() const
{
    std::size_t body = 0;
    if (this->message) {
        const std::string &read = this->message->request.body;
        body = read.capacity() >= LazyBytes ? read.size() : read.capacity();
    }
    return this->headBytes + this->incomplete.size() + body;
}

bool RequestParser::isKeptAlive() const
{
    return this->message->keep_alive();
}

bool RequestParser::expectsContinue() const
{
    return this->message->expectsContinue;
}

std::optional<std::uint64_t> RequestParser::announcedBytes() const
{
    const boost::optional<std::uint64_t> length = this->message->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

} // namespace Net
