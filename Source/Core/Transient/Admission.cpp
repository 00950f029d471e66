#include "Transient/Admission.h"

#include <algorithm>
#include <cmath>

namespace Transient {

namespace {

/// Callers receive the retry time in whole seconds; the shortest leaves the backlog time to change.
constexpr double ShortestRetryMs = 1000;
constexpr double LongestRetryMs = 10'000;
/// Weight of one answer in the moving average: a dozen answers, which is a third of a second of a
/// queue's traffic on the smallest sites, show a change.
constexpr double AnswerWeight = 1.0 / 12;
/// The correction decays while there are no answers: a queue whose jobs are all refused would
/// otherwise never detect that its predictions are right again. The half-life is as long as two or
/// three rounds of short jobs under overload.
constexpr double CorrectionHalfLifeMs = 1000;
/// Limits the effect of a single answer: a job may take a hundred times as long as predicted when
/// its backend server hangs.
constexpr double MaxLogStretch = 1.4;

double decayedLogStretch(const PredictionError &error, std::int64_t nowMs)
{
    const auto idleMs = static_cast<double>(nowMs - error.observedMs);
    return error.logStretch * std::exp2(-idleMs / CorrectionHalfLifeMs);
}

} // namespace

void observeAnswer(PredictionError &error, double predictedMs, double takenMs, std::int64_t nowMs)
{
    const double logStretch = std::log(std::max(takenMs, 1.0) / std::max(predictedMs, 1.0));
    const double bounded = std::clamp(logStretch, -MaxLogStretch, MaxLogStretch);
    const double before = decayedLogStretch(error, nowMs);
    error.logStretch = before + AnswerWeight * (bounded - before);
    error.observedMs = nowMs;
}

double expectedStretch(const PredictionError &error, std::int64_t nowMs)
{
    return std::exp(std::max(decayedLogStretch(error, nowMs), 0.0));
}

double correctedMs(const AdmissionQuery &query)
{
    return query.predictedMs * query.stretch + query.ownDelayMs;
}

double correctedWaitMs(const AdmissionQuery &query)
{
    return query.waitMs * query.stretch + query.waitErrorMs;
}

double usefulMs(const AdmissionLimits &limits, const AdmissionQuery &query)
{
    return std::min(query.deadlineMs, query.targetMs * limits.maxLateness);
}

std::int64_t retryAfterBacklogMs(double backlogMs, double spread)
{
    const double boundedMs = std::clamp(backlogMs, ShortestRetryMs, LongestRetryMs);
    return static_cast<std::int64_t>(boundedMs * (1 + spread));
}

std::optional<JobResult> decideAdmission(const AdmissionLimits &limits, const AdmissionQuery &query)
{
    const double errorMs = query.hasRoom ? std::max(query.waitErrorMs, 0.0) : 0;
    const bool isTooLate =
            query.waitMs > 0 && correctedMs(query) - errorMs > usefulMs(limits, query);
    const bool isLinkFull = query.linkWaitMs > limits.maxLinkWaitMs;
    if (!limits.refuses || (!isTooLate && !isLinkFull)) {
        return std::nullopt;
    }
    JobResult refused;
    refused.outcome = JobOutcome::Refused;
    refused.reason = isLinkFull ? Schema::Reason::QueueFull : Schema::Reason::DeadlineUnreachable;
    refused.retryAfterMs = retryAfterBacklogMs(correctedWaitMs(query), query.spread);
    return refused;
}

} // namespace Transient
