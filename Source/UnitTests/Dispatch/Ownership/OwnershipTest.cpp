#include <algorithm>
#include <doctest/doctest.h>

#include "SiteChaos.h"

using namespace SiteTest;

namespace {

constexpr std::int64_t StartUpMs = 2000;

World threeGateways(std::uint64_t seed, const Dispatch::Safeguards &safeguards = {})
{
    World world = makeWorld(seed, 4, safeguards);
    for (int count = 0; count < 3; ++count) {
        addGateway(world);
    }
    return world;
}

} // namespace

TEST_CASE("Gateways that start together share the shards and serve at once")
{
    World world = threeGateways(1);
    run(world, StartUpMs);
    CHECK(world.oracle.violation == "");
    CHECK(servedShards(world) == world.settings.shardCount);
    for (const auto &gateway : world.gateways) {
        CHECK(Dispatch::shardsIn(gateway->site.ownership, Dispatch::ShardPhase::Serving).size()
              == 2);
        CHECK(gateway->site.ownership.table.roster.size() == 3);
    }
}

TEST_CASE("No schedule of faults starts a job twice, and a healed site serves every shard")
{
    // Callers resubmit to all gateways while gateways are killed, paused, leave, or lose the
    // connection to each other, to agents or to the log, and while appends are written late or
    // without an answer. Each job starts at most once, epochs at the agents never decrease, and all
    // shards are served again after the faults end.
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        World world = threeGateways(seed);
        run(world, StartUpMs);
        chaos(world, ChaosPlan{}, 200);
        CHECK(world.oracle.violation == "");
        heal(world);
        run(world, 15000);
        CHECK(world.oracle.violation == "");
        CHECK(servedShards(world) == world.settings.shardCount);
        CHECK(world.oracle.accepted > 0);
    }
}

