#include "Dispatch/Scheduling/Capacity.h"

#include <algorithm>

namespace Dispatch {
namespace {

constexpr std::int64_t StepsPeriodMs = 100;

} // namespace

const std::vector<SpeedStep> &speedSteps(BackendPool &pool, RequirementId id, std::int64_t nowMs)
{
    Requirement &requirement = pool.requirements[id];
    if (!requirement.stepsStale && nowMs - requirement.stepsAtMs < StepsPeriodMs) {
        return requirement.steps;
    }
    requirement.stepsStale = false;
    requirement.stepsAtMs = nowMs;
    requirement.steps.clear();
    for (const BackendRecord &backend : pool.backends) {
        const bool eligible =
                id < backend.freePosition.size() && backend.freePosition[id] != NotEligible;
        const auto slots = static_cast<double>(concurrencyLimit(backend));
        if (eligible && slots > 0 && !isUnavailable(pool, backend, nowMs)) {
            const double factor = speedFactor(backend.speed);
            requirement.steps.push_back({factor, slots, slots / factor});
        }
    }
    std::sort(requirement.steps.begin(), requirement.steps.end(),
              [](const SpeedStep &left, const SpeedStep &right) {
                  return left.factor < right.factor;
              });
    SpeedStep sum{1, 0, 0};
    for (SpeedStep &step : requirement.steps) {
        sum.slots += step.slots;
        sum.capacity += step.capacity;
        step.slots = sum.slots;
        step.capacity = sum.capacity;
    }
    return requirement.steps;
}

SpeedStep totalCapacity(BackendPool &pool, RequirementId id, std::int64_t nowMs)
{
    const std::vector<SpeedStep> &steps = speedSteps(pool, id, nowMs);
    return steps.empty() ? SpeedStep{1, 0, 0} : steps.back();
}

} // namespace Dispatch
