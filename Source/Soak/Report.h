#pragma once

#include <string>
#include <vector>

#include "Soak/Checks.h"
#include "Soak/Schedule.h"

namespace Soak {

struct Summary
{
    std::uint64_t seed = 0;
    int gateways = 0;
    int agents = 0;
    std::size_t faults = 0;
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t succeeded = 0;
    std::size_t broken = 0;
    std::size_t runs = 0;
    std::size_t lateRuns = 0;
    /// Time from the last fault until requests were served again; negative if they were not.
    std::int64_t servedAgainMs = -1;
};

Summary summarize(const Records &records);
/// Describes the summary in one line.
std::string describe(const Summary &summary);
/// Describes the finding in one line. Its time is given both absolute and relative to \a startedMs.
std::string describe(const Finding &finding, std::int64_t startedMs);
/// Writes the schedule, the injected faults, the requests and the findings to files in \a
/// directory.
void writeReport(const std::string &directory, const std::vector<Fault> &schedule,
                 const Records &records, const std::vector<Finding> &findings,
                 std::int64_t startedMs);

} // namespace Soak