namespace {

const std::string &nameOf(const World &world, std::size_t gateway)
{
    return world.gateways[gateway]->member.instance;
}

/// Submits a new job to every gateway each 20 ms.
void submitEverywhere(World &world, std::int64_t ms)
{
    for (std::int64_t past = 0; past < ms && world.oracle.violation.empty(); past += 20) {
        const std::string job = newJob(world);
        for (std::size_t gateway = 0; gateway < world.gateways.size(); ++gateway) {
            submit(world, gateway, job, moment(world).wallMs);
        }
        run(world, 20);
    }
}

std::int64_t shardsOwned(const World &world, std::size_t by, std::size_t owner)
{
    const auto &shards = world.gateways[by]->site.ownership.table.shards;
    return std::count_if(shards.begin(), shards.end(), [&](const Dispatch::ShardClaim &claim) {
        return claim.owner == nameOf(world, owner);
    });
}

/// Gateways 0 and 1 lose the log and all messages of gateway 2, and agent 0 loses gateway 2.
/// Gateway 2 receives their messages again after it has claimed their shards, but they don't learn
/// of the claim.
void minorityTakesOver(World &world)
{
    for (const std::size_t gateway : {0U, 1U}) {
        world.gateways[gateway]->cutFromLog = true;
        cut(world, nameOf(world, gateway), nameOf(world, 2), true);
        world.lostOneWay.insert({nameOf(world, 2), nameOf(world, gateway)});
    }
    cut(world, world.agents[0].name, nameOf(world, 2), true);
    run(world, 1000);
    for (const std::size_t gateway : {0U, 1U}) {
        cut(world, nameOf(world, gateway), nameOf(world, 2), false);
    }
    submitEverywhere(world, 3000);
}

/// Gateway 0 loses the log, and its messages reach no other gateway. It receives messages of
/// gateway 1 until its shards are claimed; from then on agent 0 reaches gateway 0 only. For the
/// length of a lease gateway 0 still starts tasks and agent 0 accepts them.
void ownerIsPartitioned(World &world)
{
    world.gateways[0]->cutFromLog = true;
    submitEverywhere(world, 1000);
    world.lostOneWay.insert({nameOf(world, 0), nameOf(world, 1)});
    cut(world, nameOf(world, 0), nameOf(world, 2), true);
    cut(world, world.agents[0].name, nameOf(world, 2), true);
    const std::int64_t owned = shardsOwned(world, 1, 0);
    while (shardsOwned(world, 1, 0) == owned && world.nowMs < 20000) {
        run(world, 5);
    }
    cut(world, nameOf(world, 0), nameOf(world, 1), true);
    cut(world, world.agents[0].name, nameOf(world, 1), true);
    // The successors accept jobs that were first submitted before gateway 0 declared itself
    // unlogged: those certainly have not started.
    for (int count = 0; count < 80 && world.oracle.violation.empty(); ++count) {
        for (const std::size_t gateway : {1U, 2U}) {
            submit(world, gateway, newJob(world), WallOffsetMs + 1500);
        }
        submit(world, 0, newJob(world), moment(world).wallMs);
        run(world, 5);
    }
}

/// Gateway 0 starts jobs and is killed. The two others have not read the intents of these jobs when
/// they take over, and the callers resubmit.
void journalLagsBehind(World &world)
{
    world.gateways[1]->journalReadsBlocked = true;
    world.gateways[2]->journalReadsBlocked = true;
    for (int count = 0; count < 20; ++count) {
        submit(world, 0, newJob(world), moment(world).wallMs);
        run(world, 20);
    }
    kill(world, 0);
    run(world, 3000);
    for (int job = 0; job < world.nextJob; ++job) {
        submit(world, 1, "job-" + std::to_string(job), moment(world).wallMs - 3000);
        submit(world, 2, "job-" + std::to_string(job), moment(world).wallMs - 3000);
    }
    run(world, 500);
}

/// Gateway 0, the only member of the roster, is cut off together with agent 0, which knows this
/// roster only. Two more gateways join: they are a majority of three without gateway 0.
void twoJoinsInARow(World &world)
{
    world.gateways[0]->cutFromLog = true;
    cut(world, nameOf(world, 0), world.agents[1].name, true);
    for (const std::size_t joined : {addGateway(world), addGateway(world)}) {
        cut(world, nameOf(world, 0), nameOf(world, joined), true);
        cut(world, world.agents[0].name, nameOf(world, joined), true);
    }
    submitEverywhere(world, 5000);
}

} // namespace

TEST_CASE("Each safeguard that is switched off lets two owners start tasks of a shard")
{
    // An owner is cut off, its successor serves, and an agent that does not know of the successor
    // still accepts starts of the old owner. Then a task starts under an older epoch after a task
    // of the same shard under a newer one, or a job starts twice. With the safeguard on, neither
    // happens.
    struct Row
    {
        std::string name;
        bool Dispatch::Safeguards::*safeguard;
        int gateways;
        void (*schedule)(World &);
    };
    const Row rows[] = {
            {"fence majority", &Dispatch::Safeguards::fenceMajority, 3, minorityTakesOver},
            {"lease wait", &Dispatch::Safeguards::leaseWait, 3, ownerIsPartitioned},
            {"journal re-read", &Dispatch::Safeguards::journalReread, 3, journalLagsBehind},
            {"roster one at a time", &Dispatch::Safeguards::rosterOneAtATime, 1, twoJoinsInARow},
    };
    for (const Row &row : rows) {
        for (const bool on : {true, false}) {
            CAPTURE(row.name);
            CAPTURE(on);
            Dispatch::Safeguards safeguards;
            safeguards.*row.safeguard = on;
            int violations = 0;
            for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                World world = makeWorld(seed, 2, safeguards);
                for (int count = 0; count < row.gateways; ++count) {
                    addGateway(world);
                }
                run(world, StartUpMs);
                row.schedule(world);
                violations += world.oracle.violation.empty() ? 0 : 1;
            }
            CHECK((violations > 0) == !on);
        }
    }
}
