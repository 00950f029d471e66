#pragma once

#include <vector>

#include "Bench/BenchFile.h"

namespace Tool {

/// One job to be submitted at its time, whatever has become of those before it.
struct PlannedJob
{
    double atMs = 0;
    /// Index into BenchFile::streams.
    std::size_t stream = 0;
    int caller = 0;
    std::vector<double> runMs;
    /// What the unloaded site would take for the job.
    double idealMs = 0;
};

/// Milliseconds of run time at speed 1 that the site can do in a second.
double capacityMsPerSecond(const std::vector<BackendGroup> &backends);

/// Time the unloaded site takes for a job: each task, the longest first, goes to the slot where it
/// ends soonest. No network and no work of the dispatcher is counted.
double idealResponseMs(const std::vector<BackendGroup> &backends, std::vector<double> runMs);

/// Poisson arrivals of all streams in order of time; the same file gives the same plan.
std::vector<PlannedJob> planJobs(const BenchFile &file);

} // namespace Tool
