#include "Transient/Orphans.h"

#include <algorithm>

#include "Transient/JobsInternal.h"

namespace Transient {

namespace {

/// Agents report jobs in sorted order.
bool contains(const std::vector<std::string> &jobs, const std::string &id)
{
    return std::binary_search(jobs.begin(), jobs.end(), id);
}

bool isHeldBy(const AgentView &agent, const std::string &id)
{
    return contains(agent.orphans.held, id) || contains(agent.orphans.unanswered, id);
}

/// For a former agent: held jobs end when their leases have lapsed, while unanswered starts may
/// take effect until the former agent is removed.
bool isHeldBy(const FormerAgent &former, const std::string &id, Common::Moment now)
{
    return contains(former.orphans.unanswered, id)
           || (now.steadyMs < former.settledAtMs && contains(former.orphans.held, id));
}

bool isRelayed(const GatewayState &state, const std::string &id, Common::Moment now)
{
    return std::any_of(state.relayedOrphans.begin(), state.relayedOrphans.end(),
                       [&](const auto &entry) {
                           const auto found = entry.second.find(id);
                           return found != entry.second.end() && now.steadyMs < found->second;
                       });
}

/// Collects for each job the longest time for which an agent may still have tasks of it.
class RelayList
{
public:
    explicit RelayList(Common::Moment now)
        : now(now)
    {}

    void add(const std::vector<std::string> &jobs, std::int64_t untilMs)
    {
        for (const std::string &job : jobs) {
            std::int64_t &forMs = this->times[job];
            forMs = std::max(forMs, untilMs - this->now.steadyMs);
        }
    }

    std::vector<Schema::OrphanedJob> list() const
    {
        std::vector<Schema::OrphanedJob> orphans;
        for (const auto &[job, forMs] : this->times) {
            if (forMs > 0) {
                orphans.push_back({forMs, job});
            }
        }
        return orphans;
    }

private:
    Common::Moment now;
    std::map<std::string, std::int64_t> times;
};

} // namespace

std::vector<Schema::OrphanedJob> orphansToRelay(const GatewayState &state, Common::Moment now)
{
    RelayList list(now);
    for (const auto &[name, agent] : state.fleet.agents) {
        list.add(agent.orphans.held, agent.loadAtMs + state.times.settleMs);
        list.add(agent.orphans.unanswered, agent.loadAtMs + state.times.lateStartMs);
    }
    for (const FormerAgent &former : state.fleet.formerAgents) {
        list.add(former.orphans.held, former.settledAtMs);
        list.add(former.orphans.unanswered, former.lateStartsOverMs);
    }
    return list.list();
}

void updateRelayedOrphans(GatewayState &state, const std::string &gateway,
                          const std::vector<Schema::OrphanedJob> &orphans, Common::Moment now)
{
    if (orphans.empty()) {
        state.relayedOrphans.erase(gateway);
        return;
    }
    std::map<std::string, std::int64_t> &held = state.relayedOrphans[gateway];
    held.clear();
    for (const Schema::OrphanedJob &orphan : orphans) {
        held[orphan.job] = now.steadyMs + orphan.forMs;
    }
}

bool isOrphaned(const GatewayState &state, const std::string &id, Common::Moment now)
{
    const Fleet &fleet = state.fleet;
    return isRelayed(state, id, now)
           || std::any_of(fleet.agents.begin(), fleet.agents.end(),
                          [&](const auto &entry) { return isHeldBy(entry.second, id); })
           || std::any_of(fleet.formerAgents.begin(), fleet.formerAgents.end(),
                          [&](const FormerAgent &former) { return isHeldBy(former, id, now); });
}

Effects admitReleased(GatewayState &state, Common::Moment now, Common::Random &random)
{
    std::vector<std::string> released;
    for (const auto &[id, waiting] : state.parked) {
        if (state.jobs.count(id) == 0 && !isOrphaned(state, id, now)) {
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
