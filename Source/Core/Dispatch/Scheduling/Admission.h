#pragma once

#include <cstdint>
#include <optional>

#include "Dispatch/Scheduling/SchedulerTypes.h"
#include "Schema/Schema.h"

/// Which jobs are let in.
///
/// Load pattern: two or five times more work is offered than the backend servers can do. Without
/// admission the queue grows until every task waits past its deadline: all slots are busy with work
/// that is too late, and goodput goes towards zero. A caller is told at once, while "not run" is
/// true of the whole job, and when to come again.
///
/// The wait is predicted from the work that is queued, the capacity learned from outcomes and the
/// caller's fair share, so that a hot caller is refused for its own backlog and others are not
/// refused for his.
namespace Dispatch {

struct AdmissionLimits
{
    /// At 250 bytes a task some 5 MB; at 88 slots and 300 ms a task, a minute's work.
    std::int64_t maxQueuedTasks = 20000;
    /// A quarter: no caller can fill the queue alone.
    std::int64_t maxQueuedTasksPerCaller = 5000;
    /// Longer than a backend server takes to be restarted and announced.
    std::int64_t neverRunnableGraceMs = 5000;
    /// Off: only the bounds of the queue refuse. For baselines.
    bool predictsDeadlines = true;
};

/// What lies before a job. Work is in milliseconds of one slot at factor 1.
struct Backlog
{
    std::int64_t queuedTasks = 0;
    double queuedWorkMs = 0;
    std::int64_t callerTasks = 0;
    double callerWorkMs = 0;
    double teamWorkMs = 0;
    /// What the backend servers able to take the job can do in a millisecond.
    double capacity = 0;
    /// Free places for the job, now.
    std::int64_t freeSlots = 0;
    /// Part of the capacity that the caller gets at least, and part that the others, by what they
    /// sent lately, leave.
    double fairShare = 1;
    double unusedByOthers = 1;
    /// Most tasks of the team in flight from here; 0 is no limit.
    std::int64_t teamQuota = 0;
};

struct AdmissionQuery
{
    std::int64_t tasks = 0;
    double workMs = 0;
    /// Run time of the job's slowest task, more likely than not.
    double slowestRunMs = 0;
    std::int64_t timeLeftMs = 0;
    /// Spreads the retries of callers that are refused together.
    std::uint64_t jitterSeed = 0;
};

/// Time until the job's last task has started.
double predictedWaitMs(const Backlog &backlog, const AdmissionQuery &query);

std::optional<Refusal> decideAdmission(const AdmissionLimits &limits, const Backlog &backlog,
                                       const AdmissionQuery &query);

} // namespace Dispatch
