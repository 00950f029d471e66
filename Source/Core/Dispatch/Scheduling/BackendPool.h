#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Dispatch/Scheduling/Estimates.h"
#include "Dispatch/Scheduling/Health.h"
#include "Schema/Schema.h"

/// What is believed of the backend servers, and which of them could take a task now.
///
/// Load pattern: 36,000 starts a second over 860 backend servers of different equipment. Looking
/// through all of them for each task costs more than the task's own messages; so each requirement
/// (service and resources) keeps the list of the backend servers with a free place for it, and a
/// change touches one backend server in the lists it belongs to.
namespace Dispatch {

using BackendIndex = std::uint32_t;
using RequirementId = std::uint32_t;

/// Position in a requirement's list of free backend servers.
constexpr std::int32_t NotFree = -1;
constexpr std::int32_t NotEligible = -2;

struct BackendRecord
{
    /// Of the agent; empty when the entry is unused.
    std::string instance;
    Schema::BackendServer server;
    std::uint32_t domain = 0;
    std::int64_t window = 0;
    /// Tasks of all gateways, as last reported.
    std::int64_t reportedRunning = 0;
    /// Tasks sent from here that have not ended.
    std::int64_t inFlight = 0;
    Schema::Resources used;
    bool lost = false;
    bool draining = false;
    bool drainedByOperator = false;
    bool healthy = true;
    /// Most of what it holds is far over its time.
    bool stalled = false;
    std::int64_t lastReceivedMs = 0;
    /// Refused a start: gets none until then.
    std::int64_t pausedUntilMs = 0;
    int consecutiveRefusals = 0;
    BackendSpeed speed;
    HealthRecord health;
    /// By requirement.
    std::vector<std::int32_t> freePosition;
};

/// Slots of the backend servers up to some speed factor.
struct SpeedStep
{
    double factor = 1;
    /// Slots.
    double slots = 0;
    /// Slots weighted by speed: work done in a millisecond.
    double capacity = 0;
};

/// What a task needs of a backend server. Tasks that need the same share a lane.
struct Requirement
{
    std::string key;
    std::string service;
    Schema::Resources resources;
    /// Jobs that use it.
    std::size_t users = 0;
    /// Stands in the list of idle ones.
    bool idle = false;
    std::vector<BackendIndex> free;
    /// Able, whether free or not.
    std::size_t eligibleCount = 0;
    std::int64_t ineligibleSinceMs = 0;
    /// Runnable tasks that wait for it.
    std::int64_t queuedTasks = 0;
    /// By factor, each with the sum up to it.
    std::vector<SpeedStep> steps;
    std::int64_t stepsAtMs = 0;
    bool stepsStale = true;
};

struct FailureDomainLoad
{
    std::string name;
    std::int64_t inFlight = 0;
};

struct BackendPool
{
    std::int64_t silenceMs = 2500;
    std::vector<BackendRecord> backends;
    std::vector<BackendIndex> unusedBackends;
    std::unordered_map<std::string, BackendIndex> byInstance;
    std::vector<Requirement> requirements;
    std::vector<RequirementId> unusedRequirements;
    /// Without users, kept because the next job will likely need them.
    std::deque<RequirementId> idleRequirements;
    std::unordered_map<std::string, RequirementId> requirementsByKey;
    std::vector<FailureDomainLoad> domains;
    std::vector<std::string> drains;
    std::int64_t inFlight = 0;
    double inFlightWorkMs = 0;
    /// Of all backend servers that take work.
    SpeedStep total{1, 0, 0};
    std::int64_t sweptMs = 0;
};

/// Of \a total, with \a used taken, \a wanted is left.
bool fits(const Schema::Resources &total, const Schema::Resources &used,
          const Schema::Resources &wanted);

/// A task of \a requirement fits the equipment, were all of it free.
bool isEligible(const BackendRecord &backend, const Requirement &requirement);

/// Takes no new work at the moment, whatever its window.
bool isUnavailable(const BackendPool &pool, const BackendRecord &backend, std::int64_t nowMs);

/// Tasks that may be in flight there, counted from here.
std::int64_t concurrencyLimit(const BackendRecord &backend);

bool hasRoomFor(const BackendRecord &backend, const Requirement &requirement);

RequirementId acquireRequirement(BackendPool &pool, const std::string &service,
                                 const Schema::Resources &resources, std::int64_t nowMs);
void releaseRequirement(BackendPool &pool, RequirementId id);

/// Takes a hello in. Returns the backend server's index.
BackendIndex updateBackend(BackendPool &pool, const Schema::AgentHello &hello, std::int64_t nowMs);
void markBackendLost(BackendPool &pool, BackendIndex index, std::int64_t nowMs);
void setDrains(BackendPool &pool, const std::vector<Schema::Drain> &drains, std::int64_t nowMs);

/// Puts the backend server into, or takes it out of, the lists of free ones after any change.
void updateFreeLists(BackendPool &pool, BackendIndex index, std::int64_t nowMs);

void occupySlot(BackendPool &pool, BackendIndex index, const Requirement &requirement,
                double workMs, std::int64_t nowMs);
/// Undoes occupy(); frees the entry of a lost backend server with its last task.
void vacateSlot(BackendPool &pool, BackendIndex index, const Schema::Resources &resources,
                double workMs, std::int64_t nowMs);

/// The agent leaves: no new work, without waiting for its next hello.
void markBackendDraining(BackendPool &pool, BackendIndex index, std::int64_t nowMs);

/// Looks after what changes by time alone: silence, pauses that end, trials. Cheap when called
/// often.
void sweepBackends(BackendPool &pool, std::int64_t nowMs);

} // namespace Dispatch
