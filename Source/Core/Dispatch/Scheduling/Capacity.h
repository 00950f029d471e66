#pragma once

#include <vector>

#include "Dispatch/Scheduling/BackendPool.h"

/// How much the backend servers able to run a requirement can do, as admission and placement count
/// on it: places by learned speed, without those that take no work at the moment.
namespace Dispatch {

/// Capacity by speed; worked out anew at most every 100 ms, so that looking through all backend
/// servers is not part of each decision.
const std::vector<SpeedStep> &speedSteps(BackendPool &pool, RequirementId id, std::int64_t nowMs);

/// Of all speeds; nothing where no backend server is usable.
SpeedStep totalCapacity(BackendPool &pool, RequirementId id, std::int64_t nowMs);

} // namespace Dispatch
