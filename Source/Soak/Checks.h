#pragma once

#include <string>
#include <vector>

#include "Soak/Records.h"

/// Checks of the invariants, based on what callers and backend servers observed.
namespace Soak {

enum class Invariant {
    OneRunAtATime,
    CorrectAnswer,
    RefusedNeverRuns,
    GracefulStop,
    ConfigurationMonotonic,
    ConfigurationInTime,
    NoStartOnLeavingServer,
    NoStartInEvacuatedDomain,
    Recovery,
    EveryCallerAnswered,
    NoUnexpectedExit
};

struct Finding
{
    Invariant invariant = Invariant::OneRunAtATime;
    std::int64_t atMs = 0;
    std::string detail;
};

std::string_view nameOf(Invariant invariant);

/// Two overlapping runs of one task, on backend servers whose processes are running.
std::vector<Finding> findOverlaps(const std::vector<BackendIncarnation> &backends);

/// An answer that does not match the runs of its job: success with fewer succeeded tasks than the
/// job has, failure without a failed run, an unknown queue or any other unexpected status or state.
std::vector<Finding> findWrongAnswers(const Records &records);

/// A job that was started although all of its requests were refused.
std::vector<Finding> findRefusedRuns(const Records &records);

/// A request whose connection broke within \a graceMs of the gateway being told to stop, while no
/// other fault affected the gateway or its link to callers. A request that was lost within 200 ms
/// and whose job has not run is not counted.
std::vector<Finding> findCutRequests(const Records &records, std::int64_t graceMs);

/// A gateway process that serves an older configuration after a newer one.
std::vector<Finding> findOlderVersions(const std::vector<ObservedVersion> &versions);

/// A gateway that, more than 2 s after a version of the configuration was acknowledged, does not
/// know a queue that the version contains, if no newer version was written, and no fault affected
/// the gateway, its links or the store in the 3 s before the request. The probes do not pass
/// through the link of callers, so its hold-up is no such fault.
std::vector<Finding> findLateVersions(const Records &records);

/// A start on a backend server more than 2 s after it was acknowledged that it leaves, if no fault
/// affected its agent or the agent's links in the 3 s before the start. Orders that were executed
/// late are not counted.
std::vector<Finding> findStartsOnLeaving(const Records &records);

/// A start in a failure domain that has been evacuated for more than 5 s, if no fault affected the
/// store within that time, nor the agent or its links in the 3 s before the start. Orders that were
/// executed late are not counted.
std::vector<Finding> findStartsInEvacuated(const Records &records);

/// Whether at least 10 requests were sent since \a sinceMs, at least 90 % of them succeeded, and
/// each of \a gateways answered at least one with success. Abandoned requests are not counted.
bool isServed(const std::vector<Submission> &submissions, std::int64_t sinceMs,
              const std::vector<std::string> &gateways);

/// Runs all checks above except isServed(). Unexpected exits, unanswered callers and the recovery
/// at the end of a run are not part of it.
std::vector<Finding> findViolations(const Records &records, std::int64_t graceMs);

} // namespace Soak
