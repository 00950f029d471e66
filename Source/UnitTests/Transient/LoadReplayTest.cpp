#include <doctest/doctest.h>
#include <functional>
#include <ostream>

#include "LoadReplay.h"

using namespace TransientSite;

namespace {

constexpr int Gateways = 3;
constexpr int Agents = 4;
/// Four backend servers with 8 processors each, two of which are faster by a factor of 1.6.
constexpr double Capacity = 8 * (2 + 2 * 1.6);
constexpr int TasksPerJob = 4;
constexpr ModelWork Work{100, 1, false};
/// The target is 1.6 times the run time on a backend server of speed 1, plus 60 ms.
constexpr OfferedWork Jobs{Work, TasksPerJob, 220};

void limitAll(World &world, const Transient::AdmissionLimits &limits)
{
    for (SiteGateway &gateway : world.gateways) {
        gateway.state.limits = limits;
    }
}

/// Half of the backend servers become four times slower while more load is offered than the site
/// can then handle.
Outcome replaySlowdown(const Transient::AdmissionLimits &limits, std::uint64_t seed)
{
    auto world = makeWorld(seed, Gateways, Agents);
    runFor(*world, 1000);
    limitAll(*world, limits);
    offer(*world, Jobs, Capacity, 0.5, 3000);
    const std::size_t first = world->callers.size();
    world->backends[0].speed /= 4;
    world->backends[1].speed /= 4;
    offer(*world, Jobs, Capacity, 0.9, 4000);
    runFor(*world, 4000);
    return countOutcomes(*world, Jobs, first);
}

/// All gateways are down for a second. The callers of that time connect together with new ones.
Outcome replayReturn(const Transient::AdmissionLimits &limits, std::uint64_t seed)
{
    constexpr std::int64_t RemainingTimeoutMs = 900;
    constexpr int Waiting = 120;
    auto world = makeWorld(seed, Gateways, Agents);
    runFor(*world, 1000);
    offer(*world, Jobs, Capacity, 0.6, 3000);
    runFor(*world, 2000);
    std::vector<Schema::LearnedTimes> learned;
    for (int gateway = 0; gateway < Gateways; ++gateway) {
        learned.push_back(
                Transient::learnedTimes(world->gateways[static_cast<std::size_t>(gateway)].state,
                                        "gateway", {world->nowMs, world->nowMs}));
        killGateway(*world, gateway, true);
    }
    runFor(*world, 1000);
    for (int gateway = 0; gateway < Gateways; ++gateway) {
        startGateway(*world, gateway);
        for (const Schema::LearnedTimes &one : learned) {
            Transient::recallTimes(world->gateways[static_cast<std::size_t>(gateway)].state, one);
        }
    }
    limitAll(*world, limits);
    runFor(*world, 300);
    const std::size_t first = world->callers.size();
    for (int caller = 0; caller < Waiting; ++caller) {
        submit(*world, caller % Gateways, Work, TasksPerJob, RemainingTimeoutMs);
        if (caller % 4 == 0) {
            runFor(*world, 5);
        }
    }
    offer(*world, Jobs, Capacity, 0.6, 1500);
    runFor(*world, 4000);
    return countOutcomes(*world, Jobs, first, RemainingTimeoutMs + 1);
}

using Replay = std::function<Outcome(const Transient::AdmissionLimits &, std::uint64_t)>;

} // namespace

TEST_CASE("Load replays: more jobs end in time with admission control than without")
{
    struct Row
    {
        std::string what;
        Replay replay;
        Transient::AdmissionLimits without;
        /// Share of the submitted jobs that end in time with the limits; without them fewer do.
        double minShare;
    };
    Row rows[] = {{"backend servers turn slow under load", replaySlowdown, {}, 0.33},
                  {"callers return after an outage", replayReturn, {}, 0.96}};
    rows[0].without.refuses = false;
    rows[1].without.countsWaiting = false;
    for (const Row &row : rows) {
        CAPTURE(row.what);
        const Outcome with = sumOverSeeds(row.replay, Transient::AdmissionLimits{});
        const Outcome without = sumOverSeeds(row.replay, row.without);
        MESSAGE(row.what << ": of " << with.submitted << " in time " << with.inTime << ", late "
                         << with.late << "; without: of " << without.submitted << " in time "
                         << without.inTime << ", late " << without.late);
        CHECK(with.inTime >= row.minShare * with.submitted);
        CHECK(without.inTime < row.minShare * without.submitted);
    }
}
