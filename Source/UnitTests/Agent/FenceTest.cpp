#include <doctest/doctest.h>

#include "AgentFixture.h"

TEST_CASE("Each refusal names its reason and starts nothing")
{
    struct Row
    {
        const char *reason;
        void (*prepare)(AgentFixture &);
        void (*alter)(AgentFixture &, Schema::StartTask &);
    };
    const auto nothing = [](AgentFixture &) {};
    const auto unaltered = [](AgentFixture &, Schema::StartTask &) {};
    const Row rows[] = {
            {"epoch_fenced", [](AgentFixture &site) { site.moveShard("g2", 2); }, unaltered},
            {"lease_lapsed", [](AgentFixture &site) { site.now.steadyMs += 5000; }, unaltered},
            {"agent_draining",
             [](AgentFixture &site) { site.carryOut(Agent::beginStop(site.state, site.now)); },
             unaltered},
            {"backend_unreachable", [](AgentFixture &site) { site.state.healthy = false; },
             unaltered},
            {"no_slot", [](AgentFixture &site) { site.startMany("g1", 12); }, unaltered},
            {"not_after_passed", nothing,
             [](AgentFixture &site, Schema::StartTask &task) {
                 task.notAfterMs = site.now.wallMs - 1;
             }},
    };
    for (const Row &row : rows) {
        CAPTURE(row.reason);
        AgentFixture site;
        site.join();
        row.prepare(site);
        Schema::StartTask task = site.makeTask("refused");
        row.alter(site, task);
        site.start("g1", task);
        CHECK(site.reportedState("g1", "refused") == std::string("not_started/") + row.reason);
        CHECK(site.startsOf("refused") == 0);
    }
}

TEST_CASE("The lease counts from the hello that a majority of the roster answered")
{
    struct Row
    {
        int gateways;
        std::vector<std::string> silent;
        bool accepted;
    };
    const Row rows[] = {
            {1, {}, true},
            {1, {"g1"}, false},
            {2, {"g2"}, false},
            {3, {"g3"}, true},
            {3, {"g2", "g3"}, false},
            {4, {"g3", "g4"}, false},
            {5, {"g4", "g5"}, true},
            {5, {"g3", "g4", "g5"}, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.gateways);
        CAPTURE(row.silent.size());
        AgentFixture site(row.gateways);
        site.join();
        for (const std::string &gateway : row.silent) {
            site.answering.erase(gateway);
        }
        site.advanceTime(2500);
        CHECK((Agent::leaseLeftMs(site.state.fence, site.now) > 0) == row.accepted);
    }
}

// g2 took over the shard of a job while g1 was paused. g1 resumes and sends its start message. The
// agent knows the new epoch and answers "not started"; without the fence the task would run for
// both owners.
TEST_CASE("A start of an owner that was replaced is refused")
{
    for (const bool fenced : {true, false}) {
        CAPTURE(fenced);
        AgentFixture site;
        site.state.fence.epochsChecked = fenced;
        site.state.outcomes.options.repeatsRefused = fenced;
        site.join();
        site.moveShard("g2", 2);
        site.start("g2", site.makeTask("crew", 2));
        const Schema::StartTask late = site.makeTask("crew", 1);
        site.start("g1", late);
        CHECK(site.startsOf("crew") == (fenced ? 1 : 2));
        site.start("g1", site.makeTask("other", 1));
        CHECK(site.reportedState("g1", "other")
              == (fenced ? "not_started/epoch_fenced" : "nothing"));
    }
}

