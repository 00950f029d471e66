#include "Transient/Orphans.h"

#include <algorithm>

#include "Transient/JobsInternal.h"

namespace Transient {

namespace {

bool isHeldBy(const AgentView &agent, const std::string &id)
{
    return hasJob(agent.orphans.held, id) || hasJob(agent.orphans.unanswered, id);
}

/// For a former agent: held jobs end when their leases have lapsed, while unanswered starts may
/// take effect until the former agent is removed.
bool isHeldBy(const FormerAgent &former, const std::string &id, Common::Moment now)
{
    return hasJob(former.orphans.unanswered, id)
           || (now.steadyMs < former.settledAtMs && hasJob(former.orphans.held, id));
}

} // namespace

std::int64_t lateJobAtMs(const JobRecord &job)
{
    return job.arrivedMs + (job.deadlineMs - job.arrivedMs) / 2;
}

void listLateJobs(GatewayState &state, Common::Moment now)
{
    // Under overload jobs become late all the time. Each list passes through all gateways at once.
    if (now.steadyMs < state.lateJobsListedMs + OrphansRefreshMs) {
        return;
    }
    std::vector<std::string> late;
    for (const auto &[id, job] : state.jobs) {
        if (now.steadyMs >= lateJobAtMs(job)) {
            late.push_back(id);
        }
    }
    std::sort(late.begin(), late.end());
    Schema::OrphanedJobs &listed = state.lateJobs;
    if (late.empty() && listed.held.empty()) {
        return;
    }
    listed.held = std::move(late);
    listed.change = listed.change.value_or(0) + 1;
    state.lateJobsListedMs = now.steadyMs;
    updateList(state.orphanRelay, state.orphanRelay.self, listed, now.steadyMs);
}

bool isOrphaned(const GatewayState &state, const std::string &id, Common::Moment now)
{
    const Fleet &fleet = state.fleet;
    const OrphanTimes times{state.times.settleMs, state.times.lateStartMs};
    return isRelayed(state.orphanRelay, times, id, now)
           || std::any_of(fleet.agents.begin(), fleet.agents.end(),
                          [&](const auto &entry) { return isHeldBy(entry.second, id); })
           || std::any_of(fleet.formerAgents.begin(), fleet.formerAgents.end(),
                          [&](const FormerAgent &former) { return isHeldBy(former, id, now); });
}

Effects admitReleased(GatewayState &state, Common::Moment now, Common::Random &random)
{
    std::vector<std::string> released;
    for (const auto &[id, waiting] : state.parked) {
        if (state.jobs.count(id) == 0 && state.forwarding.out.count(id) == 0
            && !isOrphaned(state, id, now)) {
            released.push_back(id);
        }
    }
    std::sort(released.begin(), released.end());
    Effects effects;
    for (const std::string &id : released) {
        append(effects, admitParked(state, id, now, random));
    }
    return effects;
}

} // namespace Transient
