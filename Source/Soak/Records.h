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

/// Observations of callers, backend servers and configuration probes. All times are from the
/// machine's monotonic clock, which its processes share.
namespace Soak {

constexpr std::int64_t NeverMs = std::numeric_limits<std::int64_t>::max();

std::int64_t nowMs();

/// Name of a process, such as "agent-3". An agent has the same number as its backend server.
std::string processName(const char *role, int number);
/// Failure domain of the process with this number.
std::string failureDomainOf(int number);

/// One run of a task on a backend server.
struct Run
{
    std::string task;
    std::int64_t number = 0;
    std::int64_t startMs = 0;
    std::int64_t endMs = NeverMs;
    /// Empty while the task runs, and if its server ended before it.
    std::optional<Transient::RunEnd> end;
    /// The order to start it was executed long after it was received.
    bool isLate = false;
};

/// One incarnation of a backend server.
struct BackendIncarnation
{
    std::string server;
    std::vector<Run> runs;
    /// When it was acknowledged that the server leaves.
    std::optional<std::int64_t> leavingMs;
    std::int64_t processEndMs = NeverMs;
};

enum class EventKind { Start, LateStart, End, Leaving, Ended };

/// One line of a backend server's event file.
struct BackendEvent
{
    EventKind kind = EventKind::Start;
    std::int64_t atMs = 0;
    std::string task;
    std::int64_t number = 0;
    std::optional<Transient::RunEnd> end;
};

std::string encodeEvent(const BackendEvent &event);
/// Reads the complete lines of \a file. \a processEndMs is the time at which the process was killed
/// or found to have ended; runs that start later are dropped, and open runs end then.
BackendIncarnation readIncarnation(std::istream &file, const std::string &server,
                                   std::int64_t processEndMs);

enum class JobKind { Quick, Middle, Long, Failing };

/// One request of a caller and its outcome.
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
    /// State of the job according to the answer's body.
    std::string state;
    /// The caller abandoned the job before it was answered.
    bool isAbandoned = false;
};

/// A fault as it was injected.
struct FaultWindow
{
    FaultKind kind = FaultKind::GatewayTerm;
    /// Name of a process or of a link.
    std::string target;
    std::int64_t fromMs = 0;
    std::int64_t toMs = NeverMs;
};

/// A configuration version that a gateway served: it answered for a queue that exists only in this
/// version.
struct ObservedVersion
{
    /// Name of the gateway and number of its incarnation.
    std::string gateway;
    std::int64_t version = 0;
    std::int64_t requestedMs = 0;
    std::int64_t answeredMs = 0;
};

/// A version of the configuration that was written to the store.
struct WrittenVersion
{
    std::int64_t version = 0;
    std::int64_t sentMs = 0;
    /// NeverMs if the store has not acknowledged it; it may be in force all the same.
    std::int64_t acknowledgedMs = NeverMs;
};

/// An answer of a gateway that does not know the queue which exists only in this version.
struct MissingVersion
{
    std::string gateway;
    /// When the process of the gateway was started.
    std::int64_t startedMs = 0;
    std::int64_t version = 0;
    std::int64_t requestedMs = 0;
    std::int64_t answeredMs = 0;
};

/// A failure domain is evacuated from the acknowledgement of the request until the request to take
/// it back is sent.
struct EvacuationWindow
{
    std::string failureDomain;
    std::int64_t acknowledgedMs = 0;
    std::int64_t takenBackMs = NeverMs;
};

/// Input of the checks.
struct Records
{
    std::vector<BackendIncarnation> backends;
    std::vector<Submission> submissions;
    std::vector<FaultWindow> faults;
    std::vector<ObservedVersion> versions;
    std::vector<WrittenVersion> writtenVersions = {};
    std::vector<MissingVersion> missingVersions = {};
    std::vector<EvacuationWindow> evacuations = {};
};

} // namespace Soak
