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
    /// After which the answer is late.
    double targetMs = 0;
    /// After which nobody waits for it.
    double deadlineMs = 0;
    /// From 0 to 1; spreads the returns of callers that are refused together.
    double spread = 0;
};

struct AdmissionLimits
{
    /// A job that is expected to take more than this many times its target is refused.
    double mostLateness = 1.2;
};

std::optional<JobResult> decideAdmission(const AdmissionLimits &limits,
                                         const AdmissionQuery &query);

} // namespace Transient
