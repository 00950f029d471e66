#pragma once

#include <string>
#include <vector>

#include "Bench/BenchPlan.h"

namespace Tool {

/// Outcome of one planned job as observed by its caller.
struct JobRecord
{
    /// Measured from the planned arrival, even if the bench submitted the job late.
    double responseMs = 0;
    /// Delay between the planned arrival and the submission.
    double lateMs = 0;
    /// Name of a Schema::JobOutcome, or how the call failed.
    std::string outcome;
    std::string reason;
    bool isNotRun = false;
    /// The job completed, but its results are incomplete or belong to another job.
    bool isWrong = false;
};

/// Submits \a jobs at their planned times to \a gateways in turn, and waits until each call has
/// ended. The records are in the order of \a jobs.
std::vector<JobRecord> runJobs(const BenchFile &file, const std::vector<PlannedJob> &jobs,
                               const std::vector<std::string> &gateways);

} // namespace Tool
