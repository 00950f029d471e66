#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Dispatch/Scheduling/QueuedWork.h"
#include "Dispatch/Scheduling/WorkRate.h"

/// Whose task is next when a slot is free.
///
/// Load pattern: one caller sends ten times its share, or a burst of hundreds of tasks; long jobs
/// come in front of short ones. First-in first-out makes everybody wait behind the burst.
///
/// Weighted fair queueing in virtual time, first among teams by weight, then among a team's
/// callers. A caller is charged slot time, not tasks: the estimate when a task starts, the
/// difference to the true run time when it ends. So a caller of long tasks, or one that declares
/// too little, gets no more of the slots than others. Chosen over deficit round robin, which needs
/// many empty rounds when run times differ by a hundred times; here the next task costs a logarithm
/// of the active callers.
///
/// Within a caller, a job's place is its arrival plus a multiple of its ideal duration: a short job
/// passes a long one, but only one that arrived within that multiple before it, so that no job
/// waits for ever.
namespace Dispatch {

using TeamId = std::uint32_t;
using CallerId = std::uint32_t;
using JobNumber = std::uint64_t;
/// Jobs whose tasks can run on the same backend servers. A lane without a free backend server is
/// passed over and holds up no other.
using LaneId = std::uint32_t;

enum class QueueOrder {
    Fair,
    /// Baseline: strict arrival order of all jobs, the first holding up the rest.
    Arrival
};

struct QueuedJob
{
    JobNumber job = 0;
    LaneId lane = 0;
    TeamId team = 0;
    CallerId caller = 0;
    std::int64_t arrivalMs = 0;
    /// Time the job would take on an idle site.
    double idealMs = 0;
};

struct CallerQueue
{
    std::string name;
    TeamId team = 0;
    double virtualTime = 0;
    /// Jobs by lane, each lane in order.
    std::map<LaneId, std::set<std::pair<double, JobNumber>>> lanes;
    std::int64_t inFlight = 0;
    /// Queued, held jobs included.
    std::int64_t queuedTasks = 0;
    QueuedWork queuedWork;
    WorkRate admitted;
};

struct TeamQueue
{
    std::string name;
    double weight = 1;
    /// Most tasks in flight from here; 0 is no limit.
    std::int64_t quota = 0;
    double virtualTime = 0;
    double callersVirtualTime = 0;
    double lastCallersVirtualTime = 0;
    std::set<std::pair<double, CallerId>> activeCallers;
    std::unordered_map<std::string, CallerId> callers;
    std::int64_t inFlight = 0;
    QueuedWork queuedWork;
};

struct FairQueue
{
    QueueOrder order = QueueOrder::Fair;
    /// Work that a caller or team which got less than its share may have ahead of those that did
    /// not. Without it, two tasks that come close together wait for a hot caller's tasks in
    /// between.
    double burstCredit = 0;
    std::vector<TeamQueue> teams;
    std::unordered_map<std::string, TeamId> teamsByName;
    std::vector<CallerQueue> callers;
    std::vector<CallerId> unusedCallers;
    std::set<std::pair<double, TeamId>> activeTeams;
    double activeWeight = 0;
    double virtualTime = 0;
    double lastVirtualTime = 0;
    std::map<JobNumber, QueuedJob> jobs;
    /// Jobs waiting in each lane.
    std::vector<std::size_t> laneJobs;
};

/// What is passed over at the moment.
struct Blocked
{
    /// Without a free place.
    std::vector<bool> lanes;
    /// Better off waiting for a faster place; others may use what is free.
    std::set<CallerId> callers;
    /// Tasks of those callers.
    std::int64_t callersTasks = 0;
};

TeamId findOrAddTeam(FairQueue &queue, const std::string &name);
void setTeam(FairQueue &queue, TeamId team, double weight, std::int64_t quota);
CallerId findOrAddCaller(FairQueue &queue, TeamId team, const std::string &name);

void enqueue(FairQueue &queue, const QueuedJob &job);
/// Does nothing where the job is not queued.
void dequeue(FairQueue &queue, JobNumber job);
bool isQueued(const FairQueue &queue, JobNumber job);

/// The job whose task is next, outside the blocked lanes and the teams at their quota.
std::optional<QueuedJob> nextJob(const FairQueue &queue, const Blocked &blocked);

/// A task of \a caller has started and is expected to take \a workMs of a slot.
void chargeStart(FairQueue &queue, CallerId caller, double workMs);
/// It ended and took \a correctionMs more than charged, or less.
void chargeEnd(FairQueue &queue, CallerId caller, double correctionMs);

/// The part of the slots that \a caller gets at least, against all who have tasks queued now.
double fairShare(const FairQueue &queue, CallerId caller);

/// Forgets callers that have nothing here and are owed nothing. Memory stays bounded by the callers
/// of the last moments.
void removeIdleCallers(FairQueue &queue);

} // namespace Dispatch
