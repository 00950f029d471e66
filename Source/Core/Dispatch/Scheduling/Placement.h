#pragma once

#include <optional>

#include "Common/Common.h"
#include "Dispatch/Scheduling/BackendPool.h"
#include "Schema/Schema.h"

/// On which backend server the next task starts.
///
/// Load pattern: speeds differ by two times and more, a backend server becomes slow, and several
/// gateways place at once. With random placement half of the tasks run on the slower half even when
/// the faster half is free.
///
/// Ways weighed. Power of two choices on reported load: the reports are a heartbeat old, so that
/// many tasks meet at the one that looked idle. Credits (the agent's window) with late binding: the
/// places are known here at every moment, a task waits for the first that frees itself and not in
/// one backend server's queue. Credits won; two choices, least loaded and random stay as baselines.
namespace Dispatch {

struct PlacementQuery
{
    RequirementId requirement = 0;
    /// Expected run time at factor 1.
    double runMs = 0;
    /// Tasks that wait for the next faster places, this one included.
    double tasksAhead = 0;
    /// Its caller may safely submit the job again.
    bool idempotent = false;
};

enum class PlacementKind {
    Found,
    /// Nothing is free.
    Full,
    /// The wait for a faster backend server is shorter than the time that it saves.
    Wait
};

struct Placement
{
    PlacementKind kind = PlacementKind::Full;
    BackendIndex backend = 0;
};

Placement placeTask(BackendPool &pool, const PlacementQuery &query, std::int64_t nowMs,
                    Common::Random &random);

/// The baselines choose by what the agents last reported, whether a place is free or not.
bool bindsEarly(Schema::PlacementPolicy policy);
std::optional<BackendIndex> bindTask(const BackendPool &pool, Schema::PlacementPolicy policy,
                                     RequirementId requirement, std::int64_t nowMs,
                                     Common::Random &random);

} // namespace Dispatch
