#include <doctest/doctest.h>

#include "AgentFixture.h"

// A device between agent and gateway has dropped its state of the connection: nothing arrives on it
// any more, but new connections work. The agent closes the silent link, opens a new one and sends
// the reports again that the old link may have lost.
TEST_CASE("A silent link is replaced and what it may have lost is sent again")
{
    AgentFixture site;
    site.join();
    site.start("g1", site.makeTask("task"));
    const Agent::LinkNumber before = site.linkOf("g1");
    site.answering.erase("g1");
    site.advanceTime(2600);
    REQUIRE(site.closedLinks == std::vector<Agent::LinkNumber>{before});
    site.finish("task");
    site.states.clear();
    site.answering.insert("g1");
    site.advanceTime(500);
    CHECK(site.linkOf("g1") > before);
    CHECK(site.reportedState("g1", "task") == "succeeded/none");
}

// A start message is delayed on the old link and arrives after the link was replaced, when the
// owner has already asked on the new one and got the answer that the agent does not have the task.
TEST_CASE("Frames of a replaced link are dropped")
{
    AgentFixture site;
    site.join();
    const Agent::LinkNumber before = site.linkOf("g1");
    site.carryOut(Agent::linkClosed(site.state, before, site.now));
    site.advanceTime(500);
    CHECK(site.linkOf("g1") > before);
    Schema::Frame frame;
    frame.type = Schema::FrameType::StartTasks;
    frame.startTasks = Schema::StartTasks{0, {site.makeTask("stuck")}};
    site.receiveOn(before, frame);
    CHECK(site.startsOf("stuck") == 0);
    CHECK(Agent::findRecord(site.state.outcomes, {"stuck", 0}) == nullptr);
}

TEST_CASE("A gateway that cannot be reached is dialled less and less often, with jitter")
{
    AgentFixture site(1);
    site.answering.clear();
    site.advanceTime(60'000);
    CHECK(site.dials >= 8);
    CHECK(site.dials <= 25);
    std::set<std::int64_t> delays;
    Agent::Endpoint endpoint;
    for (int i = 0; i < 20; ++i) {
        endpoint.backoffMs = 5000;
        Agent::markClosed(site.state.links, endpoint, site.now);
        delays.insert(endpoint.nextDialMs - site.now.steadyMs);
    }
    CHECK(*delays.begin() >= 2500);
    CHECK(*delays.rbegin() <= 5000);
    CHECK(delays.size() > 10);
}

// The settings name one gateway; the agent learns the others from its table. A gateway that leaves
// the roster is not dialled again; one that joins is dialled.
TEST_CASE("Gateways are learned from the table")
{
    AgentFixture site;
    auto &endpoints = site.state.links.endpoints;
    endpoints.clear();
    Agent::addSettingsGateways(site.state.links, {"10.0.0.1:8082"});
    site.advanceTime(100);
    CHECK(endpoints.size() == 3);
    CHECK(Agent::leaseLeftMs(site.state.fence, site.now) > 0);
    site.table.roster[2].instance = "g4";
    site.table.roster[2].peerPort = 8085;
    site.answering.insert("g4");
    ++site.table.version;
    site.advanceTime(600);
    CHECK(Agent::findInstance(site.state.links, "g4") != nullptr);
    site.carryOut(Agent::linkClosed(site.state, site.linkOf("g3"), site.now));
    site.advanceTime(6000);
    CHECK(endpoints.size() == 3);
    CHECK(endpoints.count("10.0.0.1:8084") == 0);
}

TEST_CASE("A gateway reached by two addresses keeps one link")
{
    AgentFixture site(1);
    site.join();
    Agent::addSettingsGateways(site.state.links, {"balancer:8999"});
    site.advanceTime(20);
    Agent::Endpoint &second = site.state.links.endpoints.at("balancer:8999");
    Schema::Frame frame;
    frame.type = Schema::FrameType::GatewayPong;
    frame.gatewayPong = Schema::GatewayPong();
    frame.gatewayPong->instance = "g1";
    site.receiveOn(second.link, frame);
    CHECK(second.stage == Agent::LinkStage::Idle);
    const int dials = site.dials;
    site.advanceTime(10'000);
    CHECK(site.dials == dials);
    CHECK(site.closedLinks.size() == 1);
}

// The agent's process was paused for ten seconds. All links look silent, but their frames only wait
// to be read. Closing the links would make every gateway reconnect without need.
TEST_CASE("A pause of the agent itself is not taken for silence of its links")
{
    AgentFixture site;
    site.join();
    site.now.steadyMs += 10'000;
    site.now.wallMs += 10'000;
    site.advanceTime(1000);
    CHECK(site.closedLinks.empty());
    CHECK(site.dials == 3);
}

TEST_CASE("A frame without the member it names is counted and dropped")
{
    AgentFixture site;
    site.join();
    for (const Schema::FrameType type : {Schema::FrameType::StartTasks, Schema::FrameType::AskTasks,
                                         Schema::FrameType::PeerPing}) {
        Schema::Frame frame;
        frame.type = type;
        site.receive("g1", frame);
    }
    CHECK(site.refusals[Schema::Reason::Malformed] == 3);
}

TEST_CASE("Every gateway gets a hello in each heartbeat")
{
    AgentFixture site;
    site.join();
    site.hellos.clear();
    site.advanceTime(5000);
    CHECK(site.hellos.size() >= 27);
    CHECK(site.hellos.size() <= 33);
}
