#include "Dispatch/Scheduling/Admission.h"

#include <algorithm>

namespace Dispatch {
namespace {

/// The wait is a prediction, and short jobs or other callers that arrive later may be served first.
/// An admitted job that misses its deadline has wasted its slots, whereas a job refused in error
/// can be submitted again. So the predicted wait is raised by a quarter.
constexpr double WaitMargin = 1.25;
constexpr std::int64_t MinRetryAfterMs = 100;
constexpr std::int64_t MaxRetryAfterMs = 60000;
/// Resolution of the jitter, which spreads the retries of callers that are refused together over
/// half the wait they were given.
constexpr std::uint64_t JitterSteps = 1024;

Refusal refusal(Schema::Reason reason, const char *detail, double retryAfterMs,
                const AdmissionQuery &query)
{
    const double part = static_cast<double>(query.jitterSeed % JitterSteps) / JitterSteps;
    const auto jitteredMs = static_cast<std::int64_t>(retryAfterMs * (1 + part / 2));
    return {reason, detail, std::clamp(jitteredMs, MinRetryAfterMs, MaxRetryAfterMs)};
}

double drainMs(double workMs, double capacity)
{
    return capacity > 0 ? workMs / capacity : 0;
}

double quotaWaitMs(const Backlog &backlog, const AdmissionQuery &query)
{
    if (backlog.teamQuota <= 0) {
        return 0;
    }
    const bool fitsAtOnce = backlog.teamWorkMs <= 0 && query.tasks <= backlog.teamQuota;
    return fitsAtOnce
                   ? 0
                   : (backlog.teamWorkMs + query.workMs) / static_cast<double>(backlog.teamQuota);
}

/// The smaller of two upper bounds: the time to do the caller's own work at its fair share of the
/// capacity, whatever others send, and the time to do all queued work with the share that the
/// others leave unused, which is at least the fair share.
double capacityWaitMs(const Backlog &backlog, const AdmissionQuery &query)
{
    if (backlog.queuedWorkMs <= 0 && query.tasks <= backlog.freeSlots) {
        return 0;
    }
    const double left = std::max(backlog.unusedByOthers, backlog.fairShare);
    const double own =
            drainMs(backlog.callerWorkMs + query.workMs, backlog.capacity * backlog.fairShare);
    const double all = drainMs(backlog.queuedWorkMs + query.workMs, backlog.capacity * left);
    return std::min(own, all);
}

} // namespace

double predictedWaitMs(const Backlog &backlog, const AdmissionQuery &query)
{
    return std::max(capacityWaitMs(backlog, query), quotaWaitMs(backlog, query));
}

std::optional<Refusal> decideAdmission(const AdmissionLimits &limits, const Backlog &backlog,
                                       const AdmissionQuery &query)
{
    if (query.timeLeftMs <= 0) {
        return Refusal{Schema::Reason::DeadlinePassed, "the deadline has passed", 0};
    }
    if (backlog.callerTasks + query.tasks > limits.maxQueuedTasksPerCaller) {
        const double wait = drainMs(backlog.callerWorkMs, backlog.capacity * backlog.fairShare);
        return refusal(Schema::Reason::CallerLimit, "too many tasks of this caller are queued",
                       wait / 2, query);
    }
    if (backlog.queuedTasks + query.tasks > limits.maxQueuedTasks) {
        const double wait = drainMs(backlog.queuedWorkMs, backlog.capacity);
        return refusal(Schema::Reason::QueueFull, "the queue is full", wait / 2, query);
    }
    if (!limits.predictsDeadlines) {
        return std::nullopt;
    }
    const auto left = static_cast<double>(query.timeLeftMs);
    const double latenessMs =
            predictedWaitMs(backlog, query) * WaitMargin + query.slowestRunMs - left;
    if (latenessMs <= 0) {
        return std::nullopt;
    }
    const bool byQuota = quotaWaitMs(backlog, query) > capacityWaitMs(backlog, query);
    const Schema::Reason reason =
            byQuota ? Schema::Reason::QuotaExceeded : Schema::Reason::DeadlineUnreachable;
    return refusal(reason, "the backlog is longer than the deadline allows", latenessMs, query);
}

} // namespace Dispatch
