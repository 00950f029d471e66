#include <algorithm>

#include "Transient/JobsInternal.h"

/// Handles news of evacuations: which agents take no tasks, and the jobs that have no other.
namespace Transient {

namespace {

constexpr std::int64_t MaxRetryMs = 30'000;

Effects applyChanges(GatewayState &state, const std::vector<std::string> &changed,
                     const std::string &source, Common::Moment now, Common::Random &random)
{
    Effects effects;
    if (changed.empty()) {
        return effects;
    }
    appendNews(effects, evacuationNews(state.fleet.evacuations, changed, source, now));
    updateEvacuated(state.fleet);
    append(effects, placeWaiting(state, now, random));
    return effects;
}

} // namespace

Effects evacuationsTold(GatewayState &state, const Schema::EvacuationList &told,
                        const std::string &source, Common::Moment now, Common::Random &random)
{
    return applyChanges(state, mergeEvacuations(state.fleet.evacuations, told, now), source, now,
                        random);
}

Effects evacuationsRead(GatewayState &state, const EvacuationRecords &records, Common::Moment now,
                        Common::Random &random)
{
    return applyChanges(state, mergeEvacuations(state.fleet.evacuations, records, now), "store",
                        now, random);
}

std::string evacuatedDomainOf(const GatewayState &state, const JobRecord &job)
{
    for (const StepRecord &step : job.steps) {
        const bool isReady =
                std::any_of(step.tasks.begin(), step.tasks.end(),
                            [](const TaskRecord &task) { return task.phase == TaskPhase::Ready; });
        if (isReady && !hasEligibleBackend(state.fleet, job.queue.service, step.request)) {
            return evacuatedDomainFor(state.fleet, job.queue.service, step.request);
        }
    }
    return {};
}

std::int64_t evacuatedRetryMs(const GatewayState &state, const std::string &failureDomain,
                              Common::Moment now)
{
    const Evacuation &evacuation = state.fleet.evacuations.domains.at(failureDomain);
    return std::clamp(now.steadyMs - evacuation.notBeforeMs.value_or(now.steadyMs), RetryMs,
                      MaxRetryMs);
}

} // namespace Transient
