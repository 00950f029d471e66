#pragma once

#include <cstdint>
#include <string>

namespace Soak {

struct SoakOptions
{
    std::uint64_t seed = 1;
    /// How long faults come.
    int seconds = 20;
    int gateways = 3;
    int agents = 4;
    /// A folder for each seed that fails, with schedule, logs and events.
    std::string keep;
    std::string binaries;
    std::string program;
};

/// Runs one seed. Returns the exit code: 0 where every promise was kept.
int runSoak(const SoakOptions &options);

} // namespace Soak
