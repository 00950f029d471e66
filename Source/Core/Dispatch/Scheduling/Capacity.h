#pragma once

#include <vector>

#include "Dispatch/Scheduling/BackendPool.h"

/// Capacity of the backend servers that are eligible for a requirement, as used by admission and
/// placement: slots weighted by learned speed, without the backend servers that are unavailable.
namespace Dispatch {

/// Cumulative capacity by speed. Recomputed at most every 100 ms, and when the set of eligible
/// backend servers changes, so that not every decision searches all backend servers.
const std::vector<SpeedStep> &speedSteps(BackendPool &pool, RequirementId id, std::int64_t nowMs);

/// Capacity over all speeds; zero slots and capacity if no backend server is available.
SpeedStep totalCapacity(BackendPool &pool, RequirementId id, std::int64_t nowMs);

} // namespace Dispatch
