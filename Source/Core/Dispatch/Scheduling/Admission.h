#pragma once

#include <cstdint>
#include <optional>

#include "Dispatch/Scheduling/SchedulerTypes.h"
#include "Schema/Schema.h"

/// Admission control: decides which jobs are accepted.
///
/// Load pattern: two or five times more work is offered than the backend servers can do. Without
/// admission control the queue grows until every task waits past its deadline: all slots are busy
/// with work that is too late, and goodput goes towards zero. A job is refused on arrival, while it
/// is certain that none of its tasks has run, and the refusal says when to retry.
///
/// The wait is predicted from the queued work, the capacity learned from outcomes and the caller's
/// fair share, so that a caller with too much load is refused because of its own backlog and other
/// callers are not.
namespace Dispatch {

struct AdmissionLimits
{
    /// About 5 MB at 250 bytes a task, and about a minute of work at 88 slots and 300 ms a task.
    std::int64_t maxQueuedTasks = 20000;
    /// A quarter of the queue, so that no caller can fill it alone.
    std::int64_t maxQueuedTasksPerCaller = 5000;
    /// How long a job may be queued without an eligible backend server before it is refused. Longer
    /// than it takes to restart and announce a backend server.
    std::int64_t neverRunnableGraceMs = 5000;
    /// When false, only the queue limits refuse jobs. For baseline measurements.
    bool predictsDeadlines = true;
};

/// Queued work and capacity at the arrival of a job. Work is in milliseconds of one slot at speed
/// factor 1.
struct Backlog
{
    std::int64_t queuedTasks = 0;
    double queuedWorkMs = 0;
    std::int64_t callerTasks = 0;
    double callerWorkMs = 0;
    double teamWorkMs = 0;
    /// Work that the eligible backend servers can do in a millisecond.
    double capacity = 0;
    /// Slots free for the job at present; counted only until there are enough for all its tasks.
    std::int64_t freeSlots = 0;
    /// Share of the capacity that the caller gets at least.
    double fairShare = 1;
    /// Share of the capacity that the other callers leave unused, going by their recently admitted
    /// work.
    double unusedByOthers = 1;
    /// Maximum number of the team's tasks in flight from this gateway; 0 means no limit.
    std::int64_t teamQuota = 0;
};

struct AdmissionQuery
{
    std::int64_t tasks = 0;
    double workMs = 0;
    /// Roughly the median run time of the job's slowest task.
    double slowestRunMs = 0;
    std::int64_t timeLeftMs = 0;
    /// Spreads the retries of callers that are refused at the same time.
    std::uint64_t jitterSeed = 0;
};

/// Predicted time in milliseconds until the job's last task has started.
double predictedWaitMs(const Backlog &backlog, const AdmissionQuery &query);

/// Returns the refusal, or nothing when the job is admitted.
std::optional<Refusal> decideAdmission(const AdmissionLimits &limits, const Backlog &backlog,
                                       const AdmissionQuery &query);

} // namespace Dispatch
