#pragma once

#include <cstdint>
#include <optional>

#include "Common/Common.h"
#include "Transient/Jobs.h"
#include "Transient/Placement.h"

/// Limits how long a task may wait at the agent that it is sent to.
///
/// Load pattern: see Runner/Returns.h. A gateway that knows of another backend server with room
/// limits the wait to what placing the task anew costs, or to a share of the time that the task has
/// to spare if that is longer.
namespace Transient {

/// Times that a task may be returned. The next order has no limit: when all backend servers are
/// full, tasks wait in the agents' queues and do not travel between them.
constexpr int MaxReturns = 2;

/// Longest wait of a task of \a job that is placed as in \a placement; nothing if it is not
/// limited.
std::optional<std::int64_t> longestWaitMs(const GatewayState &state, const JobRecord &job,
                                          const TaskRecord &task, const Placement &placement,
                                          Common::Moment now);

} // namespace Transient
