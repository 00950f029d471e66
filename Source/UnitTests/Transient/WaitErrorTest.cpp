#include <doctest/doctest.h>
#include <ostream>

#include "LoadReplay.h"
#include "TestAgents.h"
#include "Transient/Transient.h"

using namespace Transient;

namespace {

using Decision = Schema::GatewayDecision;

constexpr std::size_t ManyGateways = 11;
constexpr int Tasks = 8;

/// Submits a job of eight tasks of 50 ms: its target is 140 ms, of which 65 ms are run time and
/// overhead.
bool isAdmitted(GatewayState &state, Common::Moment now, double waitMs)
{
    Common::Random random{1};
    Schema::AgentAnnouncement agent = TestAgents::idleAgent("agent", "agent-1", Tasks);
    agent.load.committedProcessors = waitMs > 0 ? Tasks : 0;
    agent.load.waitMs = waitMs;
    agent.load.urgentWaitMs = waitMs;
    agentAnnounced(state, agent, now, random);
    Submission job;
    job.remainingTimeoutMs = 2000;
    job.queue.name = "checks";
    job.queue.service = "desk";
    job.queue.targetLatencyMs = 140;
    job.request.id = "job";
    job.request.steps.push_back({Tasks, {}, 50, {}, "", "", 0});
    job.request.steps.back().resources.processors = 1;
    jobSubmitted(state, job, now, random);
    return state.jobs.count("job") != 0;
}

/// Light load of wide jobs at five gateways, one of which handles agents' frames 40 ms late.
TransientSite::Outcome replayWeakGateway(bool isShared, std::uint64_t seed)
{
    TransientSite::Neighbourhood neighbourhood;
    neighbourhood.sharedFromGateways = isShared ? 1 : ManyGateways;
    auto world = TransientSite::makeWorld(seed, 5, 8, {}, neighbourhood);
    world->gateways[0].handlingDelayMs = 40;
    TransientSite::runFor(*world, 1000);
    TransientSite::offer(*world, {{50, 1, false}, Tasks, 0}, capacityOf(*world), 0.15, 4000);
    TransientSite::runFor(*world, 3000);
    CHECK(world->violations.empty());
    CHECK(world->gateways[0].state.waitErrors.empty() == !isShared);
    return {static_cast<int>(world->callers.size()), 0,
            static_cast<int>(world->finallyRefused.size())};
}

} // namespace

TEST_CASE("Predictions include errors and the own delay only where backend servers are shared")
{
    struct Row
    {
        const char *what;
        std::size_t gateways;
        double waitMs;
        double errorMs;
        double ownDelayMs;
        std::int64_t afterMs;
        bool isAdmitted;
        std::vector<Decision> disabled;
    };
    const Row rows[] = {
            {"nothing learned", ManyGateways, 20, 0, 0, 0, true, {}},
            {"few gateways", 4, 20, 50, 80, 0, true, {}},
            {"waits were too short", ManyGateways, 20, 50, 0, 0, false, {}},
            {"errors disabled", ManyGateways, 20, 50, 0, 0, true, {Decision::WaitErrors}},
            {"all capacity is free", ManyGateways, 0, 100, 150, 0, true, {}},
            {"slow gateway", ManyGateways, 20, 0, 80, 0, false, {}},
            {"own delay disabled", ManyGateways, 20, 0, 80, 0, true, {Decision::OwnDelay}},
            {"a burst whose jobs were refused is over", ManyGateways, 20, 50, 0, 3000, true, {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        GatewayState state;
        state.shared.knownGateways = row.gateways;
        switchOff(state, row.disabled);
        state.waitErrors[{"checks", 0}] = {row.errorMs, row.errorMs, 0};
        state.ownDelay.meanMs = row.ownDelayMs;
        CHECK(isAdmitted(state, {row.afterMs, row.afterMs}, row.waitMs) == row.isAdmitted);
    }
}

TEST_CASE("A single hung backend server hardly changes the predicted waits, many do")
{
    WaitError error;
    observeWait(error, 20, 10'000, 0);
    CHECK(latestWaitMs(error, 20, Tasks, 0) < 35);
    for (int task = 0; task < 200; ++task) {
        observeWait(error, 20, 120, 0);
    }
    CHECK(latestWaitMs(error, 20, Tasks, 0) > 110);
    CHECK(expectedMaximum(3) == doctest::Approx(0.846).epsilon(0.02));
}

/// Refused at a predicted wait of a few milliseconds while other backend servers had room.
TEST_CASE("Load replay: a slow gateway refuses nothing while backend servers are idle")
{
    for (const bool isShared : {true, false}) {
        const auto outcome = TransientSite::sumOverSeeds(replayWeakGateway, isShared);
        MESSAGE("of " << outcome.submitted << " refused " << outcome.late);
        CHECK(outcome.late == 0);
    }
}
