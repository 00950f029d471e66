#include "Net/RequestBoundary.h"

#include <algorithm>

namespace Net {

namespace {

constexpr std::string_view EndOfHead = "\r\n\r\n";

} // namespace

std::size_t RequestBoundary::take(std::string_view input)
{
    if (this->part == Part::Head) {
        return this->takeHead(input);
    }
    const std::size_t taken = std::min(this->bodyLeft, input.size());
    this->bodyLeft -= taken;
    return taken;
}

std::size_t RequestBoundary::takeHead(std::string_view input)
{
    for (std::size_t index = 0; index < input.size(); ++index) {
        if (input[index] == EndOfHead[this->matched]) {
            ++this->matched;
        } else {
            this->matched = input[index] == EndOfHead.front() ? 1 : 0;
        }
        if (this->matched == EndOfHead.size()) {
            return index + 1;
        }
    }
    return input.size();
}

bool RequestBoundary::isHeadComplete() const
{
    return this->part == Part::Head && this->matched == EndOfHead.size();
}

void RequestBoundary::expectBody(std::size_t length)
{
    this->part = Part::Body;
    this->bodyLeft = length;
}

void RequestBoundary::reset()
{
    *this = RequestBoundary();
}

} // namespace Net
