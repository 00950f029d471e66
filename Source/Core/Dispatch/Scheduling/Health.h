#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

/// Health of a backend server: whether it gets work, and how much.
///
/// Load pattern: a backend server that fails every task does so quickly, so that its slots are
/// always free and it attracts more work than any other; a stalled one does not finish its tasks;
/// one that has just joined or recovered is cold. Without health tracking, one faulty backend
/// server of eleven makes most jobs of a site fail, because a failed task is never started again.
///
/// A backend server is ejected after a number of failures in a row or at a high failure rate. It
/// returns by one trial task and then a slow start, whose limit doubles with successes. A service
/// that fails on more than half of its backend servers is considered faulty itself, and its
/// failures do not count against any backend server. At most a third of the backend servers may be
/// ejected: if more fail, the cause is hardly in the backend servers, and the rest could not carry
/// the load.
namespace Dispatch {

enum class HealthPhase { SlowStart, Healthy, Ejected, Trial };

struct HealthRecord
{
    HealthPhase phase = HealthPhase::Healthy;
    int consecutiveFailures = 0;
    int consecutiveFastFailures = 0;
    double failureRate = 0;
    std::int64_t outcomes = 0;
    int ejections = 0;
    std::int64_t ejectedUntilMs = 0;
    std::int64_t slowStartLimit = 0;
};

/// Whether the last task of one service succeeded on each backend server, by the index that the
/// caller of these functions uses. Covers the first 64 backend servers.
struct ServiceOutcomes
{
    std::unordered_map<std::uint32_t, bool> lastSucceeded;
    /// Number of backend servers on which the last task failed.
    std::size_t failing = 0;
};

struct TaskOutcome
{
    bool succeeded = false;
    /// Ended within a fraction of the expected time.
    bool fast = false;
};

/// Maximum number of ejected backend servers: a third, at least one, but none if there are fewer
/// than two backend servers.
std::size_t maxEjected(std::size_t backendCount);

void recordServiceOutcome(ServiceOutcomes &service, std::uint32_t backend, bool succeeded);

/// Whether the last task of the service failed on more than half of its backend servers.
bool isServiceFailing(const ServiceOutcomes &service);

/// Records an outcome. Returns true if the backend server should be ejected.
bool recordOutcome(HealthRecord &record, const TaskOutcome &outcome);

/// Ejects the backend server for 2 s. The time doubles with each ejection, up to 60 s, until a slow
/// start completes.
void eject(HealthRecord &record, std::int64_t nowMs);

/// Begins the slow start of a new or recovered backend server with a limit of two tasks.
void beginSlowStart(HealthRecord &record);

/// Starts the trial of an ejected backend server when its ejection time is over. Returns true if
/// the phase has changed.
bool startTrialIfDue(HealthRecord &record, std::int64_t nowMs);

/// Maximum number of tasks that may be in flight, given the \a window that the agent offers.
std::int64_t healthLimit(const HealthRecord &record, std::int64_t window);

} // namespace Dispatch
