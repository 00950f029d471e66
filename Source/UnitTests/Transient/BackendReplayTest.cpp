#include <doctest/doctest.h>
#include <functional>
#include <ostream>
#include <random>

#include "LoadReplay.h"

using namespace TransientSite;

namespace {

constexpr int Gateways = 3;
constexpr int Agents = 4;
constexpr std::int64_t SettleMs = 1000;
constexpr std::int64_t AnswerWaitMs = 4000;

/// Targets are 1.6 times the run time on a backend server of speed 1, plus 60 ms.
constexpr OfferedWork Usual{{100, 1, false}, 4, 220};
constexpr OfferedWork Short{{30, 1, false}, 6, 108};
constexpr OfferedWork Long{{300, 1, false}, 2, 540};

using SwitchOff = std::function<void(World &)>;

void switchOffAtGateways(World &world, Schema::GatewayDecision decision)
{
    for (SiteGateway &gateway : world.gateways) {
        Transient::switchOff(gateway.state, {decision});
    }
}

void switchOffAtAgents(World &world, Schema::AgentDecision decision)
{
    for (SiteAgent &agent : world.agents) {
        Runner::switchOff(agent.state, {decision});
    }
}

std::unique_ptr<World> makeSite(std::uint64_t seed, const SwitchOff &switchOff)
{
    auto world = makeWorld(seed, Gateways, Agents);
    runFor(*world, SettleMs);
    switchOff(*world);
    return world;
}

/// All runs of one of four backend servers stall while it keeps answering.
Outcome replayStandstill(const SwitchOff &switchOff, std::uint64_t seed)
{
    constexpr double Standstill = 0.001;
    auto world = makeSite(seed, switchOff);
    const double capacity = capacityOf(*world);
    offer(*world, Usual, capacity, 0.4, 2000);
    const std::size_t first = world->callers.size();
    world->backends[0].speed = Standstill;
    offer(*world, Usual, capacity, 0.4, 3000);
    runFor(*world, AnswerWaitMs);
    return countOutcomes(*world, Usual, first);
}

/// Long jobs fill the backend servers, and short urgent jobs are submitted at the same time.
Outcome replayUrgent(const SwitchOff &switchOff, std::uint64_t seed)
{
    auto world = makeSite(seed, switchOff);
    const double capacity = capacityOf(*world);
    std::uniform_real_distribution<double> chance(0, 1);
    constexpr double ShortShare = 0.2;
    constexpr double Load = 1.2;
    const std::int64_t untilMs = world->nowMs + 4000;
    while (world->nowMs < untilMs) {
        const bool isShort = chance(world->random) < 0.5;
        world->queue.name = isShort ? "urgent" : "other";
        world->queue.priority = isShort ? 0 : 1;
        const double load = 2 * Load * (isShort ? ShortShare : 1 - ShortShare);
        offer(*world, isShort ? Short : Long, capacity, load, 1);
    }
    runFor(*world, AnswerWaitMs);
    return countOutcomes(*world, Short, 0);
}

using Replay = std::function<Outcome(const SwitchOff &, std::uint64_t)>;

} // namespace

TEST_CASE("Load replays: more jobs end in time with the decisions than without")
{
    using Schema::AgentDecision;
    using Schema::GatewayDecision;
    struct Row
    {
        std::string what;
        Replay replay;
        SwitchOff without;
        /// Share of the submitted jobs that end in time with the decisions; without them fewer do.
        double minShare;
    };
    const Row rows[] = {
            {"everything stands still on a backend server", replayStandstill,
             [](World &world) {
                 switchOffAtAgents(world, AgentDecision::Moves);
                 switchOffAtGateways(world, GatewayDecision::Paces);
             },
             0.96},
            {"short urgent jobs come while long ones wait", replayUrgent,
             [](World &world) { switchOffAtGateways(world, GatewayDecision::WaitForecasts); }, 0.5},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        const Outcome with = sumOverSeeds(row.replay, SwitchOff([](World &) {}));
        const Outcome without = sumOverSeeds(row.replay, row.without);
        MESSAGE(row.what << ": of " << with.submitted << " in time " << with.inTime << ", late "
                         << with.late << "; without: of " << without.submitted << " in time "
                         << without.inTime << ", late " << without.late);
        CHECK(with.inTime >= row.minShare * with.submitted);
        CHECK(without.inTime < row.minShare * without.submitted);
    }
}
