#include "Common/Invariant.h"

#include <cstdlib>

#include "Common/Log.h"

namespace Common {

void invariant(bool holds, std::string_view promise, std::string_view detail)
{
    if (holds) {
        return;
    }
    logEvent(LogLevel::Error, "invariant_broken", {{"promise", promise}, {"detail", detail}});
    stopLogging();
    std::abort();
}

} // namespace Common
