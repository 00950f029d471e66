#pragma once

#include <cstdint>
#include <string>

namespace Soak {

struct SoakOptions
{
    std::uint64_t seed = 1;
    /// How long faults are injected.
    int seconds = 20;
    int gateways = 3;
    int agents = 4;
    /// Folder in which each failed run keeps its own folder with schedule, logs and events.
    std::string keep;
    std::string binaries;
    std::string program;
};

/// Runs one seed. Returns the exit code: 0 if no invariant was violated, otherwise 1.
int runSoak(const SoakOptions &options);

} // namespace Soak
