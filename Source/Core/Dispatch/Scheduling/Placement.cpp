#include "Dispatch/Scheduling/Placement.h"

#include <algorithm>

#include "Dispatch/Scheduling/Capacity.h"

namespace Dispatch {
namespace {

/// Covers all backend servers of a small site. Of 860 backend servers, the best of a sample of this
/// size is among the fastest 6%. The cost per task does not grow with the site, and the gateways do
/// not all choose the same backend server.
constexpr std::size_t CandidateCount = 16;
/// How much slower a failure domain is rated per unit by which its part of the running tasks
/// exceeds an equal part. Tasks are spread over equally fast backend servers, so that the loss of a
/// failure domain affects its part of the running tasks and not most of them. A backend server that
/// is a third faster is still preferred.
constexpr double DomainSpreadWeight = 0.15;
/// Breaks ties between equals differently at each gateway.
constexpr double ScoreJitter = 0.02;
/// The wait for a faster slot is only an estimate, whereas a free slot is certain: waiting must
/// save more than this many times the wait.
constexpr double WaitSafetyFactor = 4;
/// Backend servers are worth waiting for only if their speed factor is below this part of the free
/// one's.
constexpr double NoticeablyFaster = 0.9;
constexpr double TrialPreferredFactor = 0.5;
constexpr double TrialAvoidedFactor = 2;

double uniform(Common::Random &random)
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

/// The trial of an ejected backend server may make a job fail. So an idempotent job, which can be
/// submitted again, is preferred for the trial, and other jobs are used only if little else is
/// free.
double trialFactor(const BackendRecord &backend, bool idempotent)
{
    if (backend.health.phase != HealthPhase::Trial) {
        return 1;
    }
    return idempotent ? TrialPreferredFactor : TrialAvoidedFactor;
}

double score(const BackendPool &pool, const BackendRecord &backend, bool idempotent,
             Common::Random &random)
{
    const double fairPart = 1 / static_cast<double>(pool.domains.size());
    const auto inDomain = static_cast<double>(pool.domains[backend.domain].inFlight);
    const double part =
            pool.inFlight == 0 ? fairPart : inDomain / static_cast<double>(pool.inFlight);
    return speedFactor(backend.speed) * trialFactor(backend, idempotent)
           * (1 + DomainSpreadWeight * (part - fairPart)) * (1 + ScoreJitter * uniform(random));
}

BackendIndex bestOfSample(const BackendPool &pool, const Requirement &requirement, bool idempotent,
                          Common::Random &random)
{
    const std::size_t count = std::min(requirement.free.size(), CandidateCount);
    const std::size_t first = random() % requirement.free.size();
    BackendIndex best = requirement.free[first];
    double bestScore = score(pool, pool.backends[best], idempotent, random);
    for (std::size_t offset = 1; offset < count; ++offset) {
        const BackendIndex index = requirement.free[(first + offset) % requirement.free.size()];
        const double candidate = score(pool, pool.backends[index], idempotent, random);
        if (candidate < bestScore) {
            best = index;
            bestScore = candidate;
        }
    }
    return best;
}

/// Whether a faster backend server will be free so soon that the task would end earlier there. The
/// estimate includes the tasks ahead in the queue, so that under overload every slot is used.
bool betterToWait(BackendPool &pool, const PlacementQuery &query, BackendIndex index,
                  std::int64_t nowMs)
{
    const double factor = speedFactor(pool.backends[index].speed);
    const std::vector<SpeedStep> &steps = speedSteps(pool, query.requirement, nowMs);
    const double bound = factor * NoticeablyFaster;
    const auto above =
            std::partition_point(steps.begin(), steps.end(),
                                 [bound](const SpeedStep &step) { return step.factor < bound; });
    if (above == steps.begin() || pool.inFlight == 0) {
        return false;
    }
    const SpeedStep &faster = *(above - 1);
    const double meanInFlightMs = pool.inFlightWorkMs / static_cast<double>(pool.inFlight);
    const double waitMs = query.tasksAhead * meanInFlightMs / faster.capacity;
    const double savedMs = query.runMs * (factor - faster.slots / faster.capacity);
    return waitMs * WaitSafetyFactor < savedMs;
}

double reportedLoad(const BackendRecord &backend)
{
    const auto slots = static_cast<double>(std::max<std::int64_t>(backend.server.slots, 1));
    return static_cast<double>(backend.reportedRunning) / slots;
}

BackendIndex leastLoaded(const BackendPool &pool, const std::vector<BackendIndex> &eligible)
{
    return *std::min_element(
            eligible.begin(), eligible.end(), [&pool](BackendIndex left, BackendIndex right) {
                return reportedLoad(pool.backends[left]) < reportedLoad(pool.backends[right]);
            });
}

} // namespace

Placement placeTask(BackendPool &pool, const PlacementQuery &query, std::int64_t nowMs,
                    Common::Random &random)
{
    const Requirement &requirement = pool.requirements[query.requirement];
    if (requirement.free.empty()) {
        return {PlacementKind::Full, 0};
    }
    const BackendIndex best = bestOfSample(pool, requirement, query.idempotent, random);
    const bool wait = betterToWait(pool, query, best, nowMs);
    return {wait ? PlacementKind::Wait : PlacementKind::Found, best};
}

bool bindsEarly(Schema::PlacementPolicy policy)
{
    return policy != Schema::PlacementPolicy::WeightedWindow;
}

std::optional<BackendIndex> bindTask(const BackendPool &pool, Schema::PlacementPolicy policy,
                                     RequirementId requirement, std::int64_t nowMs,
                                     Common::Random &random)
{
    std::vector<BackendIndex> eligible;
    for (BackendIndex index = 0; index < pool.backends.size(); ++index) {
        const BackendRecord &backend = pool.backends[index];
        const bool isEligible = requirement < backend.freePosition.size()
                                && backend.freePosition[requirement] != NotEligible;
        if (isEligible && !isUnavailable(pool, backend, nowMs) && concurrencyLimit(backend) > 0) {
            eligible.push_back(index);
        }
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    if (policy == Schema::PlacementPolicy::LeastLoaded) {
        return leastLoaded(pool, eligible);
    }
    const BackendIndex first = eligible[random() % eligible.size()];
    if (policy != Schema::PlacementPolicy::TwoChoices) {
        return first;
    }
    const BackendIndex second = eligible[random() % eligible.size()];
    const bool secondLessLoaded =
            reportedLoad(pool.backends[second]) < reportedLoad(pool.backends[first]);
    return secondLessLoaded ? second : first;
}

} // namespace Dispatch
