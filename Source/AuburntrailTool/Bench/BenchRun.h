#pragma once

#include <string>
#include <vector>

#include "Bench/BenchPlan.h"

namespace Tool {

/// What became of one planned job, as its caller saw it.
struct JobRecord
{
    /// From the planned arrival, also where the bench itself was late to send.
    double responseMs = 0;
    /// How late the bench sent it.
    double lateMs = 0;
    /// A Schema::JobOutcome, or how the call failed.
    std::string outcome;
    std::string reason;
    bool isNotRun = false;
    /// Completed with other results than this job's own, or not all of them.
    bool isWrong = false;
};

/// Submits \a jobs at their times to \a gateways in turn, and waits for every answer. Records are
/// in the order of \a jobs.
std::vector<JobRecord> runJobs(const BenchFile &file, const std::vector<PlannedJob> &jobs,
                               const std::vector<std::string> &gateways);

} // namespace Tool
