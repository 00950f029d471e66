#include "Net/ChunkedBody.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace Net {

namespace {

constexpr std::string_view LineEnd = "\r\n";
/// Longest line with a chunk's size and extensions, or in the trailer.
constexpr std::size_t MaxLineBytes = 1024;
/// Hexadecimal digits of a size: longer ones are beyond every limit on bodies.
constexpr std::size_t MaxSizeDigits = 8;

bool isLineComplete(const std::string &line)
{
    return line.size() >= LineEnd.size()
           && line.compare(line.size() - LineEnd.size(), LineEnd.size(), LineEnd) == 0;
}

std::size_t sizeFrom(const std::string &line)
{
    std::size_t size = 0;
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), size, 16);
    const std::size_t digits = static_cast<std::size_t>(end - line.data());
    const bool isEnded = *end == '\r' || *end == ';' || *end == ' ';
    if (error != std::errc() || digits > MaxSizeDigits || !isEnded) {
        throw std::runtime_error("malformed chunk size");
    }
    return size;
}

} // namespace

std::size_t ChunkedBody::take(std::string_view input)
{
    std::size_t taken = 0;
    while (taken < input.size() && this->part != Part::End) {
        if (this->part == Part::Data) {
            taken += this->takeData(input.substr(taken));
            continue;
        }
        this->line += input[taken];
        ++taken;
        if (this->line.size() > MaxLineBytes) {
            throw std::runtime_error("the line of a chunk is too long");
        }
        if (isLineComplete(this->line)) {
            this->takeLine();
        }
    }
    return taken;
}

void ChunkedBody::takeLine()
{
    if (this->part == Part::Trailer) {
        this->part = this->line == LineEnd ? Part::End : Part::Trailer;
    } else {
        const std::size_t size = sizeFrom(this->line);
        this->part = size == 0 ? Part::Trailer : Part::Data;
        this->left = size + LineEnd.size();
    }
    this->line.clear();
}

std::size_t ChunkedBody::takeData(std::string_view input)
{
    const std::size_t taken = std::min(this->left, input.size());
    const std::size_t data = this->left > LineEnd.size() ? this->left - LineEnd.size() : 0;
    this->decoded += input.substr(0, std::min(data, taken));
    for (std::size_t index = std::min(data, taken); index < taken; ++index) {
        if (input[index] != LineEnd[LineEnd.size() - (this->left - index)]) {
            throw std::runtime_error("a chunk is longer than its size");
        }
    }
    this->left -= taken;
    if (this->left == 0) {
        this->part = Part::Size;
    }
    return taken;
}

} // namespace Net
