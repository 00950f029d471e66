#include "Dispatch/Scheduling/BackendPool.h"

#include <algorithm>

#include "Dispatch/Configuration/ConfigRules.h"

namespace Dispatch {
namespace {

constexpr std::int64_t SweepPeriodMs = 25;
constexpr std::int64_t MaxSlownessDecayStepMs = 1000;
/// More than the number of services of a site. Each requirement takes an entry in every backend
/// record.
constexpr std::size_t MaxIdleRequirements = 64;

bool runsService(const Schema::BackendServer &server, const std::string &service)
{
    return server.services.empty()
           || std::find(server.services.begin(), server.services.end(), service)
                      != server.services.end();
}

std::string keyOf(const std::string &service, const Schema::Resources &resources)
{
    return service + '\n' + std::to_string(resources.processors) + '\n'
           + std::to_string(resources.memoryMb) + '\n' + std::to_string(resources.accelerators);
}

void insertFree(BackendPool &pool, BackendIndex index, RequirementId id)
{
    Requirement &requirement = pool.requirements[id];
    pool.backends[index].freePosition[id] = static_cast<std::int32_t>(requirement.free.size());
    requirement.free.push_back(index);
}

void removeFree(BackendPool &pool, BackendIndex index, RequirementId id)
{
    Requirement &requirement = pool.requirements[id];
    const auto position = static_cast<std::size_t>(pool.backends[index].freePosition[id]);
    const BackendIndex last = requirement.free.back();
    requirement.free[position] = last;
    pool.backends[last].freePosition[id] = static_cast<std::int32_t>(position);
    requirement.free.pop_back();
    pool.backends[index].freePosition[id] = NotFree;
}

void updateFreeList(BackendPool &pool, BackendIndex index, RequirementId id, bool unavailable)
{
    const BackendRecord &backend = pool.backends[index];
    const std::int32_t position = backend.freePosition[id];
    if (position == NotEligible) {
        return;
    }
    const bool free = !unavailable && hasRoomFor(backend, pool.requirements[id]);
    if (free && position == NotFree) {
        insertFree(pool, index, id);
    } else if (!free && position != NotFree) {
        removeFree(pool, index, id);
    }
}

/// Updates whether the backend server is eligible, after its description or its state (lost,
/// draining) has changed.
void updateEligibility(BackendPool &pool, BackendIndex index, RequirementId id, std::int64_t nowMs)
{
    BackendRecord &backend = pool.backends[index];
    Requirement &requirement = pool.requirements[id];
    const bool wasEligible = backend.freePosition[id] != NotEligible;
    const bool isNowEligible = isEligible(backend, requirement);
    if (wasEligible == isNowEligible) {
        return;
    }
    requirement.stepsStale = true;
    if (isNowEligible) {
        backend.freePosition[id] = NotFree;
        requirement.eligibleCount += 1;
        return;
    }
    if (backend.freePosition[id] != NotFree) {
        removeFree(pool, index, id);
    }
    backend.freePosition[id] = NotEligible;
    requirement.eligibleCount -= 1;
    if (requirement.eligibleCount == 0) {
        requirement.ineligibleSinceMs = nowMs;
    }
}

void updateEligibilities(BackendPool &pool, BackendIndex index, std::int64_t nowMs)
{
    pool.backends[index].freePosition.resize(pool.requirements.size(), NotEligible);
    for (RequirementId id = 0; id < pool.requirements.size(); ++id) {
        updateEligibility(pool, index, id, nowMs);
    }
    updateFreeLists(pool, index, nowMs);
}

std::uint32_t findOrAddDomain(BackendPool &pool, const std::string &name)
{
    const auto found =
            std::find_if(pool.domains.begin(), pool.domains.end(),
                         [&](const FailureDomainLoad &domain) { return domain.name == name; });
    if (found != pool.domains.end()) {
        return static_cast<std::uint32_t>(found - pool.domains.begin());
    }
    pool.domains.push_back({name, 0});
    return static_cast<std::uint32_t>(pool.domains.size() - 1);
}

bool isDrained(const BackendPool &pool, const Schema::BackendServer &server)
{
    const auto contains = [](const std::vector<std::string> &names, const std::string &name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    return contains(pool.drains, server.name)
           || contains(pool.evacuatedDomains, server.failureDomain);
}

/// Whether most known backend servers have already completed tasks. A new one then starts slowly,
/// because it is cold among warm ones. When most are new, as after the start of this gateway,
/// limiting all of them would only delay callers.
bool mostAreEstablished(const BackendPool &pool)
{
    std::size_t known = 0;
    std::size_t established = 0;
    for (const BackendRecord &backend : pool.backends) {
        if (!backend.instance.empty() && !backend.lost) {
            known += 1;
            established += backend.health.outcomes > 0 ? 1 : 0;
        }
    }
    return established * 2 > known;
}

BackendIndex addBackend(BackendPool &pool, const std::string &instance)
{
    auto index = static_cast<BackendIndex>(pool.backends.size());
    const bool startsSlowly = mostAreEstablished(pool);
    if (pool.unusedBackends.empty()) {
        pool.backends.emplace_back();
    } else {
        index = pool.unusedBackends.back();
        pool.unusedBackends.pop_back();
    }
    BackendRecord &backend = pool.backends[index];
    backend = BackendRecord();
    backend.instance = instance;
    if (startsSlowly) {
        beginSlowStart(backend.health);
    }
    pool.byInstance.emplace(instance, index);
    return index;
}

void removeBackend(BackendPool &pool, BackendIndex index)
{
    BackendRecord &backend = pool.backends[index];
    pool.byInstance.erase(backend.instance);
    backend.instance.clear();
    pool.unusedBackends.push_back(index);
}

void removeOldestIdle(BackendPool &pool)
{
    const RequirementId id = pool.idleRequirements.front();
    pool.idleRequirements.pop_front();
    Requirement &requirement = pool.requirements[id];
    requirement.idle = false;
    if (requirement.users > 0) {
        return;
    }
    for (BackendRecord &backend : pool.backends) {
        if (id < backend.freePosition.size()) {
            backend.freePosition[id] = NotEligible;
        }
    }
    pool.requirementsByKey.erase(requirement.key);
    requirement = Requirement();
    pool.unusedRequirements.push_back(id);
}

bool sameDescription(const Schema::BackendServer &left, const Schema::BackendServer &right)
{
    return left.name == right.name && left.failureDomain == right.failureDomain
           && left.services == right.services
           && left.resources.processors == right.resources.processors
           && left.resources.memoryMb == right.resources.memoryMb
           && left.resources.accelerators == right.resources.accelerators;
}

} // namespace

bool fits(const Schema::Resources &total, const Schema::Resources &used,
          const Schema::Resources &wanted)
{
    return used.processors + wanted.processors <= total.processors
           && used.memoryMb + wanted.memoryMb <= total.memoryMb
           && used.accelerators + wanted.accelerators <= total.accelerators;
}

bool isEligible(const BackendRecord &backend, const Requirement &requirement)
{
    // Idle requirements are evaluated too, because the next job uses them as they are.
    return !backend.instance.empty() && !backend.lost && !backend.draining
           && !backend.drainedByOperator && !requirement.key.empty()
           && runsService(backend.server, requirement.service)
           && fits(backend.server.resources, {}, requirement.resources);
}

bool isUnavailable(const BackendPool &pool, const BackendRecord &backend, std::int64_t nowMs)
{
    return backend.lost || backend.draining || backend.drainedByOperator || !backend.healthy
           || backend.stalled || nowMs - backend.lastReceivedMs > pool.silenceMs
           || nowMs < backend.pausedUntilMs;
}

std::int64_t concurrencyLimit(const BackendRecord &backend)
{
    const std::int64_t window = std::min(backend.window, backend.server.connections);
    return healthLimit(backend.health, window);
}

bool hasRoomFor(const BackendRecord &backend, const Requirement &requirement)
{
    return backend.inFlight < concurrencyLimit(backend)
           && fits(backend.server.resources, backend.used, requirement.resources);
}

RequirementId acquireRequirement(BackendPool &pool, const std::string &service,
                                 const Schema::Resources &resources, std::int64_t nowMs)
{
    const std::string key = keyOf(service, resources);
    const auto found = pool.requirementsByKey.find(key);
    if (found != pool.requirementsByKey.end()) {
        pool.requirements[found->second].users += 1;
        return found->second;
    }
    auto id = static_cast<RequirementId>(pool.requirements.size());
    if (pool.unusedRequirements.empty()) {
        pool.requirements.emplace_back();
    } else {
        id = pool.unusedRequirements.back();
        pool.unusedRequirements.pop_back();
    }
    Requirement &requirement = pool.requirements[id];
    requirement = Requirement();
    requirement.key = key;
    requirement.service = service;
    requirement.resources = resources;
    requirement.users = 1;
    requirement.ineligibleSinceMs = nowMs;
    pool.requirementsByKey.emplace(key, id);
    for (BackendIndex index = 0; index < pool.backends.size(); ++index) {
        pool.backends[index].freePosition.resize(pool.requirements.size(), NotEligible);
        updateEligibility(pool, index, id, nowMs);
        updateFreeList(pool, index, id, isUnavailable(pool, pool.backends[index], nowMs));
    }
    return id;
}

void releaseRequirement(BackendPool &pool, RequirementId id)
{
    Requirement &requirement = pool.requirements[id];
    requirement.users -= 1;
    if (requirement.users > 0 || requirement.idle) {
        return;
    }
    requirement.idle = true;
    pool.idleRequirements.push_back(id);
    if (pool.idleRequirements.size() > MaxIdleRequirements) {
        removeOldestIdle(pool);
    }
}

BackendIndex updateBackend(BackendPool &pool, const Schema::AgentHello &hello, std::int64_t nowMs)
{
    const auto found = pool.byInstance.find(hello.instance);
    const bool known = found != pool.byInstance.end();
    const BackendIndex index = known ? found->second : addBackend(pool, hello.instance);
    BackendRecord &backend = pool.backends[index];
    // Heartbeats after the first may omit the description.
    const bool described = !hello.backend.name.empty();
    const bool changed = !known || backend.lost || backend.draining != hello.draining
                         || (described && !sameDescription(backend.server, hello.backend));
    backend.lost = false;
    backend.draining = hello.draining;
    backend.healthy = hello.healthy;
    backend.window = hello.window;
    backend.reportedRunning = hello.running;
    backend.lastReceivedMs = nowMs;
    if (described) {
        if (backend.inFlight > 0 && backend.server.failureDomain != hello.backend.failureDomain) {
            pool.domains[backend.domain].inFlight -= backend.inFlight;
            pool.domains[findOrAddDomain(pool, hello.backend.failureDomain)].inFlight +=
                    backend.inFlight;
        }
        backend.server = hello.backend;
        backend.domain = findOrAddDomain(pool, hello.backend.failureDomain);
        backend.drainedByOperator = isDrained(pool, hello.backend);
    }
    if (changed) {
        updateEligibilities(pool, index, nowMs);
    } else {
        updateFreeLists(pool, index, nowMs);
    }
    return index;
}

void markBackendLost(BackendPool &pool, BackendIndex index, std::int64_t nowMs)
{
    pool.backends[index].lost = true;
    updateEligibilities(pool, index, nowMs);
    if (pool.backends[index].inFlight == 0) {
        removeBackend(pool, index);
    }
}

void setDrains(BackendPool &pool, const Schema::Configuration &configuration, std::int64_t nowMs)
{
    pool.drains.clear();
    for (const Schema::Drain &drain : configuration.drains) {
        pool.drains.push_back(drain.backend);
    }
    pool.evacuatedDomains.clear();
    for (const Schema::Evacuation &evacuation : evacuationsOf(configuration)) {
        pool.evacuatedDomains.push_back(evacuation.failureDomain);
    }
    for (BackendIndex index = 0; index < pool.backends.size(); ++index) {
        BackendRecord &backend = pool.backends[index];
        backend.drainedByOperator = isDrained(pool, backend.server);
        updateEligibilities(pool, index, nowMs);
    }
}

void updateFreeLists(BackendPool &pool, BackendIndex index, std::int64_t nowMs)
{
    const bool unavailable = isUnavailable(pool, pool.backends[index], nowMs);
    const std::size_t count = pool.backends[index].freePosition.size();
    for (RequirementId id = 0; id < count; ++id) {
        updateFreeList(pool, index, id, unavailable);
    }
}

void occupySlot(BackendPool &pool, BackendIndex index, const Requirement &requirement,
                double workMs, std::int64_t nowMs)
{
    BackendRecord &backend = pool.backends[index];
    backend.inFlight += 1;
    backend.used.processors += requirement.resources.processors;
    backend.used.memoryMb += requirement.resources.memoryMb;
    backend.used.accelerators += requirement.resources.accelerators;
    pool.domains[backend.domain].inFlight += 1;
    pool.inFlight += 1;
    pool.inFlightWorkMs += workMs;
    updateFreeLists(pool, index, nowMs);
}

void vacateSlot(BackendPool &pool, BackendIndex index, const Schema::Resources &resources,
                double workMs, std::int64_t nowMs)
{
    BackendRecord &backend = pool.backends[index];
    backend.inFlight -= 1;
    backend.used.processors -= resources.processors;
    backend.used.memoryMb -= resources.memoryMb;
    backend.used.accelerators -= resources.accelerators;
    pool.domains[backend.domain].inFlight -= 1;
    pool.inFlight -= 1;
    pool.inFlightWorkMs = pool.inFlight == 0 ? 0 : pool.inFlightWorkMs - workMs;
    if (backend.inFlight == 0) {
        // Resets the sums, in which rounding errors of fractions would accumulate.
        backend.used = Schema::Resources();
        backend.stalled = false;
    }
    if (backend.lost && backend.inFlight == 0) {
        removeBackend(pool, index);
        return;
    }
    updateFreeLists(pool, index, nowMs);
}

void markBackendDraining(BackendPool &pool, BackendIndex index, std::int64_t nowMs)
{
    pool.backends[index].draining = true;
    updateEligibilities(pool, index, nowMs);
}

void sweepBackends(BackendPool &pool, std::int64_t nowMs)
{
    if (nowMs - pool.sweptMs < SweepPeriodMs) {
        return;
    }
    const std::int64_t elapsedMs = std::min(nowMs - pool.sweptMs, MaxSlownessDecayStepMs);
    pool.sweptMs = nowMs;
    pool.total = {1, 0, 0};
    for (BackendIndex index = 0; index < pool.backends.size(); ++index) {
        BackendRecord &backend = pool.backends[index];
        if (backend.instance.empty()) {
            continue;
        }
        if (backend.inFlight == 0) {
            decaySlowness(backend.speed, elapsedMs);
        }
        startTrialIfDue(backend.health, nowMs);
        updateFreeLists(pool, index, nowMs);
        if (!isUnavailable(pool, backend, nowMs)) {
            const auto slots = static_cast<double>(concurrencyLimit(backend));
            pool.total.slots += slots;
            pool.total.capacity += slots / speedFactor(backend.speed);
        }
    }
}

} // namespace Dispatch
