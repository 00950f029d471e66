#include "Transient/Fleet.h"

#include <algorithm>

namespace Transient {

namespace {

/// A run that ends within this fraction of its expected time counts as fast: a backend server that
/// fails every run fails it at once.
constexpr double FastShare = 0.3;

/// Whether another backend server may be ejected. Those that are evacuated take no load off the
/// others, so neither they nor their ejections count.
bool mayEject(const Fleet &fleet)
{
    std::size_t ejected = 0;
    std::size_t counted = 0;
    for (const auto &[name, agent] : fleet.agents) {
        const bool isOut = agent.health.phase == Dispatch::HealthPhase::Ejected
                           || agent.health.phase == Dispatch::HealthPhase::Trial;
        counted += agent.isEvacuated ? 0 : 1;
        ejected += isOut && !agent.isEvacuated ? 1 : 0;
    }
    return ejected < Dispatch::maxEjected(counted);
}

} // namespace

AgentView *findAgent(Fleet &fleet, const std::string &instance)
{
    for (auto &[name, agent] : fleet.agents) {
        if (agent.announced.instance == instance) {
            return &agent;
        }
    }
    return nullptr;
}

bool acceptsTasks(const AgentView &agent, const std::string &service, std::int64_t nowMs)
{
    if (!agent.isConnected || !agent.announced.accepting || agent.isEvacuated
        || agent.announced.service != service || nowMs < agent.pausedUntilMs) {
        return false;
    }
    constexpr std::int64_t NoLimit = 1'000'000;
    return agent.inFlight + agent.tentativeTasks < Dispatch::healthLimit(agent.health, NoLimit);
}

double committedProcessors(const AgentView &agent)
{
    return agent.load.committedProcessors + agent.unreportedProcessors + agent.tentativeProcessors;
}

double freeProcessors(const AgentView &agent)
{
    return agent.announced.resources.processors - committedProcessors(agent);
}

void updateLoad(AgentView &agent, const Schema::AgentLoad &load, std::int64_t nowMs)
{
    agent.load = load;
    agent.loadAtMs = nowMs;
    while (!agent.unreported.empty() && agent.unreported.front().sequence <= load.lastOrder) {
        const UnreportedOrder &known = agent.unreported.front();
        agent.unreportedProcessors -= known.processors;
        agent.unreportedUrgentProcessors -= known.isUrgent ? known.processors : 0;
        agent.unreported.pop_front();
    }
    if (agent.unreported.empty()) {
        agent.unreportedProcessors = 0;
        agent.unreportedUrgentProcessors = 0;
    }
}

bool hasUrgentPriority(const AgentView &agent, std::int64_t priority)
{
    return priority <= agent.load.urgentPriority;
}

std::int64_t countOrder(AgentView &agent, double processors, std::int64_t priority,
                        std::int64_t tasks)
{
    const bool isUrgent = hasUrgentPriority(agent, priority);
    agent.unreported.push_back({++agent.lastSequence, processors, isUrgent});
    agent.unreportedProcessors += processors;
    agent.unreportedUrgentProcessors += isUrgent ? processors : 0;
    agent.inFlight += tasks;
    return agent.lastSequence;
}

bool recordRunOutcome(Fleet &fleet, AgentView &agent, Dispatch::ProfileId profile,
                      const RunOutcome &outcome, std::int64_t nowMs)
{
    if (outcome.succeeded && outcome.runMs > 0) {
        Dispatch::recordRunTime(fleet.estimates, profile, agent.speed,
                                static_cast<double>(outcome.runMs));
        if (!fleet.decisions.learnsSpeeds) {
            agent.speed = {};
        }
    }
    const bool isFast = static_cast<double>(outcome.runMs) < outcome.expectedMs * FastShare;
    const bool isBad = Dispatch::recordOutcome(agent.health, {outcome.succeeded, isFast});
    if (!isBad || !fleet.decisions.ejects || !mayEject(fleet)) {
        return false;
    }
    Dispatch::eject(agent.health, nowMs);
    return true;
}

void updateEvacuated(Fleet &fleet)
{
    const bool othersServe =
            std::any_of(fleet.agents.begin(), fleet.agents.end(), [](const auto &entry) {
                return entry.second.isConnected && !entry.second.isEvacuated;
            });
    for (auto &[name, agent] : fleet.agents) {
        const bool wasEvacuated = agent.isEvacuated;
        agent.isEvacuated = isEvacuated(fleet.evacuations, agent.announced.failureDomain);
        if (wasEvacuated && !agent.isEvacuated && othersServe
            && agent.health.phase == Dispatch::HealthPhase::Healthy) {
            Dispatch::beginSlowStart(agent.health);
        }
    }
}

void advanceFleet(Fleet &fleet, std::int64_t nowMs)
{
    for (auto &[name, agent] : fleet.agents) {
        Dispatch::startTrialIfDue(agent.health, nowMs);
    }
}

} // namespace Transient
