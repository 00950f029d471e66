#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Common.h"

/// Input file of `auburntrail bench`: a load, and the site that it is meant for.
namespace Tool {

/// \a count identical backend servers. A task of 100 ms takes 50 ms at speed 2.
struct BackendGroup
{
    int count = 1;
    int slots = 8;
    double speed = 1;
};

/// One independent stream of jobs. Run times and task counts are distributed uniformly between
/// their bounds. Run times are given for speed 1.
struct LoadStream
{
    std::string name;
    std::string team;
    std::string caller;
    /// Number of callers. With more than one, caller-0, caller-1, ... submit in turn.
    int callers = 1;
    std::string service;
    /// Weight of this stream in the offered load, relative to those of the other streams.
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
    /// Jobs that arrive before this time are submitted but not counted.
    double warmupSeconds = 2;
    /// Offered load as a fraction of the site's capacity.
    double load = 0.5;
    /// Whether jobs carry an id chosen by the caller, which a caller needs in order to resubmit.
    bool hasCallerIds = true;
    std::vector<BackendGroup> backends;
    std::vector<LoadStream> streams;
};

/// Fails with the name of the key that is missing, unknown or out of range.
Common::Outcome<BenchFile> readBenchFile(const std::string &path);
Common::Outcome<BenchFile> parseBenchFile(const nlohmann::json &json);

} // namespace Tool
