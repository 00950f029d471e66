#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

/// Whether a backend server gets work, and how much.
///
/// Load pattern: a backend server that fails everything fails it fast, so that its slots are always
/// free and it draws more work than any other; a stalled one keeps what it got; one that has just
/// joined or recovered is cold. Without this, one bad backend server of eleven turns most jobs of a
/// site into failures, since a failed task is never started again.
///
/// Ejection rests on outcomes in a row and on the failure rate; the way back is one trial task,
/// then a limit that doubles with successes. A service that fails on half of its backend servers is
/// held to blame itself: its failures count against none. At most a third of the backend servers
/// may be ejected: were more to fail, the cause would hardly be theirs, and the rest could not
/// carry the load.
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

/// How the last task of one service ended on each backend server, by the caller's index.
struct ServiceOutcomes
{
    std::unordered_map<std::uint32_t, bool> lastSucceeded;
    std::size_t failing = 0;
};

struct TaskOutcome
{
    bool succeeded = false;
    /// Ended in a fraction of the expected time.
    bool fast = false;
};

/// A share of a third, and none where a backend server stands alone.
std::size_t maxEjected(std::size_t backendCount);

void recordServiceOutcome(ServiceOutcomes &service, std::uint32_t backend, bool succeeded);

/// The service fails wherever it runs.
bool isServiceFailing(const ServiceOutcomes &service);

/// Takes an outcome in. True where the backend server should be ejected.
bool recordOutcome(HealthRecord &record, const TaskOutcome &outcome);

/// Out for a time that doubles with each ejection that follows another.
void eject(HealthRecord &record, std::int64_t nowMs);

/// Starts the limit of a new backend server at two tasks.
void beginSlowStart(HealthRecord &record);

/// Lets an ejected backend server have its trial when its time is up. True where something changed.
bool startTrialIfDue(HealthRecord &record, std::int64_t nowMs);

/// Most tasks that may be in flight, of the \a window the agent offers.
std::int64_t healthLimit(const HealthRecord &record, std::int64_t window);

} // namespace Dispatch
