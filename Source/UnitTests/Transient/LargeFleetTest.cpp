#include <array>
#include <doctest/doctest.h>
#include <ostream>
#include <random>

#include "TransientWorld.h"

using Transient::JobOutcome;
using namespace TransientSite;

namespace {

constexpr int Domains = 6;
constexpr int Gateways = 55;
constexpr int Agents = 240;
/// More than there are processes: everybody is connected to everybody.
constexpr std::size_t NoLimit = 1000;

Neighbourhood limitedTo(std::size_t gatewaysOfAgent, std::size_t gatewaysOfGateway)
{
    return {gatewaysOfAgent, gatewaysOfGateway, Domains};
}

struct IdleCost
{
    double framesOfGateway = 0;
    double framesOfAgent = 0;
    double bytesOfGateway = 0;
};

template <typename Process>
SiteTraffic sumOf(const std::vector<Process> &processes)
{
    SiteTraffic sum;
    for (const Process &process : processes) {
        sum.frames += process.traffic.frames;
        sum.bytes += process.traffic.bytes;
    }
    return sum;
}

/// About the interval at which all gateways are listed.
constexpr std::int64_t ListIntervalMs = 14'000;

/// Mean cost of a second without jobs.
IdleCost idleCost(int gateways, int agents, const Neighbourhood &neighbourhood,
                  std::int64_t observedMs)
{
    constexpr std::int64_t StartUpMs = 4000;
    constexpr double MsPerSecond = 1000;
    const double observedS = static_cast<double>(observedMs) / MsPerSecond;
    auto world = makeWorld(1, gateways, agents, {}, neighbourhood);
    runFor(*world, StartUpMs);
    world->countsBytes = true;
    const SiteTraffic gatewaysBefore = sumOf(world->gateways);
    const SiteTraffic agentsBefore = sumOf(world->agents);
    runFor(*world, observedMs);
    const SiteTraffic ofGateways = sumOf(world->gateways);
    const SiteTraffic ofAgents = sumOf(world->agents);
    IdleCost cost;
    cost.framesOfGateway =
            static_cast<double>(ofGateways.frames - gatewaysBefore.frames) / observedS / gateways;
    cost.framesOfAgent =
            static_cast<double>(ofAgents.frames - agentsBefore.frames) / observedS / agents;
    cost.bytesOfGateway =
            static_cast<double>(ofGateways.bytes - gatewaysBefore.bytes) / observedS / gateways;
    return cost;
}

struct OfferedJobs
{
    ModelWork work;
    int tasks = 1;
    double perMs = 0;
};

/// The jobs of a fleet of this size at half of its processors.
constexpr std::array<OfferedJobs, 3> Mix{{
        {{60, 15, false, 1000}, 8, 0.309},
        {{200, 15, false, 2400}, 2, 0.9},
        {{900, 15, false, 1000}, 4, 0.056},
}};

std::unique_ptr<World> largeSite()
{
    constexpr std::int64_t StartUpMs = 4000;
    constexpr double Processors = 64;
    auto world = makeWorld(1, Gateways, Agents, {}, limitedTo(8, 4));
    for (ModelBackend &backend : world->backends) {
        backend.processors = Processors;
    }
    for (int agent = 0; agent < Agents; ++agent) {
        killAgent(*world, agent, true);
        startAgent(*world, agent);
    }
    runFor(*world, StartUpMs);
    return world;
}

/// Callers of \a domains failure domains submit jobs at the gateways that work there.
void offerMix(World &world, std::int64_t forMs, int domains)
{
    std::uniform_real_distribution<double> chance(0, 1);
    const std::int64_t untilMs = world.nowMs + forMs;
    while (world.nowMs < untilMs) {
        for (const OfferedJobs &offered : Mix) {
            const double rate = offered.perMs * domains / Domains;
            if (chance(world.random) >= rate) {
                continue;
            }
            auto gateway = static_cast<int>(world.random() % Gateways);
            while (gateway % Domains >= domains
                   || !world.gateways[static_cast<std::size_t>(gateway)].isUp) {
                gateway = (gateway + 1) % Gateways;
            }
            submit(world, gateway, offered.work, offered.tasks);
        }
        runFor(world, 1);
    }
}

double servedShare(const World &world, std::size_t first)
{
    std::size_t served = 0;
    for (std::size_t number = first; number < world.callers.size(); ++number) {
        const Caller &caller = world.callers[number];
        served += caller.isAnswered && caller.result.outcome == JobOutcome::Succeeded ? 1 : 0;
    }
    return static_cast<double>(served) / static_cast<double>(world.callers.size() - first);
}

} // namespace

