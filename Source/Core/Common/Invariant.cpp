#include "Common/Invariant.h"

#include <cstdlib>

#include "Common/Log.h"

namespace Common {

void invariant(bool condition, std::string_view description, std::string_view detail)
{
    if (condition) {
        return;
    }
    logEvent(LogLevel::Error, "invariant_broken", {{"promise", description}, {"detail", detail}});
    stopLogging();
    std::abort();
}

} // namespace Common
