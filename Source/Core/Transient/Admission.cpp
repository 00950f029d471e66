#include "Transient/Admission.h"

#include <algorithm>

namespace Transient {

namespace {

/// Callers are told whole seconds, and none sooner than the backlog can have changed.
constexpr double ShortestRetryMs = 1000;
constexpr double LongestRetryMs = 10'000;

} // namespace

std::optional<JobResult> decideAdmission(const AdmissionLimits &limits, const AdmissionQuery &query)
{
    const double usefulMs = std::min(query.deadlineMs, query.targetMs * limits.mostLateness);
    if (query.waitMs <= 0 || query.predictedMs <= usefulMs) {
        return std::nullopt;
    }
    JobResult refused;
    refused.outcome = JobOutcome::Refused;
    refused.reason = Schema::Reason::DeadlineUnreachable;
    const double backlogMs = std::clamp(query.waitMs, ShortestRetryMs, LongestRetryMs);
    refused.retryAfterMs = static_cast<std::int64_t>(backlogMs * (1 + query.spread));
    return refused;
}

} // namespace Transient
