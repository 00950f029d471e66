#pragma once

#include <cstdint>
#include <optional>

#include "Transient/Job.h"

/// Which jobs are let in.
///
/// Load pattern: for seconds, more work is offered than the backend servers can do. Without
/// admission every job waits its turn, nearly all end late, and their callers learn it only then.
/// A job whose predicted end is too late to be of use is refused before its first start, while
/// "not run" is true, and is told when the backlog will have gone.
namespace Transient {

struct AdmissionQuery
{
    /// Until the job's last task is expected to have ended.
    double predictedMs = 0;
    /// Longest wait for a free place among its tasks.
    double waitMs = 0;
    /// Both are too short by this factor, as the queue's last answers show.
    double stretch = 1;
    /// After which the answer is late.
    double targetMs = 0;
    /// After which nobody waits for it.
    double deadlineMs = 0;
    /// From 0 to 1; spreads the returns of callers that are refused together.
    double spread = 0;
};

/// How long a queue's jobs take against what was predicted for them.
///
/// Load pattern: several gateways fill the same backend servers, of which some have just turned
/// slow. Each gateway's predictions are then too short by the same factor for all jobs of a queue,
/// and nearly every job that is let in ends late: of 483 jobs in four seconds of overload, 151 were
/// in time. What the last answers took corrects the predictions within some dozens of them.
struct PredictionError
{
    /// Logarithm of time taken over time predicted; 0 is a prediction that holds.
    double logStretch = 0;
    std::int64_t observedMs = 0;
};

void observeAnswer(PredictionError &error, double predictedMs, double takenMs, std::int64_t nowMs);

/// By how much predictions have to be stretched; 1 where they hold or were too long.
double expectedStretch(const PredictionError &error, std::int64_t nowMs);

struct AdmissionLimits
{
    /// A job that is expected to take more than this many times its target is refused.
    double maxLateness = 1.0;
    bool refuses = true;
    /// Baselines for tests: predictions count as they are, and every caller as fresh.
    bool correctsPredictions = true;
    bool countsWaiting = true;
};

std::optional<JobResult> decideAdmission(const AdmissionLimits &limits,
                                         const AdmissionQuery &query);

} // namespace Transient
