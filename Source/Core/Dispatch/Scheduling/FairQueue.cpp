#include "Dispatch/Scheduling/FairQueue.h"

#include <algorithm>

namespace Dispatch {
namespace {

/// How long a job may be passed by shorter ones, as a multiple of its ideal duration. With 4, a 5 s
/// job can be passed by jobs that arrive up to 20 s after it, which is within the default deadline
/// of 30 s.
constexpr double LengthWeight = 4;

double sortKeyOf(const FairQueue &queue, const QueuedJob &job)
{
    if (queue.order == QueueOrder::Arrival) {
        return static_cast<double>(job.job);
    }
    return static_cast<double>(job.arrivalMs) + LengthWeight * job.idealMs;
}

void activateTeam(FairQueue &queue, TeamId id)
{
    TeamQueue &team = queue.teams[id];
    team.virtualTime = std::max(team.virtualTime, queue.virtualTime - queue.burstCredit);
    queue.activeTeams.emplace(team.virtualTime, id);
    queue.activeWeight += team.weight;
}

void activateCaller(FairQueue &queue, CallerId id)
{
    CallerQueue &caller = queue.callers[id];
    TeamQueue &team = queue.teams[caller.team];
    if (team.activeCallers.empty()) {
        activateTeam(queue, caller.team);
    }
    caller.virtualTime = std::max(caller.virtualTime, team.callersVirtualTime - queue.burstCredit);
    team.activeCallers.emplace(caller.virtualTime, id);
}

void deactivateCaller(FairQueue &queue, CallerId id)
{
    const CallerQueue &caller = queue.callers[id];
    TeamQueue &team = queue.teams[caller.team];
    team.activeCallers.erase({caller.virtualTime, id});
    if (!team.activeCallers.empty()) {
        return;
    }
    // No caller of the team waits any more, so none has a claim to earlier service. Without this,
    // the virtual time at which new callers start would stand still while each of them sends one
    // task, and idle callers could never be removed.
    team.callersVirtualTime = std::max(team.callersVirtualTime, team.lastCallersVirtualTime);
    queue.activeTeams.erase({team.virtualTime, caller.team});
    queue.activeWeight -= team.weight;
    if (queue.activeTeams.empty()) {
        queue.virtualTime = std::max(queue.virtualTime, queue.lastVirtualTime);
    }
}

/// Advances the virtual times of the caller and its team, keeping the active sets in order.
void advanceVirtualTime(FairQueue &queue, CallerId id, double workMs)
{
    CallerQueue &caller = queue.callers[id];
    TeamQueue &team = queue.teams[caller.team];
    const double callerTime = caller.virtualTime + workMs;
    if (team.activeCallers.erase({caller.virtualTime, id}) > 0) {
        team.activeCallers.emplace(callerTime, id);
    }
    caller.virtualTime = callerTime;
    team.lastCallersVirtualTime = std::max(team.lastCallersVirtualTime, callerTime);
    const double teamTime = team.virtualTime + workMs / team.weight;
    if (queue.activeTeams.erase({team.virtualTime, caller.team}) > 0) {
        queue.activeTeams.emplace(teamTime, caller.team);
    }
    team.virtualTime = teamTime;
    queue.lastVirtualTime = std::max(queue.lastVirtualTime, teamTime);
}

bool isBlocked(const Blocked &blocked, LaneId lane)
{
    return lane < blocked.lanes.size() && blocked.lanes[lane];
}

std::optional<JobNumber> nextOfCaller(const CallerQueue &caller, const Blocked &blocked)
{
    const std::pair<double, JobNumber> *first = nullptr;
    for (const auto &lane : caller.lanes) {
        if (isBlocked(blocked, lane.first)) {
            continue;
        }
        const auto &candidate = *lane.second.begin();
        if (first == nullptr || candidate < *first) {
            first = &candidate;
        }
    }
    return first == nullptr ? std::nullopt : std::optional<JobNumber>(first->second);
}

std::optional<JobNumber> nextOfTeam(const FairQueue &queue, const TeamQueue &team,
                                    const Blocked &blocked)
{
    if (team.quota > 0 && team.inFlight >= team.quota) {
        return std::nullopt;
    }
    for (const auto &active : team.activeCallers) {
        if (blocked.callers.count(active.second) > 0) {
            continue;
        }
        if (const auto job = nextOfCaller(queue.callers[active.second], blocked)) {
            return job;
        }
    }
    return std::nullopt;
}

std::optional<QueuedJob> firstArrived(const FairQueue &queue, const Blocked &blocked)
{
    if (queue.jobs.empty()) {
        return std::nullopt;
    }
    const QueuedJob &first = queue.jobs.begin()->second;
    const TeamQueue &team = queue.teams[first.team];
    const bool atQuota = team.quota > 0 && team.inFlight >= team.quota;
    const bool waits = blocked.callers.count(first.caller) > 0;
    if (atQuota || waits || isBlocked(blocked, first.lane)) {
        return std::nullopt;
    }
    return first;
}

} // namespace

TeamId findOrAddTeam(FairQueue &queue, const std::string &name)
{
    const auto found = queue.teamsByName.find(name);
    if (found != queue.teamsByName.end()) {
        return found->second;
    }
    const auto id = static_cast<TeamId>(queue.teams.size());
    queue.teams.emplace_back();
    queue.teams.back().name = name;
    queue.teamsByName.emplace(name, id);
    return id;
}

void setTeam(FairQueue &queue, TeamId id, double weight, std::int64_t quota)
{
    TeamQueue &team = queue.teams[id];
    if (!team.activeCallers.empty()) {
        queue.activeWeight += weight - team.weight;
    }
    team.weight = weight;
    team.quota = quota;
}

CallerId findOrAddCaller(FairQueue &queue, TeamId team, const std::string &name)
{
    const auto found = queue.teams[team].callers.find(name);
    if (found != queue.teams[team].callers.end()) {
        return found->second;
    }
    auto id = static_cast<CallerId>(queue.callers.size());
    if (queue.unusedCallers.empty()) {
        queue.callers.emplace_back();
    } else {
        id = queue.unusedCallers.back();
        queue.unusedCallers.pop_back();
    }
    CallerQueue &caller = queue.callers[id];
    caller.name = name;
    caller.team = team;
    queue.teams[team].callers.emplace(name, id);
    return id;
}

void enqueue(FairQueue &queue, const QueuedJob &job)
{
    if (!queue.jobs.emplace(job.job, job).second) {
        return;
    }
    CallerQueue &caller = queue.callers[job.caller];
    if (caller.lanes.empty()) {
        activateCaller(queue, job.caller);
    }
    caller.lanes[job.lane].emplace(sortKeyOf(queue, job), job.job);
    if (job.lane >= queue.laneJobs.size()) {
        queue.laneJobs.resize(job.lane + 1);
    }
    queue.laneJobs[job.lane] += 1;
}

void dequeue(FairQueue &queue, JobNumber number)
{
    const auto found = queue.jobs.find(number);
    if (found == queue.jobs.end()) {
        return;
    }
    const QueuedJob job = found->second;
    queue.jobs.erase(found);
    queue.laneJobs[job.lane] -= 1;
    CallerQueue &caller = queue.callers[job.caller];
    auto &lane = caller.lanes[job.lane];
    lane.erase({sortKeyOf(queue, job), number});
    if (!lane.empty()) {
        return;
    }
    caller.lanes.erase(job.lane);
    if (caller.lanes.empty()) {
        deactivateCaller(queue, job.caller);
    }
}

bool isQueued(const FairQueue &queue, JobNumber job)
{
    return queue.jobs.count(job) > 0;
}

std::optional<QueuedJob> nextJob(const FairQueue &queue, const Blocked &blocked)
{
    if (queue.order == QueueOrder::Arrival) {
        return firstArrived(queue, blocked);
    }
    for (const auto &active : queue.activeTeams) {
        if (const auto job = nextOfTeam(queue, queue.teams[active.second], blocked)) {
            return queue.jobs.at(*job);
        }
    }
    return std::nullopt;
}

void chargeStart(FairQueue &queue, CallerId id, double workMs)
{
    CallerQueue &caller = queue.callers[id];
    TeamQueue &team = queue.teams[caller.team];
    queue.virtualTime = std::max(queue.virtualTime, team.virtualTime);
    team.callersVirtualTime = std::max(team.callersVirtualTime, caller.virtualTime);
    caller.inFlight += 1;
    team.inFlight += 1;
    advanceVirtualTime(queue, id, workMs);
}

void chargeEnd(FairQueue &queue, CallerId id, double correctionMs)
{
    CallerQueue &caller = queue.callers[id];
    caller.inFlight -= 1;
    queue.teams[caller.team].inFlight -= 1;
    advanceVirtualTime(queue, id, correctionMs);
}

double fairShare(const FairQueue &queue, CallerId id)
{
    const CallerQueue &caller = queue.callers[id];
    const TeamQueue &team = queue.teams[caller.team];
    const double otherTeams = queue.activeWeight - (team.activeCallers.empty() ? 0 : team.weight);
    const std::size_t callers = team.activeCallers.size() + (caller.lanes.empty() ? 1 : 0);
    return team.weight / (team.weight + std::max(otherTeams, 0.0))
           / static_cast<double>(std::max<std::size_t>(callers, 1));
}

void removeIdleCallers(FairQueue &queue)
{
    for (TeamQueue &team : queue.teams) {
        for (auto entry = team.callers.begin(); entry != team.callers.end();) {
            CallerQueue &caller = queue.callers[entry->second];
            const bool idle = caller.lanes.empty() && caller.inFlight == 0
                              && caller.queuedTasks == 0
                              && caller.virtualTime <= team.callersVirtualTime;
            if (!idle) {
                ++entry;
                continue;
            }
            caller = CallerQueue();
            queue.unusedCallers.push_back(entry->second);
            entry = team.callers.erase(entry);
        }
    }
}

} // namespace Dispatch
