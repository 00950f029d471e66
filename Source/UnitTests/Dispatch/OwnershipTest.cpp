#include <doctest/doctest.h>

#include "SiteChaos.h"

using namespace SiteTest;

namespace {

constexpr std::int64_t FirstServing = 2000;

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
    run(world, FirstServing);
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
    // Callers resubmit everywhere while gateways die, pause, leave, lose each other, agents or the
    // log, and appends take effect late or without an answer. Each job starts at most once, epochs
    // at the agents never fall, and once the faults end all shards are served again.
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        World world = threeGateways(seed);
        run(world, FirstServing);
        chaos(world, ChaosPlan{}, 200);
        CHECK(world.oracle.violation == "");
        heal(world);
        run(world, 15000);
        CHECK(world.oracle.violation == "");
        CHECK(servedShards(world) == world.settings.shardCount);
        CHECK(world.oracle.accepted > 0);
    }
}
