#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Net {

/// Decodes a chunked body. The library's decoder does not return from some bodies that arrive in
/// several pieces, and holds the thread of its server.
class ChunkedBody
{
public:
    /// Decodes the start of \a input, at most up to the end of the body, and returns the number of
    /// bytes taken. Throws std::runtime_error if they are not chunks.
    std::size_t take(std::string_view input);

    bool isComplete() const { return this->part == Part::End; }
    const std::string &data() const { return this->decoded; }

private:
    enum class Part { Size, Data, Trailer, End };

    void takeLine();
    std::size_t takeData(std::string_view input);

    Part part = Part::Size;
    std::string line;
    /// Bytes left of the current chunk, with the line end behind its data.
    std::size_t left = 0;
    std::string decoded;
};

} // namespace Net
