#pragma once

#include <iterator>
#include <vector>

namespace Common {

/// Moves \a more to the end of \a items.
template <typename Item>
void append(std::vector<Item> &items, std::vector<Item> more)
{
    items.insert(items.end(), std::make_move_iterator(more.begin()),
                 std::make_move_iterator(more.end()));
}

} // namespace Common
