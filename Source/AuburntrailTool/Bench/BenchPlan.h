#pragma once

#include <vector>

#include "Bench/BenchFile.h"

namespace Tool {

/// A job that is submitted at its planned time, whether or not earlier jobs have ended.
struct PlannedJob
{
    double atMs = 0;
    /// Index into BenchFile::streams.
    std::size_t stream = 0;
    int caller = 0;
    std::vector<double> runMs;
    /// Response time of the job on an unloaded site.
    double idealMs = 0;
};

/// Run time at speed 1, in milliseconds, that the site can execute per second.
double capacityMsPerSecond(const std::vector<BackendGroup> &backends);

/// Response time of a job on an unloaded site: the tasks, longest first, are each assigned to the
/// slot where they end soonest. Network and dispatcher overhead is not included.
double idealResponseMs(const std::vector<BackendGroup> &backends, std::vector<double> runMs);

/// Draws Poisson arrivals for all streams and returns them ordered by time. The same file gives the
/// same plan.
std::vector<PlannedJob> planJobs(const BenchFile &file);

} // namespace Tool
