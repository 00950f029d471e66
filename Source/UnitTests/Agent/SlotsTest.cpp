#include <doctest/doctest.h>

#include "AgentFixture.h"

TEST_CASE("Slots are split by demand")
{
    struct Row
    {
        const char *pattern;
        Agent::Demands demands;
        Agent::Windows windows;
    };
    const Row rows[] = {
            {"idle", {{"a", {}}, {"b", {}}, {"c", {}}}, {{"a", 8}, {"b", 8}, {"c", 8}}},
            {"one gateway", {{"a", {4, 100}}}, {{"a", 8}}},
            {"one asks", {{"a", {0, 50}}, {"b", {}}, {"c", {}}}, {{"a", 8}, {"b", 1}, {"c", 1}}},
            {"two ask", {{"a", {0, 50}}, {"b", {0, 9}}}, {{"a", 4}, {"b", 4}}},
            {"three ask",
             {{"a", {2, 50}}, {"b", {1, 9}}, {"c", {0, 80}}},
             {{"a", 3}, {"b", 2}, {"c", 3}}},
            {"small and large",
             {{"a", {0, 1}}, {"b", {0, 50}}, {"c", {0, 50}}},
             {{"a", 1}, {"b", 3}, {"c", 4}}},
            {"light", {{"a", {2, 0}}, {"b", {1, 0}}}, {{"a", 7}, {"b", 6}}},
            {"one holds all, another asks", {{"a", {8, 50}}, {"b", {0, 5}}}, {{"a", 4}, {"b", 4}}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.pattern);
        CHECK(Agent::splitSlots(8, row.demands) == row.windows);
    }
}

// Tasks wait at g1 and g2, which share the slots; then g1's burst ends. If g2 learned of its larger
// window only with the next heartbeat, slots would stay idle for up to half a second.
TEST_CASE("A gateway with waiting tasks is informed at once that its window has grown")
{
    AgentFixture site;
    site.demand = {{"g1", 50}, {"g2", 50}};
    site.join();
    site.advanceTime(600);
    CHECK(site.windowOf("g2") == 4);
    const std::size_t before = site.reports["g2"].size();
    site.demand["g1"] = 0;
    site.startMany("g1", 1);
    CHECK(site.windowOf("g2") == 7);
    CHECK(site.reports["g2"].size() == before + 1);
}

TEST_CASE("Every report contains the window")
{
    AgentFixture site;
    site.join();
    site.demand["g2"] = 30;
    site.advanceTime(600);
    site.start("g1", site.makeTask("task"));
    site.finish("task");
    CHECK(site.reports["g1"].back().window == 1);
}

// Start messages that cross a window update can exceed the slots for a moment: four starts wait in
// the queue, and the next is refused at once instead of waiting while another backend server is
// idle.
TEST_CASE("A short queue takes up crossing starts, in order")
{
    AgentFixture site;
    site.join();
    site.startMany("g1", 13);
    CHECK(site.runs.size() == 8);
    CHECK(site.refusals[Schema::Reason::NoSlot] == 1);
    site.finish("job-3");
    CHECK(site.runs.back().job == "job-8");
}

TEST_CASE("No more tasks run than there are connections")
{
    AgentFixture site;
    Schema::AgentSettings settings;
    settings.slots = 8;
    settings.connections = 3;
    CHECK(Agent::makeAgentState(settings, "a", Common::Random(1)).slots.slots == 3);
}

// Several tasks are cancelled: a queued task is reported as not started, a running one runs on and
// its real end is reported, an unknown one is ignored.
TEST_CASE("Cancelling stops only what has not started")
{
    AgentFixture site;
    site.join();
    site.startMany("g1", 10);
    Schema::Frame frame;
    frame.type = Schema::FrameType::CancelTasks;
    frame.cancelTasks = Schema::TaskRefs();
    for (const char *job : {"job-0", "job-9", "stranger"}) {
        Schema::TaskRef ref;
        ref.job = job;
        frame.cancelTasks->tasks.push_back(ref);
    }
    site.receive("g1", frame);
    CHECK(site.reportedState("g1", "job-9") == "not_started/cancelled");
    site.finish("job-0");
    CHECK(site.reportedState("g1", "job-0") == "succeeded/none");
    CHECK(site.startsOf("job-8") == 1);
    CHECK(site.startsOf("job-9") == 0);
    CHECK(site.reportedState("g1", "stranger") == "nothing");
}

