#include "Dispatch/Scheduling/Scheduler.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "Dispatch/Scheduling/Capacity.h"
#include "Dispatch/Scheduling/ScheduledJobs.h"

namespace Dispatch {
namespace {

constexpr std::int64_t NeverRunnablePeriodMs = 100;
constexpr std::int64_t BusyWakeMs = 25;
constexpr std::int64_t IdleWakeMs = 1000;
constexpr std::int64_t MinRetryAfterMs = 100;
constexpr std::int64_t MaxRetryAfterMs = 60000;

std::optional<Refusal> refuseUnknown(const SchedulerState &state, const JobDemand &demand)
{
    if (state.teams.count(demand.team) == 0) {
        return Refusal{Schema::Reason::UnknownTeam, "unknown team " + demand.team, 0};
    }
    if (state.services.count(demand.service) == 0) {
        return Refusal{Schema::Reason::UnknownService, "unknown service " + demand.service, 0};
    }
    return std::nullopt;
}

/// This gateway's part of the team's quota, which applies to the region; 0 means no limit. It is at
/// least one task, so that no team is excluded. With a quota below the number of gateways, one task
/// per gateway may run.
std::int64_t quotaShare(const SchedulerState &state, const Schema::Team &team)
{
    const std::int64_t quota = team.quota.value_or(0);
    return quota == 0 ? 0 : std::max<std::int64_t>(1, quota / state.gateways);
}

void applyTeams(SchedulerState &state)
{
    for (const auto &entry : state.teams) {
        const TeamId id = findOrAddTeam(state.queue, entry.first);
        const auto weight = static_cast<double>(entry.second.weight.value_or(1));
        setTeam(state.queue, id, weight, quotaShare(state, entry.second));
    }
}

void setOrder(SchedulerState &state, QueueOrder order)
{
    if (state.queue.order == order) {
        return;
    }
    const std::map<JobNumber, QueuedJob> jobs = state.queue.jobs;
    for (const auto &entry : jobs) {
        dequeue(state.queue, entry.first);
    }
    state.queue.order = order;
    for (const auto &entry : jobs) {
        enqueue(state.queue, entry.second);
    }
}

void applyPolicy(SchedulerState &state, const Schema::Policy &policy)
{
    const AdmissionLimits defaults;
    state.limits.maxQueuedTasks = policy.maxQueuedTasks.value_or(defaults.maxQueuedTasks);
    state.limits.maxQueuedTasksPerCaller =
            policy.maxQueuedTasksPerCaller.value_or(defaults.maxQueuedTasksPerCaller);
    state.limits.neverRunnableGraceMs =
            policy.neverRunnableGraceMs.value_or(defaults.neverRunnableGraceMs);
    state.startBatchMs = policy.startBatchMs.value_or(0);
    state.placement = policy.placement.value_or(Schema::PlacementPolicy::WeightedWindow);
    const Schema::QueueingPolicy queueing = policy.queueing.value_or(Schema::QueueingPolicy::Fair);
    setOrder(state,
             queueing == Schema::QueueingPolicy::Fifo ? QueueOrder::Arrival : QueueOrder::Fair);
}

std::int64_t freeSlots(const BackendPool &pool, RequirementId id, std::int64_t enough)
{
    std::int64_t places = 0;
    for (const BackendIndex index : pool.requirements[id].free) {
        const BackendRecord &backend = pool.backends[index];
        places += concurrencyLimit(backend) - backend.inFlight;
        if (places >= enough) {
            break;
        }
    }
    return places;
}

double unusedByOthers(const SchedulerState &state, const CallerQueue &caller, std::int64_t nowMs)
{
    if (state.pool.total.capacity <= 0) {
        return 1;
    }
    const double others = workPerMs(state.admitted, nowMs) - workPerMs(caller.admitted, nowMs);
    return 1 - others / state.pool.total.capacity;
}

Backlog backlogFor(SchedulerState &state, const ScheduledJob &job, Common::Moment now)
{
    const CallerQueue &caller = state.queue.callers[job.caller];
    const TeamQueue &team = state.queue.teams[job.team];
    Backlog backlog;
    backlog.queuedTasks = state.queuedTasks;
    backlog.queuedWorkMs = workMs(state.queuedWork, state.estimates);
    backlog.callerTasks = caller.queuedTasks;
    backlog.callerWorkMs = workMs(caller.queuedWork, state.estimates);
    backlog.teamWorkMs = workMs(team.queuedWork, state.estimates);
    backlog.capacity = totalCapacity(state.pool, job.requirement, now.steadyMs).capacity;
    backlog.freeSlots = freeSlots(state.pool, job.requirement, job.demand.taskCount);
    backlog.teamQuota = team.quota;
    backlog.fairShare = fairShare(state.queue, job.caller);
    backlog.unusedByOthers = unusedByOthers(state, caller, now.steadyMs);
    if (state.queue.order == QueueOrder::Arrival) {
        backlog.callerWorkMs = backlog.queuedWorkMs;
        backlog.fairShare = 1;
    }
    return backlog;
}

/// The quantile of the run time that all of \a tasks stay under in half of the cases, at most 0.95.
double slowestQuantile(int tasks)
{
    constexpr double MaxQuantile = 0.95;
    return std::min(std::pow(0.5, 1.0 / std::max(tasks, 1)), MaxQuantile);
}

AdmissionQuery queryFor(SchedulerState &state, const ScheduledJob &job, Common::Moment now)
{
    const SpeedStep total = totalCapacity(state.pool, job.requirement, now.steadyMs);
    const double factor = total.capacity > 0 ? total.slots / total.capacity : 1;
    const double runMs = admissionRunMs(state.estimates, job.profile);
    AdmissionQuery query;
    query.tasks = job.demand.taskCount;
    query.workMs = runMs * job.demand.taskCount;
    query.slowestRunMs = isGuess(state.estimates, job.profile)
                                 ? runMs
                                 : factor
                                           * runQuantileMs(state.estimates, job.profile,
                                                           slowestQuantile(job.demand.taskCount));
    query.timeLeftMs = job.demand.deadlineMs - now.wallMs;
    query.jitterSeed = Common::hash64(job.demand.id);
    return query;
}

std::int64_t drainTimeMs(const SchedulerState &state)
{
    const double capacity = std::max(state.pool.total.capacity, 1.0);
    const double drain = workMs(state.queuedWork, state.estimates) / capacity;
    return std::clamp(static_cast<std::int64_t>(drain), MinRetryAfterMs, MaxRetryAfterMs);
}

void expireLate(SchedulerState &state, Common::Moment now, std::vector<ExpiredJob> &expired)
{
    while (!state.byLastStart.empty() && state.byLastStart.begin()->first <= now.wallMs) {
        const JobNumber number = state.byLastStart.begin()->second;
        state.byLastStart.erase(state.byLastStart.begin());
        const ScheduledJob &job = state.jobs.at(number);
        if (job.started > 0) {
            continue;
        }
        const bool passed = now.wallMs >= job.demand.deadlineMs;
        const Refusal refusal =
                passed ? Refusal{Schema::Reason::DeadlinePassed,
                                 "the deadline passed before a slot was free", drainTimeMs(state)}
                       : Refusal{Schema::Reason::DeadlineUnreachable,
                                 "too little time is left to run", drainTimeMs(state)};
        expired.push_back({job.demand.id, refusal});
        removeJob(state, number);
    }
}

bool isNeverRunnable(const SchedulerState &state, const ScheduledJob &job, std::int64_t nowMs)
{
    const Requirement &requirement = state.pool.requirements[job.requirement];
    const std::int64_t sinceMs = std::max(requirement.ineligibleSinceMs, job.admittedMs);
    return job.started == 0 && requirement.eligibleCount == 0
           && nowMs - sinceMs >= state.limits.neverRunnableGraceMs;
}

bool anyWithoutEligibleBackend(const BackendPool &pool)
{
    return std::any_of(pool.requirements.begin(), pool.requirements.end(),
                       [](const Requirement &requirement) {
                           return requirement.users > 0 && requirement.eligibleCount == 0;
                       });
}

void expireNeverRunnable(SchedulerState &state, Common::Moment now,
                         std::vector<ExpiredJob> &expired)
{
    const bool due = now.steadyMs - state.neverRunnableCheckedMs >= NeverRunnablePeriodMs;
    if (!due || !anyWithoutEligibleBackend(state.pool)) {
        return;
    }
    state.neverRunnableCheckedMs = now.steadyMs;
    std::vector<JobNumber> numbers;
    for (const auto &entry : state.jobs) {
        if (isNeverRunnable(state, entry.second, now.steadyMs)) {
            numbers.push_back(entry.first);
        }
    }
    std::sort(numbers.begin(), numbers.end());
    for (const JobNumber number : numbers) {
        const Refusal refusal{Schema::Reason::NeverRunnable,
                              "no backend server is able to run the job's tasks", 0};
        expired.push_back({state.jobs.at(number).demand.id, refusal});
        removeJob(state, number);
    }
}

} // namespace

void configureScheduler(SchedulerState &state, const Schema::Configuration &configuration,
                        Common::Moment now)
{
    state.services.clear();
    for (const Schema::Service &service : configuration.services) {
        state.services[service.name] = {service.resources.value_or(Schema::Resources()),
                                        service.expectedRunMs.value_or(0)};
    }
    state.teams.clear();
    for (const Schema::Team &team : configuration.teams) {
        state.teams[team.name] = team;
    }
    applyTeams(state);
    applyPolicy(state, configuration.policy);
    setDrains(state.pool, configuration, now.steadyMs);
}

void setGatewayCount(SchedulerState &state, int gateways)
{
    state.gateways = std::max(gateways, 1);
    applyTeams(state);
}

std::optional<Refusal> admitJob(SchedulerState &state, const JobDemand &demand, Common::Moment now)
{
    Common::invariant(findJob(state, demand.id) == nullptr, "a job is admitted once", demand.id);
    if (auto unknown = refuseUnknown(state, demand)) {
        return unknown;
    }
    ScheduledJob job = createJob(state, demand, now);
    const AdmissionQuery query = queryFor(state, job, now);
    if (auto refused = decideAdmission(state.limits, backlogFor(state, job, now), query)) {
        discardJob(state, job);
        return refused;
    }
    addWork(state.admitted, query.workMs, now.steadyMs);
    addWork(state.queue.callers[job.caller].admitted, query.workMs, now.steadyMs);
    std::vector<int> tasks(static_cast<std::size_t>(demand.taskCount));
    std::iota(tasks.begin(), tasks.end(), 0);
    addScheduledJob(state, std::move(job), std::move(tasks));
    return std::nullopt;
}

void restoreJob(SchedulerState &state, const JobDemand &demand, const std::vector<int> &queued,
                Common::Moment now)
{
    Common::invariant(findJob(state, demand.id) == nullptr, "a job is restored once", demand.id);
    ScheduledJob job = createJob(state, demand, now);
    job.started = demand.taskCount - static_cast<std::int64_t>(queued.size());
    addScheduledJob(state, std::move(job), queued);
}

void setJobRunnable(SchedulerState &state, const std::string &id, Common::Moment /*now*/)
{
    if (ScheduledJob *job = findJob(state, id)) {
        makeJobRunnable(state, *job);
    }
}

void dropJob(SchedulerState &state, const std::string &id)
{
    if (const ScheduledJob *job = findJob(state, id)) {
        removeJob(state, job->number);
    }
}

std::vector<ExpiredJob> expiredJobs(SchedulerState &state, Common::Moment now)
{
    std::vector<ExpiredJob> expired;
    expireLate(state, now, expired);
    expireNeverRunnable(state, now, expired);
    return expired;
}

std::int64_t totalDemand(const SchedulerState &state)
{
    return state.runnableTasks;
}

std::int64_t nextWakeMs(const SchedulerState &state, Common::Moment now)
{
    std::int64_t wakeMs = now.steadyMs + IdleWakeMs;
    if (state.queuedTasks > 0) {
        wakeMs = now.steadyMs + BusyWakeMs;
    }
    if (state.startBatchMs > 0 && state.runnableTasks > 0) {
        const std::int64_t roundMs = state.lastRoundMs + state.startBatchMs;
        wakeMs = roundMs > now.steadyMs ? std::min(wakeMs, roundMs) : wakeMs;
    }
    if (!state.delayed.empty()) {
        wakeMs = std::min(wakeMs, state.delayed.begin()->first);
    }
    if (!state.byLastStart.empty()) {
        wakeMs = std::min(wakeMs, now.steadyMs + state.byLastStart.begin()->first - now.wallMs);
    }
    return std::max(wakeMs, now.steadyMs + 1);
}

} // namespace Dispatch
