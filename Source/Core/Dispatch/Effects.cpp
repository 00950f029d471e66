#include "Dispatch/Effects.h"

#include <iterator>

namespace Dispatch {

void append(Effects &effects, Effects more)
{
    effects.insert(effects.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
}

} // namespace Dispatch