// The agent gets a stop request (SIGTERM) with tasks running and queued. Running tasks are not
// aborted, and queued tasks are returned at once so that another backend server can run them. The
// agent ends only when every outcome has been acknowledged, or after its stop timeout.
TEST_CASE("A graceful stop cuts nothing and waits for acknowledgements")
{
    AgentFixture site;
    site.join();
    site.startMany("g1", 9);
    site.hellos.clear();
    site.carryOut(Agent::beginStop(site.state, site.now));
    site.flush();
    CHECK(site.reportedState("g1", "job-8") == "not_started/agent_draining");
    CHECK(site.hellos.size() == 3);
    CHECK(site.hellos.back().draining);
    site.acknowledge("g1", "job-8");
    for (int i = 0; i < 8; ++i) {
        CHECK_FALSE(Agent::stopFinished(site.state, site.now));
        site.finish("job-" + std::to_string(i));
        CHECK_FALSE(Agent::stopFinished(site.state, site.now));
        site.acknowledge("g1", "job-" + std::to_string(i));
    }
    CHECK(Agent::stopFinished(site.state, site.now));

    AgentFixture alone;
    alone.join();
    alone.startMany("g1", 1);
    alone.carryOut(Agent::beginStop(alone.state, alone.now));
    alone.advanceTime(59'000);
    CHECK_FALSE(Agent::stopFinished(alone.state, alone.now));
    alone.advanceTime(2000);
    CHECK(Agent::stopFinished(alone.state, alone.now));
}

// An operator drains the backend server and later ends the drain. An older configuration that
// arrives late, from a gateway that was cut off, must not revert either change.
TEST_CASE("A configured drain or evacuation is obeyed, ends with its removal, and never reverts")
{
    for (const bool isEvacuation : {false, true}) {
        CAPTURE(isEvacuation);
        AgentFixture site;
        site.join();
        site.state.backend.failureDomain = "beja";
        const auto configure = [&](std::int64_t version, bool drained) {
            Schema::Configuration configuration;
            configuration.version = version;
            if (drained && isEvacuation) {
                configuration.evacuations = {Schema::Evacuation{"beja"}};
            } else if (drained) {
                configuration.drains.push_back({site.state.backend.name});
            }
            Schema::Frame frame;
            frame.type = Schema::FrameType::GatewayPong;
            frame.gatewayPong = Schema::GatewayPong();
            frame.gatewayPong->instance = "g1";
            frame.gatewayPong->configuration = configuration;
            site.receive("g1", frame);
        };
        configure(5, true);
        site.start("g1", site.makeTask("drained"));
        CHECK(site.reportedState("g1", "drained") == "not_started/agent_draining");
        configure(4, false);
        CHECK(Agent::isDraining(site.state));
        configure(6, false);
        CHECK_FALSE(Agent::isDraining(site.state));
        CHECK(site.state.configVersion == 6);
    }
}

TEST_CASE("A short task costs one report: running is reported only for longer tasks")
{
    AgentFixture site;
    site.join();
    site.start("g1", site.makeTask("short"));
    site.advanceTime(100);
    CHECK(site.reportedState("g1", "short") == "nothing");
    site.finish("short");
    CHECK(site.states["g1"].size() == 1);
    site.acknowledge("g1", "short");
    site.start("g1", site.makeTask("long"));
    site.advanceTime(240);
    CHECK(site.reportedState("g1", "long") == "running/none");
    site.advanceTime(2000);
    CHECK(site.states["g1"].size() == 2);
}
