#pragma once

#include <optional>

#include "Common/Common.h"
#include "Dispatch/Scheduling/BackendPool.h"
#include "Schema/Schema.h"

/// Decides on which backend server the next task starts.
///
/// Load pattern: speeds differ by a factor of two and more, a backend server becomes slow, and
/// several gateways place tasks at the same time. With random placement, half of the tasks run on
/// the slower half of the backend servers even when the faster half is free.
///
/// Tasks are placed by credits (the agent's window) with late binding: the free slots are known
/// here at every moment, and a task waits for the first slot that becomes free instead of in the
/// queue of one backend server. The alternative, power of two choices on reported load, works on
/// reports that are a heartbeat old, so that many tasks collide on the backend server that was
/// reported idle. Two choices, least loaded and random placement remain as baselines.
namespace Dispatch {

struct PlacementQuery
{
    RequirementId requirement = 0;
    /// Expected run time at speed factor 1.
    double runMs = 0;
    /// Number of tasks that wait for the next faster slots, including this one.
    double tasksAhead = 0;
    /// The caller can safely submit the job again.
    bool idempotent = false;
};

enum class PlacementKind {
    Found,
    /// No slot is free.
    Full,
    /// Waiting for a faster backend server takes less time than it saves.
    Wait
};

struct Placement
{
    PlacementKind kind = PlacementKind::Full;
    BackendIndex backend = 0;
};

/// Late binding: chooses among the backend servers with a free slot.
Placement placeTask(BackendPool &pool, const PlacementQuery &query, std::int64_t nowMs,
                    Common::Random &random);

/// Whether the policy is one of the baselines, which bind a task to a backend server whether a slot
/// is free or not.
bool bindsEarly(Schema::PlacementPolicy policy);
/// Chooses an available backend server by the baseline \a policy and the load that agents last
/// reported. Returns nothing if none is available.
std::optional<BackendIndex> bindTask(const BackendPool &pool, Schema::PlacementPolicy policy,
                                     RequirementId requirement, std::int64_t nowMs,
                                     Common::Random &random);

} // namespace Dispatch
