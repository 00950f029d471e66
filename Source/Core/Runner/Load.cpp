#include "Runner/Load.h"

#include <algorithm>
#include <utility>

#include "Runner/Evacuation.h"
#include "Runner/Forecast.h"
#include "Runner/Pace.h"

namespace Runner {

namespace {

/// Half the run time of the shortest tasks.
constexpr std::int64_t MinLoadReportIntervalMs = 25;
/// Number of gateways for which the shortest interval is affordable: each used 0.03 of a core.
constexpr std::size_t GatewaysOfSmallSite = 4;

bool occupiesBackend(const Run &run)
{
    return run.phase != RunPhase::Queued;
}

bool fits(const Transient::BackendAnnouncement &backend, const Schema::Resources &used,
          const Schema::Resources &needed)
{
    // Sums of fractions have rounding errors: a millionth of a processor is tolerated.
    constexpr double Rounding = 1e-6;
    Schema::Resources whole = backend.resources;
    whole.processors += Rounding;
    return Dispatch::fits(whole, used, needed);
}

bool isSame(const Offer &left, const Offer &right)
{
    return left.accepting == right.accepting && left.clean == right.clean
           && left.service == right.service && left.labels == right.labels
           && left.resources.processors == right.resources.processors
           && left.resources.memoryMb == right.resources.memoryMb
           && left.resources.accelerators == right.resources.accelerators;
}

} // namespace

Schema::Resources occupied(const RunnerState &state)
{
    Schema::Resources sum{};
    for (const auto &[id, run] : state.runs) {
        if (occupiesBackend(run)) {
            sum.processors += run.resources.processors;
            sum.memoryMb += run.resources.memoryMb;
            sum.accelerators += run.resources.accelerators;
        }
    }
    return sum;
}

bool hasRoom(const RunnerState &state, const Schema::Resources &needed)
{
    const Transient::BackendAnnouncement *announced = announcedBackend(state);
    return announced != nullptr && fits(*announced, occupied(state), needed);
}

const Transient::BackendAnnouncement *announcedBackend(const RunnerState &state)
{
    return state.backend && state.backend->announced ? &*state.backend->announced : nullptr;
}

bool isEligible(const RunnerState &state, const Run &run)
{
    const Transient::BackendAnnouncement *announced = announcedBackend(state);
    if (announced == nullptr) {
        return false;
    }
    const std::vector<std::string> &labels = announced->labels;
    const bool hasLabel =
            run.requiredLabel.empty()
            || std::find(labels.begin(), labels.end(), run.requiredLabel) != labels.end();
    const bool isOfService = run.service.empty() || run.service == announced->service;
    return hasLabel && isOfService && fits(*announced, {}, run.resources);
}

double committedProcessors(const RunnerState &state)
{
    double processors = 0;
    for (const auto &[id, run] : state.runs) {
        processors += run.resources.processors;
    }
    return processors;
}

Schema::AgentLoad loadFor(const RunnerState &state, const std::string &gateway, Common::Moment now)
{
    Schema::AgentLoad load;
    load.sentMs = now.steadyMs;
    load.committedProcessors = committedProcessors(state);
    load.slowdown = slowdownOf(state, now);
    double processorMs = 0;
    for (const auto &[id, run] : state.runs) {
        const double pace = run.phase == RunPhase::Queued ? load.slowdown : 1;
        processorMs += run.resources.processors * pace * static_cast<double>(timeLeftMs(run, now));
    }
    if (load.committedProcessors > 0) {
        load.meanLeftMs = processorMs / load.committedProcessors;
    }
    const Forecast forecast = forecastOf(state, now);
    load.urgentWaitMs = forecast.urgentWaitMs;
    load.waitMs = forecast.waitMs;
    load.urgentPriority = state.urgentPriority;
    const auto order = state.lastOrders.find(gateway);
    load.lastOrder = order == state.lastOrders.end() ? 0 : order->second;
    return load;
}

std::int64_t loadReportIntervalMs(std::size_t gateways)
{
    const std::size_t counted = std::max(gateways, GatewaysOfSmallSite);
    return MinLoadReportIntervalMs * static_cast<std::int64_t>(counted)
           / static_cast<std::int64_t>(GatewaysOfSmallSite);
}

bool isUrgent(const std::vector<Schema::AttemptState> &states)
{
    return std::any_of(states.begin(), states.end(), [](const Schema::AttemptState &state) {
        return state.phase != Schema::AttemptPhase::Running;
    });
}

bool isAccepting(const RunnerState &state)
{
    return announcedBackend(state) != nullptr && !state.backend->leaving && state.isClean
           && state.isBackendResponsive && !state.isStopping && !isEvacuated(state);
}

Offer offerOf(const RunnerState &state)
{
    Offer offer;
    offer.accepting = isAccepting(state);
    offer.clean = state.isClean;
    offer.service = state.service;
    if (const Transient::BackendAnnouncement *announced = announcedBackend(state)) {
        offer.service = announced->service;
        offer.labels = announced->labels;
        offer.resources = announced->resources;
    }
    return offer;
}

void announceIfChanged(RunnerState &state, Effects &effects)
{
    Offer offer = offerOf(state);
    if (!state.toldOffer || !isSame(*state.toldOffer, offer)) {
        state.toldOffer = std::move(offer);
        effects.emplace_back(Announce{});
    }
}

Schema::AgentAnnouncement announcementFor(const RunnerState &state, const std::string &gateway,
                                          Common::Moment now)
{
    Schema::AgentAnnouncement announcement;
    announcement.instance = state.instance;
    announcement.name = state.name;
    announcement.failureDomain = state.failureDomain;
    Offer offer = offerOf(state);
    announcement.service = std::move(offer.service);
    announcement.labels = std::move(offer.labels);
    announcement.resources = offer.resources;
    announcement.accepting = offer.accepting;
    announcement.clean = offer.clean;
    for (const auto &[id, run] : state.runs) {
        if (run.gateway == gateway) {
            announcement.held.push_back({run.attempt, run.task});
        }
    }
    const auto recentEnds = state.recentEnds.find(gateway);
    if (recentEnds != state.recentEnds.end()) {
        for (const RecentEnd &end : recentEnds->second) {
            announcement.held.push_back({end.state.attempt, end.state.task});
        }
    }
    announcement.orphans = state.orphans;
    announcement.load = loadFor(state, gateway, now);
    return announcement;
}

} // namespace Runner
