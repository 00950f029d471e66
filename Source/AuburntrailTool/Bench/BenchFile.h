#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Common.h"

/// What `auburntrail bench` reads: a load and the site it is meant for.
namespace Tool {

/// \a count backend servers of one kind. A task of 100 ms takes 50 ms at speed 2.
struct BackendGroup
{
    int count = 1;
    int slots = 8;
    double speed = 1;
};

/// One independent stream of jobs. Run times and task counts are uniform between their bounds; run
/// times are those at speed 1.
struct LoadStream
{
    std::string name;
    std::string team;
    std::string caller;
    /// Callers caller-0, caller-1, ... take turns.
    int callers = 1;
    std::string service;
    /// Part of the offered load that this stream makes up.
    double share = 1;
    int minTasks = 1;
    int maxTasks = 1;
    double minRunMs = 50;
    double maxRunMs = 50;
    std::int64_t deadlineMs = 30000;
    std::int64_t payloadBytes = 0;
    std::int64_t declaredRunMs = 0;
};

struct BenchFile
{
    std::string name;
    std::uint64_t seed = 1;
    double seconds = 10;
    /// Jobs that arrive before this are sent but not counted.
    double warmupSeconds = 2;
    /// Offered load over the capacity of the site.
    double load = 0.5;
    /// Whether jobs carry ids of the caller, which it needs to resubmit.
    bool hasCallerIds = true;
    std::vector<BackendGroup> backends;
    std::vector<LoadStream> streams;
};

/// A failure names the key that is missing, unknown or out of range.
Common::Outcome<BenchFile> readBenchFile(const std::string &path);
Common::Outcome<BenchFile> parseBenchFile(const nlohmann::json &json);

} // namespace Tool
