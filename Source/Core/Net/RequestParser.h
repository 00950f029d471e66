#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Net/HttpServer.h"

namespace Net {

enum class ParseResult {
    /// All input is taken, and the request is not whole.
    NeedsMore,
    /// The head is read and a body follows, of which nothing is read yet.
    HeadComplete,
    /// The request is whole. The input behind it is not taken.
    Complete,
    /// The body is longer than the limit.
    BodyTooLong,
    /// The input is not HTTP, or its head is too long.
    Malformed,
};

/// Reads one request after the other from the input of a connection. Each byte of a head is scanned
/// once, and a body is held once.
class RequestParser
{
public:
    explicit RequestParser(std::size_t maxBodyBytes);
    ~RequestParser();
    RequestParser(const RequestParser &) = delete;
    RequestParser &operator=(const RequestParser &) = delete;

    /// Takes bytes from the start of \a input. After NeedsMore and HeadComplete it is called again
    /// with the rest and what follows; after BodyTooLong and Malformed no more.
    ParseResult parse(std::string_view &input);

    /// The whole request; the parser is then ready for the next one.
    HttpRequest takeRequest();

    /// Frees what was read of the request.
    void discard();

    /// Whether a byte of a request was taken that is not whole.
    bool isStarted() const;
    bool isHeadComplete() const { return this->isHeadReported; }
    /// Bytes that are held of the request.
    std::size_t heldBytes() const;

    /// The functions below are for a request whose head is complete.
    bool isKeptAlive() const;
    bool expectsContinue() const;
    std::optional<std::uint64_t> announcedBytes() const;
    /// Why the last call of parse() returned Malformed.
    const std::string &error() const { return this->malformed; }

private:
    class Message;

    ParseResult put(std::string_view input, std::size_t &taken);

    const std::size_t maxBodyBytes;
    std::unique_ptr<Message> message;
    /// Input that the message does not take before more of its head has come.
    std::string incomplete;
    std::size_t headBytes = 0;
    bool isHeadReported = false;
    std::string malformed;
};

} // namespace Net
