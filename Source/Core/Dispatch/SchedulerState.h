#pragma once

#include <cstdint>

namespace Dispatch {

/// Everything the scheduler knows. Reached through Scheduler.h only.
struct SchedulerState
{
    /// An agent not heard from for this long gets no work.
    std::int64_t agentSilenceMs = 2500;
};

} // namespace Dispatch
