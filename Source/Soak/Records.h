#pragma once

#include <cstdint>
#include <istream>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Net/Net.h"
#include "Soak/Schedule.h"
#include "Transient/Transient.h"

/// What was seen from outside: by callers, backend servers and whoever asked for the configuration.
/// All times are of the machine's monotonic clock, which its processes share.
namespace Soak {

constexpr std::int64_t NeverMs = std::numeric_limits<std::int64_t>::max();

std::int64_t nowMs();

/// One run of a task on a backend server.
struct Run
{
    std::string task;
    std::int64_t number = 0;
    std::int64_t startMs = 0;
    std::int64_t endMs = NeverMs;
    /// Empty while it runs, and where its server went away under it.
    std::optional<Transient::RunEnd> end;
    /// Its order was carried out long after it had come.
    bool isLate = false;
};

/// One life of a backend server.
struct BackendIncarnation
{
    std::string server;
    std::vector<Run> runs;
    /// When its leaving was acknowledged.
    std::optional<std::int64_t> leavingMs;
    std::int64_t processEndMs = NeverMs;
};

enum class EventKind { Start, LateStart, End, Leaving, Ended };

/// A line of a backend server's file of events.
struct BackendEvent
{
    EventKind kind = EventKind::Start;
    std::int64_t atMs = 0;
    std::string task;
    std::int64_t number = 0;
    std::optional<Transient::RunEnd> end;
};

std::string encodeEvent(const BackendEvent &event);
/// Reads the whole lines of \a file; \a processEndMs is when its process was killed.
BackendIncarnation readIncarnation(std::istream &file, const std::string &server,
                                   std::int64_t processEndMs);

enum class JobKind { Quick, Middle, Long, Failing };

/// One request of a caller and what came of it.
struct Submission
{
    std::string job;
    JobKind kind = JobKind::Quick;
    int tasks = 1;
    std::string gateway;
    std::int64_t sentMs = 0;
    std::int64_t endedMs = 0;
    Net::HttpTransport transport = Net::HttpTransport::Lost;
    int status = 0;
    /// What the answer's body says of the job.
    std::string state;
    /// The caller gave up early, for good.
    bool isAbandoned = false;
};

/// A fault as it was brought about.
struct FaultWindow
{
    FaultKind kind = FaultKind::GatewayTerm;
    /// Name of a process or link.
    std::string target;
    std::int64_t fromMs = 0;
    std::int64_t toMs = NeverMs;
};

/// A version of the configuration that a gateway showed by serving a queue only this one has.
struct ObservedVersion
{
    /// Name and life of its process.
    std::string gateway;
    std::int64_t version = 0;
    std::int64_t requestedMs = 0;
    std::int64_t answeredMs = 0;
};

/// All that the checks look at.
struct Records
{
    std::vector<BackendIncarnation> backends;
    std::vector<Submission> submissions;
    std::vector<FaultWindow> faults;
    std::vector<ObservedVersion> versions;
};

} // namespace Soak
