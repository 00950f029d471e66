#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Scheduling/Admission.h"
#include "Dispatch/Scheduling/BackendPool.h"
#include "Dispatch/Scheduling/Estimates.h"
#include "Dispatch/Scheduling/FairQueue.h"
#include "Dispatch/Scheduling/Health.h"
#include "Dispatch/Scheduling/RetryBudget.h"
#include "Dispatch/Scheduling/SchedulerTypes.h"
#include "Dispatch/Scheduling/SlotReserve.h"
#include "Schema/Schema.h"

namespace Dispatch {

struct TaskKeyHash
{
    std::size_t operator()(const TaskKey &key) const
    {
        return std::hash<std::string>()(key.job) * 31 + static_cast<std::size_t>(key.index);
    }
};

/// A job that has tasks to be placed or in flight. Kept until dropJob() or until it expires.
struct ScheduledJob
{
    JobDemand demand;
    JobNumber number = 0;
    ProfileId profile = 0;
    RequirementId requirement = 0;
    TeamId team = 0;
    CallerId caller = 0;
    bool isLong = false;
    bool runnable = false;
    double idealMs = 0;
    std::int64_t admittedMs = 0;
    /// Wall-clock time after which a task that starts will probably miss the deadline.
    std::int64_t lastStartMs = 0;
    /// Indices of the waiting tasks, the next one at the back.
    std::vector<int> queued;
    /// Number of tasks that wait outside the queue: for the end of their back-off or, with a
    /// baseline for placement, for their backend server.
    std::int64_t delayed = 0;
    /// Number of refused starts by task.
    std::map<int, int> attempts;
    /// Number of tasks in flight or ended.
    std::int64_t started = 0;
};

struct TaskInFlight
{
    BackendIndex backend = 0;
    std::string agent;
    ProfileId profile = 0;
    std::string service;
    Schema::Resources resources;
    CallerId caller = 0;
    bool isLong = false;
    /// Expected run time at speed factor 1.
    double workMs = 0;
    /// Slot time charged to the caller: the expected run time on this backend server.
    double chargedMs = 0;
    std::int64_t sinceMs = 0;
};

/// Job and index of tasks bound to one backend server.
using BoundTasks = std::deque<std::pair<JobNumber, int>>;

struct ServiceSettings
{
    Schema::Resources resources;
    std::int64_t expectedRunMs = 0;
};

/// Modules that a test can switch off to show that its limit depends on them.
struct SchedulerSwitches
{
    bool ejection = true;
    bool slotReserve = true;
    /// Includes the pauses after refused starts.
    bool retryBudget = true;
};

/// State of the scheduler. Apart from its settings, other modules change it only through the
/// functions of Scheduler.h.
struct SchedulerState
{
    /// An agent that has sent nothing for this long gets no work.
    std::int64_t agentSilenceMs = 2500;
    SchedulerSwitches switches;
    AdmissionLimits limits;
    /// Minimum time between two rounds of starts. All starts of a round for one agent share a
    /// message.
    std::int64_t startBatchMs = 0;
    std::int64_t lastRoundMs = 0;
    Schema::PlacementPolicy placement = Schema::PlacementPolicy::WeightedWindow;
    std::unordered_map<std::string, ServiceSettings> services;
    std::unordered_map<std::string, Schema::Team> teams;
    int gateways = 1;

    Estimates estimates;
    BackendPool pool;
    FairQueue queue;
    SlotReserve reserve;
    RetryBudget retries;
    std::unordered_map<std::string, ServiceOutcomes> outcomes;
    WorkRate admitted;

    std::unordered_map<std::string, JobNumber> numbers;
    std::unordered_map<JobNumber, ScheduledJob> jobs;
    JobNumber nextNumber = 1;
    std::unordered_map<TaskKey, TaskInFlight, TaskKeyHash> inFlight;
    /// Tasks by the steady time at which their back-off ends.
    std::set<std::pair<std::int64_t, std::pair<JobNumber, int>>> delayed;
    /// Used only with a baseline for placement.
    std::map<BackendIndex, BoundTasks> bound;
    /// Jobs by the wall-clock time after which they can no longer meet their deadline.
    std::set<std::pair<std::int64_t, JobNumber>> byLastStart;
    std::int64_t queuedTasks = 0;
    std::int64_t runnableTasks = 0;
    QueuedWork queuedWork;
    std::int64_t stalledCheckedMs = 0;
    std::int64_t neverRunnableCheckedMs = 0;
    std::int64_t idleCallersRemovedMs = 0;
};

} // namespace Dispatch
