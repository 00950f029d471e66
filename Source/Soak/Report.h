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
    /// After the last fault; negative where it was not.
    std::int64_t servedAgainMs = -1;
};

Summary summarize(const Records &records);
/// One line.
std::string describe(const Summary &summary);
/// One line, with its time counted from \a startedMs, too.
std::string describe(const Finding &finding, std::int64_t startedMs);
/// Writes schedule, faults as they came, requests and findings into \a directory.
void writeReport(const std::string &directory, const std::vector<Fault> &schedule,
                 const Records &records, const std::vector<Finding> &findings,
                 std::int64_t startedMs);

} // namespace Soak