// The agent is cut off from g2 and g3, so that g2 can take over the shard and serve it. g1, cut off
// together with the agent, does not know of this and goes on sending starts. Only the expired lease
// prevents the agent from starting g1's tasks. When the agent receives answers of the others again,
// they renew the lease and contain the new epoch as well.
TEST_CASE("A lapsed lease prevents starts until a majority of gateways answers again")
{
    for (const bool leased : {true, false}) {
        CAPTURE(leased);
        AgentFixture site;
        site.state.fence.leaseChecked = leased;
        site.join();
        site.answering = {"g1"};
        site.advanceTime(2200);
        site.start("g1", site.makeTask("cut-off"));
        CHECK(site.startsOf("cut-off") == (leased ? 0 : 1));
        CHECK(site.reportedState("g1", "cut-off")
              == (leased ? "not_started/lease_lapsed" : "nothing"));
        site.answering = {"g1", "g2", "g3"};
        site.advanceTime(1000);
        site.start("g1", site.makeTask("back"));
        CHECK(site.startsOf("back") == 1);
    }
}

// A hello answer names a table version that the agent has not received. If it renewed the lease, an
// owner that is already fenced at other agents could start tasks here for another lease.
TEST_CASE("An answer without its epochs does not renew the lease")
{
    AgentFixture site(1);
    site.join();
    const auto before = Agent::leaseEndMs(site.state.fence);
    Schema::GatewayPong pong;
    pong.instance = "g1";
    pong.tableVersion = site.table.version + 1;
    Agent::recordHelloAnswer(site.state.fence, pong, site.now.steadyMs + 100);
    CHECK(Agent::leaseEndMs(site.state.fence) == before);
    pong.tableVersion = site.table.version;
    Agent::recordHelloAnswer(site.state.fence, pong, site.now.steadyMs + 100);
    CHECK(Agent::leaseEndMs(site.state.fence) > before);
}

// The agent's process is paused between its check and the start, and resumes after the lease has
// expired and a successor serves. The start then carries a time that has passed, and the backend
// server, which uses the clock of the same machine, refuses it: this proves that the task has not
// started.
TEST_CASE("A start carries the end of the lease for the backend server to check")
{
    AgentFixture site;
    site.join();
    site.start("g1", site.makeTask("paused"));
    REQUIRE(site.runs.size() == 1);
    CHECK(site.runs[0].notAfterMs
          == site.now.wallMs + Agent::leaseLeftMs(site.state.fence, site.now));
    site.now.steadyMs += 60'000;
    site.now.wallMs += 60'000;
    site.finish("paused", 412);
    CHECK(site.reportedState("g1", "paused") == "not_started/not_after_passed");

    Schema::StartTask soon = site.makeTask("soon");
    AgentFixture other;
    other.join();
    soon.notAfterMs = other.now.wallMs + 10;
    other.start("g1", soon);
    CHECK(other.runs.at(0).notAfterMs == soon.notAfterMs);
}

// The agent is paused with tasks in its queue. When it resumes, a slot becomes free before any
// frame is read. The lease has expired meanwhile, so that the queued task must not start.
TEST_CASE("A pause while a task is queued ends in a refusal")
{
    AgentFixture site;
    site.join();
    site.startMany("g1", 9);
    CHECK(site.runs.size() == 8);
    site.now.steadyMs += 10'000;
    site.now.wallMs += 10'000;
    site.finish("job-0");
    CHECK(site.startsOf("job-8") == 0);
    CHECK(site.reportedState("g1", "job-8") == "not_started/lease_lapsed");
    CHECK(site.reportedState("g1", "job-0") == "succeeded/none");
}

TEST_CASE("Epochs never fall, whatever table arrives in whatever order")
{
    Agent::Fence fence;
    Schema::OwnershipTable table;
    table.version = 10;
    table.shards = {{5, "g1", 0}, {6, "g2", 1}};
    CHECK(Agent::mergeTable(fence, table).size() == 2);
    table.version = 9;
    table.shards = {{4, "g3", 0}, {7, "g3", 1}};
    CHECK(Agent::mergeTable(fence, table) == Agent::RaisedShards{1});
    CHECK(fence.tableVersion == 10);
    CHECK(Agent::ownerOf(fence, 0) == "g1");
    CHECK(Agent::ownerOf(fence, 1) == "g3");
    CHECK(Agent::ownerOf(fence, 2).empty());
}
