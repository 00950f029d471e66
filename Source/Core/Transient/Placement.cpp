#include "Transient/Placement.h"

#include <algorithm>
#include <limits>
#include <random>

namespace Transient {

namespace {

/// Factor by which a task takes longer away from the rack that holds its data; specified by the
/// platform.
constexpr double RemoteDataFactor = 1.5;
/// Costs that differ by no more than this count as equal, and the choice among them is random:
/// otherwise several gateways would all choose the same backend server between two reports of its
/// load.
constexpr double TieToleranceMs = 4;
/// Share of the expected run time by which a backend server may be slower than the best one and
/// still be chosen where many gateways choose by the same reports.
constexpr double SpreadShare = 0.3;
/// A waiting task delays all tasks that come after it, and its wait is less certain than its run
/// time.
constexpr double WaitWeight = 3;
/// A heartbeat and its way. An agent whose report is older is away: its tasks may not go on.
constexpr std::int64_t LongestReportAgeMs = 300;

bool hasLabel(const AgentView &agent, const std::string &label)
{
    const std::vector<std::string> &labels = agent.announced.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool isEligible(const AgentView &agent, const StepRequest &step)
{
    return Dispatch::fits(agent.announced.resources, {}, step.resources)
           && hasLabel(agent, step.requiredLabel);
}

bool isBelowTaskLimit(const AgentView &agent, const PlacementQuery &query)
{
    if (query.step->maxTasksPerBackend == 0 || query.tasksByAgent == nullptr) {
        return true;
    }
    const auto found = query.tasksByAgent->find(agent.announced.name);
    return found == query.tasksByAgent->end() || found->second < query.step->maxTasksPerBackend;
}

bool isAvoided(const AgentView &agent, const PlacementQuery &query)
{
    return query.avoided != nullptr
           && std::find(query.avoided->begin(), query.avoided->end(), agent.announced.name)
                      != query.avoided->end();
}

struct Candidate
{
    /// Key in Fleet::agents.
    const std::string *agent = nullptr;
    /// Without the agent's name, which is copied for the chosen candidate only.
    Placement placement;
    double costMs = 0;
    double freeProcessors = 0;
};

Candidate makeCandidate(const Fleet &fleet, const PlacementQuery &query, const std::string &name,
                        const AgentView &agent, std::int64_t nowMs)
{
    const double processors = query.step->resources.processors;
    const double remote = hasLabel(agent, query.step->dataRack) ? 1 : RemoteDataFactor;
    Candidate candidate;
    candidate.agent = &name;
    Placement &placement = candidate.placement;
    placement.waitMs = fleet.decisions.usesForecasts
                               ? expectedWaitMs(agent, processors, query.priority, nowMs)
                               : meanWaitMs(agent, processors);
    placement.runMs = query.runMs * Dispatch::speedFactor(agent.speed) * remote;
    placement.expectedMs = placement.runMs;
    if (fleet.decisions.usesPaces) {
        placement.runMs *= std::max(agent.load.slowdown, 1.0);
    }
    const double weight = fleet.decisions.weighsWaits ? WaitWeight : 1;
    candidate.costMs = placement.waitMs * weight + placement.runMs;
    candidate.freeProcessors = freeProcessors(agent);
    return candidate;
}

std::vector<Candidate> findCandidates(const Fleet &fleet, const PlacementQuery &query,
                                      bool allowsAvoided, std::int64_t nowMs)
{
    std::vector<Candidate> candidates;
    for (const auto &[name, agent] : fleet.agents) {
        if (acceptsTasks(agent, query.service, nowMs) && isEligible(agent, *query.step)
            && isBelowTaskLimit(agent, query) && (allowsAvoided || !isAvoided(agent, query))) {
            candidates.push_back(makeCandidate(fleet, query, name, agent, nowMs));
        }
    }
    return candidates;
}

/// Returns the candidate of least cost, one of them at random where several cost about as much.
const Candidate *chooseCheapest(const Fleet &fleet, const std::vector<Candidate> &candidates,
                                Common::Random &random)
{
    const Candidate *best = nullptr;
    double leastCostMs = std::numeric_limits<double>::max();
    std::uint64_t ties = 0;
    for (const Candidate &candidate : candidates) {
        if (candidate.costMs < leastCostMs - TieToleranceMs) {
            best = &candidate;
            leastCostMs = candidate.costMs;
            ties = 1;
        } else if (candidate.costMs <= leastCostMs + TieToleranceMs && fleet.decisions.breaksTies) {
            ++ties;
            if (std::uniform_int_distribution<std::uint64_t>(1, ties)(random) == 1) {
                best = &candidate;
                leastCostMs = std::min(leastCostMs, candidate.costMs);
            }
        }
    }
    return best;
}

/// Returns one of the candidates that have room and cost little more than \a cheapest, at random by
/// their free processors; \a cheapest if there is none.
const Candidate *spread(const std::vector<Candidate> &candidates, const Candidate &cheapest,
                        double runMs, Common::Random &random)
{
    const double limitMs = cheapest.costMs + std::max(runMs * SpreadShare, TieToleranceMs);
    const Candidate *chosen = &cheapest;
    double weights = 0;
    for (const Candidate &candidate : candidates) {
        if (candidate.placement.waitMs > 0 || candidate.costMs > limitMs
            || candidate.freeProcessors <= 0) {
            continue;
        }
        weights += candidate.freeProcessors;
        if (std::uniform_real_distribution<double>(0, weights)(random) < candidate.freeProcessors) {
            chosen = &candidate;
        }
    }
    return chosen;
}

std::optional<Placement> placeAmong(const Fleet &fleet, const PlacementQuery &query,
                                    bool allowsAvoided, std::int64_t nowMs, Common::Random &random)
{
    const std::vector<Candidate> candidates = findCandidates(fleet, query, allowsAvoided, nowMs);
    const Candidate *chosen = chooseCheapest(fleet, candidates, random);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    if (query.spreads) {
        chosen = spread(candidates, *chosen, query.runMs, random);
    }
    Placement placement = chosen->placement;
    placement.agent = *chosen->agent;
    placement.hasAlternative =
            std::any_of(candidates.begin(), candidates.end(), [chosen](const Candidate &other) {
                return &other != chosen && other.placement.waitMs <= 0;
            });
    return placement;
}

} // namespace

double meanWaitMs(const AgentView &agent, double processors)
{
    const double missing = processors - freeProcessors(agent);
    if (missing <= 0) {
        return 0;
    }
    // Tasks end one after another: within the mean remaining time of a task, all tasks of the
    // backend server free their processors once.
    return missing / agent.announced.resources.processors * std::max(agent.load.meanLeftMs, 1.0);
}

double expectedWaitMs(const AgentView &agent, double processors, std::int64_t priority,
                      std::int64_t nowMs)
{
    const bool isUrgent = hasUrgentPriority(agent, priority);
    const double capacity = agent.announced.resources.processors;
    const double reportedRoom = capacity - agent.load.committedProcessors - processors;
    const double addedProcessors =
            agent.tentativeProcessors
            + (isUrgent ? agent.unreportedUrgentProcessors : agent.unreportedProcessors);
    const auto ageMs = static_cast<double>(std::min(nowMs - agent.loadAtMs, LongestReportAgeMs));
    // Not reduced by its age: other gateways keep the queue filled.
    const double reportedWaitMs = isUrgent ? agent.load.urgentWaitMs : agent.load.waitMs;
    const double excessProcessors = std::max(addedProcessors - std::max(reportedRoom, 0.0), 0.0);
    // Tasks placed since the report come before this one. Within the mean remaining time of a
    // task, all tasks of the backend server free their processors once.
    const double addedWaitMs =
            excessProcessors / capacity * std::max(agent.load.meanLeftMs - ageMs, 1.0);
    return (reportedRoom >= 0 ? 0 : reportedWaitMs) + addedWaitMs;
}

std::optional<Placement> placeTask(Fleet &fleet, const PlacementQuery &query, std::int64_t nowMs,
                                   Common::Random &random)
{
    const auto placement = placeAmong(fleet, query, !fleet.decisions.avoidsAgents, nowMs, random);
    return placement ? placement : placeAmong(fleet, query, true, nowMs, random);
}

bool hasEligibleBackend(const Fleet &fleet, const std::string &service, const StepRequest &step)
{
    return std::any_of(fleet.agents.begin(), fleet.agents.end(), [&](const auto &entry) {
        const AgentView &agent = entry.second;
        const bool mayTakeIt = !agent.isConnected || agent.announced.accepting;
        return mayTakeIt && !agent.isEvacuated && agent.announced.service == service
               && isEligible(agent, step);
    });
}

std::string evacuatedDomainFor(const Fleet &fleet, const std::string &service,
                               const StepRequest &step)
{
    std::string latest;
    std::int64_t latestVersion = 0;
    for (const auto &[name, agent] : fleet.agents) {
        const std::string &failureDomain = agent.announced.failureDomain;
        if (!agent.isEvacuated || agent.announced.service != service || !isEligible(agent, step)) {
            continue;
        }
        const std::int64_t version = fleet.evacuations.domains.at(failureDomain).version;
        if (version > latestVersion) {
            latest = failureDomain;
            latestVersion = version;
        }
    }
    return latest;
}

} // namespace Transient
