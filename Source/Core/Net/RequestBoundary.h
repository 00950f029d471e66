#pragma once

#include <cstddef>
#include <string_view>

namespace Net {

/// Finds where a request ends in the input of its connection. The library's parser discards what
/// follows a request that it was given together with it.
class RequestBoundary
{
public:
    /// Number of bytes at the start of \a input that belong to the request's current part: its
    /// head, or its body after a call of expectBody().
    std::size_t take(std::string_view input);

    /// Whether the head has been taken completely, and neither expectBody() nor reset() was called
    /// since.
    bool isHeadComplete() const;

    /// Called after the head: the body has \a length bytes.
    void expectBody(std::size_t length);

    /// The request is complete; the next one follows.
    void reset();

private:
    enum class Part { Head, Body };

    std::size_t takeHead(std::string_view input);

    Part part = Part::Head;
    /// Bytes of the blank line that ends the head which were taken last.
    std::size_t matched = 0;
    std::size_t bodyLeft = 0;
};

} // namespace Net