TEST_CASE("What a machine sends and receives at rest does not grow with the fleet")
{
    // Guards against weak gateways whose processor is used up by heartbeats before the first job.
    constexpr double MostGrowth = 1.3;
    constexpr std::int64_t UnlimitedMs = 1000;
    const IdleCost small = idleCost(11, 49, limitedTo(8, 4), ListIntervalMs);
    const IdleCost large = idleCost(Gateways, Agents, limitedTo(8, 4), ListIntervalMs);
    const IdleCost unlimited = idleCost(Gateways, Agents, limitedTo(NoLimit, NoLimit), UnlimitedMs);
    CAPTURE(small.framesOfGateway);
    CAPTURE(large.framesOfGateway);
    CAPTURE(unlimited.framesOfGateway);
    CAPTURE(small.bytesOfGateway);
    CAPTURE(large.bytesOfGateway);
    CHECK(large.framesOfGateway <= small.framesOfGateway * MostGrowth);
    CHECK(large.framesOfAgent <= small.framesOfAgent * MostGrowth);
    CHECK(large.bytesOfGateway <= small.bytesOfGateway * MostGrowth);
    CHECK(unlimited.framesOfGateway > small.framesOfGateway * MostGrowth);
}

TEST_CASE("A fleet of 55 gateways and 240 agents serves its jobs, each gateway by its own agents")
{
    auto world = largeSite();
    for (const SiteGateway &gateway : world->gateways) {
        CHECK(gateway.openAgents.size() >= 15);
        CHECK(gateway.openAgents.size() <= 60);
    }
    offerMix(*world, 1500, Domains);
    runFor(*world, 2000);
    CHECK(servedShare(*world, 0) >= 0.95);
    CHECK(world->lostGateways == 0);
    CHECK(world->violations.empty());
}

TEST_CASE("A failure domain is cut off: the others are served, and it is again when it is back")
{
    auto world = largeSite();
    offerMix(*world, 300, Domains);
    cutOffDomain(*world, Domains - 1);
    runFor(*world, 2500);
    const std::size_t afterCut = world->callers.size();
    offerMix(*world, 800, Domains - 1);
    healDomains(*world);
    runFor(*world, 2500);
    CHECK(servedShare(*world, afterCut) >= 0.95);
    const std::size_t afterReturn = world->callers.size();
    offerMix(*world, 800, Domains);
    runFor(*world, 2000);
    CHECK(servedShare(*world, afterReturn) >= 0.95);
    CHECK(world->violations.empty());
}

TEST_CASE("Half of the gateways are lost: agents connect to others and the rest serve")
{
    auto world = largeSite();
    for (int gateway = 0; gateway < Gateways; gateway += 2) {
        killGateway(*world, gateway, gateway % 4 == 0);
    }
    runFor(*world, 2500);
    for (const SiteAgent &agent : world->agents) {
        CHECK(agent.openGateways.size() >= 8);
    }
    const std::size_t afterLoss = world->callers.size();
    offerMix(*world, 800, Domains);
    runFor(*world, 2000);
    CHECK(servedShare(*world, afterLoss) >= 0.95);
    CHECK(world->violations.empty());
}

TEST_CASE("Everything is lost at once: all agents are back within seconds, and jobs are served")
{
    auto world = largeSite();
    for (int gateway = 0; gateway < Gateways; ++gateway) {
        killGateway(*world, gateway, false);
    }
    for (int agent = 0; agent < Agents; ++agent) {
        killAgent(*world, agent, false);
        crashBackend(*world, agent);
    }
    runFor(*world, 1000);
    for (int gateway = 0; gateway < Gateways; ++gateway) {
        startGateway(*world, gateway);
    }
    for (int agent = 0; agent < Agents; ++agent) {
        restartBackend(*world, agent);
        startAgent(*world, agent);
    }
    runFor(*world, 3000);
    for (const SiteAgent &agent : world->agents) {
        CHECK(agent.openGateways.size() >= 8);
    }
    const std::size_t afterReturn = world->callers.size();
    offerMix(*world, 800, Domains);
    runFor(*world, 2000);
    CHECK(servedShare(*world, afterReturn) >= 0.95);
    CHECK(world->violations.empty());
}
