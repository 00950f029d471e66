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

/// The known state of the backend servers, and which of them can take a task now.
///
/// Load pattern: 36,000 starts a second over 860 backend servers with different resources.
/// Searching all of them for each task costs more than the task's own messages. So each requirement
/// (service and resources) keeps a list of the backend servers with a free slot for it, and a
/// change updates only one backend server in the lists it belongs to.
namespace Dispatch {

using BackendIndex = std::uint32_t;
using RequirementId = std::uint32_t;

/// Values of BackendRecord::freePosition for backend servers that are not in the requirement's free
/// list: eligible but without a free slot or unavailable, and not eligible.
constexpr std::int32_t NotFree = -1;
constexpr std::int32_t NotEligible = -2;

struct BackendRecord
{
    /// Instance of the agent; empty when the entry is unused.
    std::string instance;
    Schema::BackendServer server;
    std::uint32_t domain = 0;
    std::int64_t window = 0;
    /// Running tasks of all gateways, as last reported by the agent.
    std::int64_t reportedRunning = 0;
    /// Tasks sent by this gateway that have not ended.
    std::int64_t inFlight = 0;
    Schema::Resources used;
    bool lost = false;
    bool draining = false;
    bool drainedByOperator = false;
    bool healthy = true;
    /// More than half of its tasks in flight are overdue.
    bool stalled = false;
    std::int64_t lastReceivedMs = 0;
    /// Gets no tasks until this time, because it has refused a start.
    std::int64_t pausedUntilMs = 0;
    int consecutiveRefusals = 0;
    BackendSpeed speed;
    HealthRecord health;
    /// Position in the free list of each requirement, or NotFree or NotEligible.
    std::vector<std::int32_t> freePosition;
};

/// Slots and capacity of all backend servers up to a speed factor.
struct SpeedStep
{
    double factor = 1;
    double slots = 0;
    /// Slots divided by their speed factors: the work done in a millisecond.
    double capacity = 0;
};

/// What a task needs from a backend server. Tasks with the same requirement share a pair of lanes:
/// one for short and one for long tasks.
struct Requirement
{
    std::string key;
    std::string service;
    Schema::Resources resources;
    /// Number of jobs that use it.
    std::size_t users = 0;
    /// Is in BackendPool::idleRequirements.
    bool idle = false;
    std::vector<BackendIndex> free;
    /// Eligible backend servers, whether free or not.
    std::size_t eligibleCount = 0;
    std::int64_t ineligibleSinceMs = 0;
    /// Number of runnable tasks that wait for a backend server.
    std::int64_t queuedTasks = 0;
    /// In ascending order of the factor; slots and capacity are cumulative.
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
    /// Requirements without users, oldest first. They are kept because later jobs will likely need
    /// them.
    std::deque<RequirementId> idleRequirements;
    std::unordered_map<std::string, RequirementId> requirementsByKey;
    std::vector<FailureDomainLoad> domains;
    std::vector<std::string> drains;
    std::vector<std::string> evacuatedDomains;
    std::int64_t inFlight = 0;
    double inFlightWorkMs = 0;
    /// Sums over all available backend servers.
    SpeedStep total{1, 0, 0};
    std::int64_t sweptMs = 0;
};

/// Whether \a wanted fits into what remains of \a total after \a used.
bool fits(const Schema::Resources &total, const Schema::Resources &used,
          const Schema::Resources &wanted);

/// Whether the backend server is neither lost nor drained, runs the service and has enough
/// resources for \a requirement when it is empty.
bool isEligible(const BackendRecord &backend, const Requirement &requirement);

/// Whether the backend server gets no new work at the moment, whatever its window: it is lost,
/// draining, unhealthy, stalled, silent or paused.
bool isUnavailable(const BackendPool &pool, const BackendRecord &backend, std::int64_t nowMs);

/// Maximum number of tasks that this gateway may have in flight at the backend server.
std::int64_t concurrencyLimit(const BackendRecord &backend);

/// Whether a slot and the resources for one more task of \a requirement are free.
bool hasRoomFor(const BackendRecord &backend, const Requirement &requirement);

/// Returns the requirement for \a service and \a resources, adding it if necessary, and counts one
/// more user of it.
RequirementId acquireRequirement(BackendPool &pool, const std::string &service,
                                 const Schema::Resources &resources, std::int64_t nowMs);
/// Counts one user less. A requirement without users becomes idle, and the oldest idle ones are
/// removed when there are too many.
void releaseRequirement(BackendPool &pool, RequirementId id);

/// Adds or updates the backend server that a hello describes. Returns its index.
BackendIndex updateBackend(BackendPool &pool, const Schema::AgentHello &hello, std::int64_t nowMs);
/// Marks the backend server as lost. Its entry is removed once none of its tasks is in flight.
void markBackendLost(BackendPool &pool, BackendIndex index, std::int64_t nowMs);
void setDrains(BackendPool &pool, const Schema::Configuration &configuration, std::int64_t nowMs);

/// Adds the backend server to the free lists or removes it from them. To be called after any change
/// of its state.
void updateFreeLists(BackendPool &pool, BackendIndex index, std::int64_t nowMs);

/// Counts one more task in flight with its resources and its work.
void occupySlot(BackendPool &pool, BackendIndex index, const Requirement &requirement,
                double workMs, std::int64_t nowMs);
/// Undoes occupySlot(). Removes the entry of a lost backend server when its last task ends.
void vacateSlot(BackendPool &pool, BackendIndex index, const Schema::Resources &resources,
                double workMs, std::int64_t nowMs);

/// Marks the backend server as draining at once, without waiting for the agent's next hello.
void markBackendDraining(BackendPool &pool, BackendIndex index, std::int64_t nowMs);

/// Updates what changes with time alone: silence, the end of pauses, the start of trials, the decay
/// of slowness, and the pool's totals. Runs at most every 25 ms, so that frequent calls are cheap.
void sweepBackends(BackendPool &pool, std::int64_t nowMs);

} // namespace Dispatch
