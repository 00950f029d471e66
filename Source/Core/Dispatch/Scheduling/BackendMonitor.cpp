#include "Dispatch/Scheduling/BackendMonitor.h"

#include <algorithm>

namespace Dispatch {
namespace {

/// A failure within less than this fraction of the expected time is more likely the fault of the
/// backend server than of the task.
constexpr double FastFailureFraction = 0.25;
/// A task that has run this many times longer than the 95th percentile most likely hangs.
constexpr double OverdueFactor = 3;
constexpr double OverdueQuantile = 0.95;
constexpr std::int64_t StalledPeriodMs = 100;
constexpr std::int64_t NoSlotPauseMs = 20;
/// Doubled with each refusal in a row, up to 3.2 s. A lost backend server refuses one task, then
/// one after each pause.
constexpr std::int64_t FirstRefusalPauseMs = 50;
constexpr int MaxRefusalDoublings = 6;

/// Returns the number of backend servers that are neither lost nor draining, and how many of those
/// are ejected or on trial.
std::pair<std::size_t, std::size_t> countEjected(const BackendPool &pool)
{
    std::size_t known = 0;
    std::size_t ejected = 0;
    for (const BackendRecord &backend : pool.backends) {
        if (backend.instance.empty() || backend.lost || backend.draining) {
            continue;
        }
        known += 1;
        const HealthPhase phase = backend.health.phase;
        ejected += phase == HealthPhase::Ejected || phase == HealthPhase::Trial ? 1 : 0;
    }
    return {known, ejected};
}

std::size_t outOfServiceCount(const BackendPool &pool)
{
    const auto stalled =
            std::count_if(pool.backends.begin(), pool.backends.end(),
                          [](const BackendRecord &backend) { return backend.stalled; });
    return countEjected(pool).second + static_cast<std::size_t>(stalled);
}

bool mayTakeOutOfService(const BackendPool &pool)
{
    return outOfServiceCount(pool) < maxEjected(countEjected(pool).first);
}

bool isOverdue(const SchedulerState &state, const TaskInFlight &task, std::int64_t nowMs)
{
    const double factor = speedFactor(state.pool.backends[task.backend].speed);
    const double highMs = runQuantileMs(state.estimates, task.profile, OverdueQuantile) * factor;
    return static_cast<double>(nowMs - task.sinceMs) > OverdueFactor * highMs;
}

} // namespace

void checkStalled(SchedulerState &state, std::int64_t nowMs)
{
    if (!state.switches.ejection || nowMs - state.stalledCheckedMs < StalledPeriodMs) {
        return;
    }
    state.stalledCheckedMs = nowMs;
    std::vector<std::int64_t> overdue(state.pool.backends.size());
    for (const auto &entry : state.inFlight) {
        overdue[entry.second.backend] += isOverdue(state, entry.second, nowMs) ? 1 : 0;
    }
    for (BackendIndex index = 0; index < state.pool.backends.size(); ++index) {
        BackendRecord &backend = state.pool.backends[index];
        const bool stalled = overdue[index] * 2 > backend.inFlight;
        if (stalled != backend.stalled && (!stalled || mayTakeOutOfService(state.pool))) {
            backend.stalled = stalled;
            updateFreeLists(state.pool, index, nowMs);
        }
    }
}

void updateBackendHealth(SchedulerState &state, const TaskInFlight &task, bool succeeded,
                         double runMs, Common::Moment now)
{
    ServiceOutcomes &service = state.outcomes[task.service];
    recordServiceOutcome(service, task.backend, succeeded);
    if (!succeeded && isServiceFailing(service)) {
        return;
    }
    HealthRecord &health = state.pool.backends[task.backend].health;
    const bool fast = runMs < task.chargedMs * FastFailureFraction;
    const bool shouldEject = recordOutcome(health, {succeeded, fast});
    const bool mayEject =
            health.phase == HealthPhase::Trial || (shouldEject && mayTakeOutOfService(state.pool));
    if (shouldEject && mayEject && state.switches.ejection) {
        eject(health, now.steadyMs);
    }
    updateFreeLists(state.pool, task.backend, now.steadyMs);
}

void handleStartRefused(BackendPool &pool, BackendIndex index, Schema::Reason reason,
                        std::int64_t nowMs)
{
    BackendRecord &backend = pool.backends[index];
    switch (reason) {
    case Schema::Reason::NoSlot:
        // Messages crossed on the way, so that more was sent than the agent has slots for. Its next
        // message carries the current window.
        backend.window = std::min(backend.window, backend.inFlight);
        backend.pausedUntilMs = nowMs + NoSlotPauseMs;
        break;
    case Schema::Reason::AgentDraining:
        markBackendDraining(pool, index, nowMs);
        break;
    case Schema::Reason::NotAfterPassed:
    case Schema::Reason::Cancelled:
    case Schema::Reason::EpochFenced:
        // The cause lies with the task or the shard, not with the backend server. Pausing here
        // would idle whole sites after many jobs are cancelled at once.
        break;
    default:
        // Starts that were sent together are refused together and cause only one pause.
        if (nowMs < backend.pausedUntilMs) {
            break;
        }
        backend.consecutiveRefusals =
                std::min(backend.consecutiveRefusals + 1, MaxRefusalDoublings);
        backend.pausedUntilMs = nowMs + (FirstRefusalPauseMs << backend.consecutiveRefusals);
        break;
    }
    updateFreeLists(pool, index, nowMs);
}

} // namespace Dispatch
