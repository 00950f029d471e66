#include "Dispatch/Scheduling/Health.h"

#include <algorithm>
#include <limits>

namespace Dispatch {
namespace {

constexpr std::size_t BackendsPerEjection = 3;
/// Fast failures in a row. A backend server where one task in twenty fails through no fault of its
/// own reaches three once in 8,000 tasks.
constexpr int MaxFastFailures = 3;
/// Failures in a row of any duration; the same backend server reaches five once in 3 million tasks.
constexpr int MaxFailures = 5;
/// Detects a backend server that fails most tasks but not all.
constexpr double MaxFailureRate = 0.5;
constexpr std::int64_t MinRateOutcomes = 12;
constexpr double FailureRateSmoothingSamples = 12;
/// A restart takes seconds. Each failed trial costs a caller a job, so trials soon become rare.
constexpr std::int64_t FirstEjectionMs = 2000;
constexpr std::int64_t MaxEjectionMs = 60000;
constexpr int MaxDoublings = 5;
constexpr std::int64_t InitialSlowStartLimit = 2;
constexpr std::int64_t FinalSlowStartLimit = 64;
constexpr std::size_t MaxOutcomesKept = 64;

void succeeded(HealthRecord &record)
{
    record.consecutiveFailures = 0;
    record.consecutiveFastFailures = 0;
    if (record.phase == HealthPhase::Trial) {
        beginSlowStart(record);
        return;
    }
    if (record.phase != HealthPhase::SlowStart) {
        return;
    }
    // One more for each success doubles the limit each time all tasks in flight have succeeded.
    record.slowStartLimit += 1;
    if (record.slowStartLimit >= FinalSlowStartLimit) {
        record.phase = HealthPhase::Healthy;
        record.ejections = 0;
    }
}

} // namespace

std::size_t maxEjected(std::size_t backendCount)
{
    if (backendCount < 2) {
        return 0;
    }
    return std::max<std::size_t>(1, backendCount / BackendsPerEjection);
}

void recordServiceOutcome(ServiceOutcomes &service, std::uint32_t backend, bool succeeded)
{
    const auto found = service.lastSucceeded.find(backend);
    if (found != service.lastSucceeded.end()) {
        service.failing -= found->second ? 0 : 1;
        found->second = succeeded;
        service.failing += succeeded ? 0 : 1;
        return;
    }
    // In a large fleet, the first backend servers are a sufficient sample.
    if (service.lastSucceeded.size() >= MaxOutcomesKept) {
        return;
    }
    service.lastSucceeded.emplace(backend, succeeded);
    service.failing += succeeded ? 0 : 1;
}

bool isServiceFailing(const ServiceOutcomes &service)
{
    return service.failing * 2 > service.lastSucceeded.size();
}

bool recordOutcome(HealthRecord &record, const TaskOutcome &outcome)
{
    record.outcomes += 1;
    const double share =
            1 / std::min(static_cast<double>(record.outcomes), FailureRateSmoothingSamples);
    record.failureRate += share * ((outcome.succeeded ? 0 : 1) - record.failureRate);
    if (outcome.succeeded) {
        succeeded(record);
        return false;
    }
    record.consecutiveFailures += 1;
    record.consecutiveFastFailures = outcome.fast ? record.consecutiveFastFailures + 1 : 0;
    if (record.phase == HealthPhase::Ejected) {
        return false;
    }
    return record.phase == HealthPhase::Trial || record.consecutiveFastFailures >= MaxFastFailures
           || record.consecutiveFailures >= MaxFailures
           || (record.outcomes >= MinRateOutcomes && record.failureRate > MaxFailureRate);
}

void eject(HealthRecord &record, std::int64_t nowMs)
{
    const int doublings = std::min(record.ejections, MaxDoublings);
    record.phase = HealthPhase::Ejected;
    record.ejectedUntilMs = nowMs + std::min(FirstEjectionMs << doublings, MaxEjectionMs);
    record.ejections += 1;
    record.outcomes = 0;
    record.failureRate = 0;
    record.consecutiveFailures = 0;
    record.consecutiveFastFailures = 0;
}

void beginSlowStart(HealthRecord &record)
{
    record.phase = HealthPhase::SlowStart;
    record.slowStartLimit = InitialSlowStartLimit;
}

bool startTrialIfDue(HealthRecord &record, std::int64_t nowMs)
{
    if (record.phase != HealthPhase::Ejected || nowMs < record.ejectedUntilMs) {
        return false;
    }
    record.phase = HealthPhase::Trial;
    return true;
}

std::int64_t healthLimit(const HealthRecord &record, std::int64_t window)
{
    switch (record.phase) {
    case HealthPhase::Ejected:
        return 0;
    case HealthPhase::Trial:
        return std::min<std::int64_t>(window, 1);
    case HealthPhase::SlowStart:
        return std::min(window, record.slowStartLimit);
    case HealthPhase::Healthy:
        return window;
    }
    return window;
}

} // namespace Dispatch
