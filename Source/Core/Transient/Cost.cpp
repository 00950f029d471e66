#include "Transient/Cost.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Transient {

namespace {

/// Jobs whose processor times differ by less cost the same as far as is known: expected run times
/// are means, and single runs take up to twice as long.
constexpr double LargerFactor = 2;
constexpr double LargeShare = 0.1;
/// The largest jobs may yield this many times as often as others.
constexpr double LargeYieldFactor = 2;
constexpr std::int64_t YieldRetentionMs = 5000;
/// Enough for the largest tenth to be a dozen jobs.
constexpr std::size_t SizeCount = 128;

bool isLarge(const QueueYields &yields, double workMs)
{
    const auto larger = std::count_if(yields.sizes.begin(), yields.sizes.end(),
                                      [workMs](double size) { return size >= workMs; });
    return static_cast<double>(larger) <= LargeShare * static_cast<double>(yields.sizes.size());
}

} // namespace

JobCost costOf(const JobRecord &job)
{
    return {job.queue.priority, job.workMs};
}

bool yieldsTo(const JobCost &job, const JobCost &other)
{
    return job.priority > other.priority
           || (job.priority == other.priority && job.workMs > LargerFactor * other.workMs);
}

bool yieldsBefore(const JobCost &left, const JobCost &right)
{
    return std::tie(left.priority, left.workMs) > std::tie(right.priority, right.workMs);
}

void recordSize(QueueYields &yields, double workMs)
{
    if (yields.sizes.size() < SizeCount) {
        yields.sizes.push_back(workMs);
        return;
    }
    yields.sizes[yields.nextSize] = workMs;
    yields.nextSize = (yields.nextSize + 1) % SizeCount;
}

bool mayYield(const QueueYields &yields, double workMs, std::int64_t nowMs)
{
    if (!isLarge(yields, workMs)) {
        return true;
    }
    double all = 1;
    double large = 1;
    for (const QueueYields::Yield &one : yields.recent) {
        const bool isRecent = nowMs < one.atMs + YieldRetentionMs;
        all += isRecent ? 1 : 0;
        large += isRecent && one.isLarge ? 1 : 0;
    }
    return large <= std::ceil(LargeYieldFactor * LargeShare * all);
}

void recordYield(QueueYields &yields, double workMs, std::int64_t nowMs)
{
    while (!yields.recent.empty() && nowMs >= yields.recent.front().atMs + YieldRetentionMs) {
        yields.recent.pop_front();
    }
    yields.recent.push_back({nowMs, isLarge(yields, workMs)});
}

} // namespace Transient
