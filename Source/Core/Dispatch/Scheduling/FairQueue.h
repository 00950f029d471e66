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

/// Decides which caller's task is next when a slot is free.
///
/// Load pattern: one caller sends ten times its share, or a burst of hundreds of tasks, or long
/// jobs arrive before short ones. In a first-in, first-out queue all others would wait behind them.
///
/// Weighted fair queueing in virtual time, first among teams by weight, then among the callers of a
/// team. A caller is charged slot time instead of tasks: the estimate when a task starts, and the
/// difference to the actual run time when it ends. So a caller with long tasks, or one that
/// declares too short run times, gets no more of the slots than others. Deficit round robin would
/// need many empty rounds when run times differ by a factor of a hundred; here, choosing the next
/// task takes logarithmic time in the number of active callers.
///
/// The jobs of a caller are ordered by arrival time plus a multiple of the ideal duration: a short
/// job passes a long one, but only if the long one arrived within that multiple of its duration
/// before, so that no job waits for ever.
namespace Dispatch {

using TeamId = std::uint32_t;
using CallerId = std::uint32_t;
using JobNumber = std::uint64_t;
/// Lane of jobs whose tasks can run on the same backend servers. A lane without a free backend
/// server is skipped and does not block the others.
using LaneId = std::uint32_t;

enum class QueueOrder {
    Fair,
    /// Baseline: strict arrival order of all jobs; the first job blocks the others.
    Arrival
};

struct QueuedJob
{
    JobNumber job = 0;
    LaneId lane = 0;
    TeamId team = 0;
    CallerId caller = 0;
    std::int64_t arrivalMs = 0;
    /// Time that the job would take on an idle site.
    double idealMs = 0;
};

struct CallerQueue
{
    std::string name;
    TeamId team = 0;
    double virtualTime = 0;
    /// Jobs by lane, each lane ordered by sort key.
    std::map<LaneId, std::set<std::pair<double, JobNumber>>> lanes;
    std::int64_t inFlight = 0;
    /// Tasks that wait, including those of jobs that are not runnable yet.
    std::int64_t queuedTasks = 0;
    QueuedWork queuedWork;
    WorkRate admitted;
};

struct TeamQueue
{
    std::string name;
    double weight = 1;
    /// Maximum number of tasks in flight from this gateway; 0 means no limit.
    std::int64_t quota = 0;
    double virtualTime = 0;
    /// Virtual time among the callers of this team.
    double callersVirtualTime = 0;
    /// Highest virtual time that a caller of this team has reached.
    double lastCallersVirtualTime = 0;
    std::set<std::pair<double, CallerId>> activeCallers;
    std::unordered_map<std::string, CallerId> callers;
    std::int64_t inFlight = 0;
    QueuedWork queuedWork;
};

struct FairQueue
{
    QueueOrder order = QueueOrder::Fair;
    /// How far a caller or team that becomes active may start behind the current virtual time if it
    /// has used less than its share. Without it, the second of two tasks that arrive close together
    /// would wait for tasks of a busy caller.
    double burstCredit = 0;
    std::vector<TeamQueue> teams;
    std::unordered_map<std::string, TeamId> teamsByName;
    std::vector<CallerQueue> callers;
    std::vector<CallerId> unusedCallers;
    std::set<std::pair<double, TeamId>> activeTeams;
    double activeWeight = 0;
    double virtualTime = 0;
    /// Highest virtual time that a team has reached.
    double lastVirtualTime = 0;
    std::map<JobNumber, QueuedJob> jobs;
    /// Number of jobs waiting in each lane.
    std::vector<std::size_t> laneJobs;
};

/// Lanes and callers that are skipped at the moment.
struct Blocked
{
    /// True for lanes without jobs or without a free slot.
    std::vector<bool> lanes;
    /// Callers for whom waiting for a faster slot is better. Others may use the free slots.
    std::set<CallerId> callers;
    /// Queued tasks of these callers.
    std::int64_t callersTasks = 0;
};

TeamId findOrAddTeam(FairQueue &queue, const std::string &name);
void setTeam(FairQueue &queue, TeamId team, double weight, std::int64_t quota);
CallerId findOrAddCaller(FairQueue &queue, TeamId team, const std::string &name);

void enqueue(FairQueue &queue, const QueuedJob &job);
/// Does nothing if the job is not queued.
void dequeue(FairQueue &queue, JobNumber job);
bool isQueued(const FairQueue &queue, JobNumber job);

/// Returns the job whose task is next, skipping what is blocked and teams at their quota.
std::optional<QueuedJob> nextJob(const FairQueue &queue, const Blocked &blocked);

/// Charges \a caller for a started task that is expected to take \a workMs of slot time.
void chargeStart(FairQueue &queue, CallerId caller, double workMs);
/// Corrects the charge of a task that has ended and took \a correctionMs more slot time than
/// charged; negative if less.
void chargeEnd(FairQueue &queue, CallerId caller, double correctionMs);

/// Share of the slots that \a caller gets at least while all callers with queued tasks compete.
double fairShare(const FairQueue &queue, CallerId caller);

/// Removes callers that have no tasks queued or in flight and have not used more than their share,
/// so that memory is bounded by the number of recently active callers.
void removeIdleCallers(FairQueue &queue);

} // namespace Dispatch
