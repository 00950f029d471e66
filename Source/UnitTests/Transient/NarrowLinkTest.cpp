#include <array>
#include <doctest/doctest.h>
#include <ostream>
#include <random>

#include "TransientWorld.h"

using Transient::JobOutcome;
using namespace TransientSite;

namespace {

struct OfferedJobs
{
    ModelWork work;
    int tasks = 1;
    double perMs = 0;
};

/// Together three fifths of the processors of 40 backend servers with 16 each.
constexpr std::array<OfferedJobs, 3> Mix{{
        {{60, 1.6, false, 1000}, 8, 0.105},
        {{200, 1.6, false, 2400}, 2, 0.305},
        {{900, 1.6, false, 1000}, 4, 0.019},
}};
constexpr double TwoMbitPerS = 250;

std::unique_ptr<World> narrowSite(int gateways, int agents, double linkBytesPerMs)
{
    constexpr std::int64_t StartUpMs = 2000;
    auto world = makeWorld(1, gateways, agents);
    world->linkBytesPerMs = linkBytesPerMs;
    for (int gateway = 0; gateway < gateways; ++gateway) {
        killGateway(*world, gateway, true);
        startGateway(*world, gateway);
    }
    for (int agent = 0; agent < agents; ++agent) {
        world->backends[static_cast<std::size_t>(agent)].processors = 16;
        killAgent(*world, agent, true);
        startAgent(*world, agent);
    }
    runFor(*world, StartUpMs);
    return world;
}

void offerMix(World &world, double rate, std::int64_t forMs)
{
    std::uniform_real_distribution<double> chance(0, 1);
    const std::int64_t untilMs = world.nowMs + forMs;
    while (world.nowMs < untilMs) {
        for (const OfferedJobs &offered : Mix) {
            if (chance(world.random) < offered.perMs * rate) {
                const auto gateway = static_cast<int>(world.random() % world.gateways.size());
                submit(world, gateway, offered.work, offered.tasks);
            }
        }
        runFor(world, 1);
    }
}

std::size_t countServed(const World &world, std::size_t first)
{
    std::size_t served = 0;
    for (std::size_t number = first; number < world.callers.size(); ++number) {
        const Caller &caller = world.callers[number];
        served += caller.isAnswered && caller.result.outcome == JobOutcome::Succeeded ? 1 : 0;
    }
    return served;
}

} // namespace

TEST_CASE("A burst on narrow links: live gateways are not taken for lost, and jobs are served")
{
    // Guards against heartbeats that wait behind other frames on a full link until agents stop the
    // tasks of a gateway that is alive, and that never recovers from the repeated orders.
    auto world = narrowSite(12, 40, TwoMbitPerS);
    world->lostGateways = 0;
    offerMix(*world, 1, 1000);
    offerMix(*world, 1.6, 2000);
    offerMix(*world, 1, 2000);
    const std::size_t afterBurst = world->callers.size();
    offerMix(*world, 1, 2000);
    runFor(*world, 2000);
    CHECK(world->lostGateways == 0);
    CHECK(countServed(*world, afterBurst) * 2 >= world->callers.size() - afterBurst);
    CHECK(world->violations.empty());
}
