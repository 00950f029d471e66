#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "Transient/JobTable.h"

/// The order in which jobs yield to others when there is more work than the backend servers can do.
///
/// The priority of a queue states how urgent its callers are. Within a priority a refused or late
/// job costs its caller the same, whatever work it needs: the jobs that need the least processor
/// time are kept, since the same capacity then serves more callers.
namespace Transient {

/// What a wait or a refusal of a job depends on.
struct JobCost
{
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    /// Expected processor time of all its tasks.
    double workMs = 0;
};

JobCost costOf(const JobRecord &job);

/// Whether \a job yields to \a other: its priority is less urgent, or it is the same and the job
/// needs more than twice the processor time.
bool yieldsTo(const JobCost &job, const JobCost &other);

/// Orders jobs by when they yield: the less urgent and, among these, the larger ones first.
bool yieldsBefore(const JobCost &left, const JobCost &right);

/// Sizes of the last jobs of a queue, and which of them have yielded. Without a limit the largest
/// jobs of a queue would always yield first and never be served under a lasting overload.
struct QueueYields
{
    struct Yield
    {
        std::int64_t atMs = 0;
        bool isLarge = false;
    };

    /// Processor times of the last admitted jobs, in a ring.
    std::vector<double> sizes;
    std::size_t nextSize = 0;
    std::deque<Yield> recent;
};

void recordSize(QueueYields &yields, double workMs);

/// Whether a job of this size may yield: of the jobs of the queue that have yielded in the last
/// seconds, the largest tenth may be at most twice its share.
bool mayYield(const QueueYields &yields, double workMs, std::int64_t nowMs);

void recordYield(QueueYields &yields, double workMs, std::int64_t nowMs);

} // namespace Transient
