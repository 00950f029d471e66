#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <ostream>

#include "Runner/Load.h"
#include "TestQueues.h"
#include "Transient/Admission.h"
#include "Transient/Placement.h"
#include "Transient/Transient.h"

using namespace Transient;
using TestQueues::queueAt;

namespace {

AgentView agentOf(const std::string &name, double processors, double committed, double meanLeftMs)
{
    AgentView agent;
    agent.announced.name = name;
    agent.announced.instance = name + "-1";
    agent.announced.service = "desk";
    agent.announced.accepting = true;
    agent.announced.resources.processors = processors;
    agent.announced.resources.memoryMb = 1000;
    agent.announced.labels = {"a", "rack-1"};
    agent.isConnected = true;
    agent.load.committedProcessors = committed;
    agent.load.meanLeftMs = meanLeftMs;
    constexpr std::int64_t MoreUrgent = -1;
    agent.load.urgentPriority = MoreUrgent;
    agent.load.waitMs = std::max(committed - processors, 0.0) / processors * meanLeftMs;
    return agent;
}

} // namespace

TEST_CASE("The queue with the longest matching path of the host is found")
{
    Schema::QueueTable queues;
    queues.version = 3;
    queues.queues = {queueAt("a.example", "/desk/"), queueAt("a.example", "/desk/urgent/"),
                     queueAt("b.example", "/desk/")};
    struct Row
    {
        const char *host;
        const char *path;
        const char *found;
    };
    const Row rows[] = {
            {"a.example", "/desk/1", "a.example/desk/"},
            {"a.example", "/desk/urgent/1", "a.example/desk/urgent/"},
            {"b.example", "/desk/urgent/1", "b.example/desk/"},
            {"a.example", "/des", ""},
            {"c.example", "/desk/1", ""},
    };
    for (const Row &row : rows) {
        CAPTURE(row.path);
        const Schema::JobQueue *queue = findQueue(queues, row.host, row.path);
        CHECK((queue == nullptr ? std::string() : queue->name) == row.found);
    }
}

TEST_CASE("An older queue table does not replace a newer one")
{
    Schema::QueueTable inForce;
    struct Row
    {
        std::int64_t version;
        bool accepted;
        std::int64_t after;
    };
    for (const Row &row : {Row{5, true, 5}, Row{4, false, 5}, Row{5, false, 5}, Row{9, true, 9}}) {
        Schema::QueueTable newer;
        newer.version = row.version;
        CHECK(takeQueues(inForce, newer) == row.accepted);
        CHECK(inForce.version == row.after);
    }
}

TEST_CASE("A gateway that stays behind is sent the queue table, one that reads the store is not")
{
    // Guards against tables that every gateway sends to all others with each change.
    struct Row
    {
        std::int64_t atMs;
        std::int64_t announced;
        std::int64_t inForce;
        bool isSent;
    };
    QueuesPeer peer;
    for (const Row &row :
         {Row{0, 0, 0, false}, Row{100, 0, 5, false}, Row{299, 0, 5, false}, Row{300, 0, 5, true},
          Row{500, 5, 5, false}, Row{9000, 5, 6, false}, Row{9250, 6, 7, false},
          Row{9700, 6, 8, false}, Row{9750, 6, 8, true}, Row{10'000, 6, 8, false},
          Row{10'750, 6, 8, true}, Row{11'000, 8, 8, false}}) {
        CAPTURE(row.atMs);
        const Common::Moment now{row.atMs, row.atMs};
        observeQueuesVersion(peer, row.announced, row.inForce, now);
        CHECK(takeQueuesDue(peer, now) == row.isSent);
    }
}

TEST_CASE("Reports of the load are as frequent as the weakest part of the machine allows")
{
    struct Row
    {
        double linkMbitPerS;
        double processors;
        std::size_t agents;
        std::int64_t intervalMs;
    };
    for (const Row &row : {Row{2, 0, 17, 204}, Row{25, 0, 67, 65}, Row{25, 0.12, 67, 224},
                           Row{200, 0.5, 67, 54}, Row{1000, 0.25, 11, 18}}) {
        CAPTURE(row.linkMbitPerS);
        CAPTURE(row.processors);
        const Capacity capacity = makeCapacity(row.linkMbitPerS, row.processors);
        CHECK(loadIntervalMs(capacity, row.agents) == row.intervalMs);
    }
    CHECK_FALSE(loadIntervalMs({}, 17));
}

TEST_CASE("Orders that a link has yet to carry make jobs wait, and beyond a limit refused")
{
    // Guards against heartbeats that wait for a second behind the orders of a burst.
    const Capacity narrow = makeCapacity(2, 0);
    LinkBacklog backlog;
    addToBacklog(backlog, narrow, 17'500, {1000, 1000});
    CHECK(backlogMs(backlog, narrow, {1000, 1000}) == doctest::Approx(100));
    CHECK(backlogMs(backlog, narrow, {1040, 1040}) == doctest::Approx(60));
    addToBacklog(backlog, narrow, 17'500, {1050, 1050});
    CHECK(backlogMs(backlog, narrow, {1050, 1050}) == doctest::Approx(150));
    CHECK(backlogMs(backlog, narrow, {1300, 1300}) == 0);
    addToBacklog(backlog, {}, 17'500, {1300, 1300});
    CHECK(backlogMs(backlog, {}, {1300, 1300}) == 0);

    AdmissionQuery query;
    query.predictedMs = 200;
    query.targetMs = 1500;
    query.deadlineMs = 2000;
    query.waitMs = query.linkWaitMs = 150;
    CHECK_FALSE(decideAdmission({}, query));
    query.waitMs = query.linkWaitMs = 151;
    const auto refused = decideAdmission({}, query);
    REQUIRE(refused);
    CHECK(refused->outcome == JobOutcome::Refused);
    CHECK(refused->reason == Schema::Reason::QueueFull);
    CHECK(refused->retryAfterMs >= 1000);
}

TEST_CASE("A job is refused only where it would wait and end too late")
{
    struct Row
    {
        const char *what;
        double predictedMs;
        double waitMs;
        bool refused;
    };
    const Row rows[] = {
            {"free, in time", 100, 0, false},
            {"free, and late anyhow: nothing is gained by refusing", 900, 0, false},
            {"waits, in time", 200, 50, false},
            {"waits, and ends just in time", 199, 50, false},
            {"waits, and ends hardly late", 230, 50, true},
            {"waits, and ends late", 250, 50, true},
            {"waits, past the deadline", 650, 500, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        AdmissionQuery query;
        query.predictedMs = row.predictedMs;
        query.waitMs = row.waitMs;
        query.targetMs = 200;
        query.deadlineMs = 620;
        const auto refused = decideAdmission({}, query);
        CHECK(refused.has_value() == row.refused);
        if (refused) {
            CHECK(refused->outcome == JobOutcome::Refused);
            CHECK(refused->retryAfterMs >= 1000);
        }
    }
}

TEST_CASE("Predictions are corrected by how long the last answers took")
{
    // Backend servers have become slow: answers take twice as long as predicted. A dozen
    // answers are enough to refuse a job that would end late. Without further answers the
    // correction decays.
    PredictionError error;
    AdmissionQuery query;
    query.predictedMs = 150;
    query.waitMs = 50;
    query.targetMs = 200;
    query.deadlineMs = 2000;
    CHECK(expectedStretch(error, 1000) == 1);
    for (int answer = 0; answer < 20; ++answer) {
        observeAnswer(error, 100, 200, 1000 + answer * 10);
    }
    query.stretch = expectedStretch(error, 1200);
    CHECK(query.stretch > 1.6);
    CHECK(query.stretch < 2);
    CHECK(decideAdmission({}, query).has_value());
    query.stretch = expectedStretch(error, 4200);
    CHECK(query.stretch < 1.1);
    CHECK_FALSE(decideAdmission({}, query).has_value());
    // Answers that come sooner than predicted do not lower predictions, and a single answer that
    // hung has little weight.
    PredictionError early;
    for (int answer = 0; answer < 50; ++answer) {
        observeAnswer(early, 200, 50, 1000);
    }
    CHECK(expectedStretch(early, 1000) == 1);
    PredictionError hung;
    observeAnswer(hung, 100, 10'000, 1000);
    CHECK(expectedStretch(hung, 1000) < 1.2);
}

TEST_CASE("Loads are reported less often the more gateways there are")
{
    struct Row
    {
        std::size_t gateways;
        std::int64_t intervalMs;
    };
    for (const Row &row : {Row{0, 25}, Row{1, 25}, Row{4, 25}, Row{12, 75}, Row{18, 112}}) {
        CAPTURE(row.gateways);
        CHECK(Runner::loadReportIntervalMs(row.gateways) == row.intervalMs);
    }
}

TEST_CASE("The mean wait follows from the missing processors and the time that tasks still take")
{
    CHECK(meanWaitMs(agentOf("a", 64, 50, 300), 6) == doctest::Approx(0));
    CHECK(meanWaitMs(agentOf("a", 64, 64, 300), 6.4) == doctest::Approx(30));
    CHECK(meanWaitMs(agentOf("a", 64, 128, 300), 6.4) == doctest::Approx(330));
}

TEST_CASE("Tasks that were sent after an agent's forecast are added to it")
{
    struct Row
    {
        const char *what;
        double committed;
        std::int64_t priority;
        double sentSince;
        std::int64_t sentPriority;
        double waitMs;
        std::int64_t reportedMsAgo = 0;
    };
    constexpr std::int64_t Urgent = 0;
    constexpr std::int64_t Other = 1;
    const Row rows[] = {
            {"there is room", 50, Other, 0, Other, 0},
            {"what was sent fits beside it", 50, Other, 8, Other, 0},
            {"what was sent has taken the room", 50, Other, 32, Other, 112.5},
            {"all that waits there", 128, Other, 0, Other, 250},
            {"urgent tasks pass it", 128, Urgent, 0, Other, 20},
            {"less urgent ones sent since, too", 128, Urgent, 32, Other, 20},
            {"but not urgent ones", 128, Urgent, 32, Urgent, 170},
            {"what waited a while ago", 128, Other, 0, Other, 250, 100},
            {"what was sent waits for less", 50, Other, 32, Other, 75, 100},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        AgentView agent = agentOf("a", 64, row.committed, 300);
        agent.load.waitMs = 250;
        agent.load.urgentWaitMs = 20;
        agent.load.urgentPriority = Urgent;
        countOrder(agent, row.sentSince, row.sentPriority, 1);
        CHECK(expectedWaitMs(agent, 6, row.priority, agent.loadAtMs + row.reportedMsAgo)
              == doctest::Approx(row.waitMs));
    }
}

TEST_CASE("A wait at the fast backend server weighs more than a longer run elsewhere")
{
    // With equal weights for waits and run times, all tasks would queue at the fast backend server
    // until it is no better than the slow one, which would stay idle, and urgent tasks would be
    // late behind that queue.
    struct Row
    {
        bool weighsWaits;
        double waitMs;
        std::string found;
    };
    for (const Row &row : {Row{true, 20, "fast"}, Row{true, 60, "slow"}, Row{false, 60, "fast"}}) {
        CAPTURE(row.waitMs);
        Fleet fleet;
        fleet.decisions.weighsWaits = row.weighsWaits;
        fleet.agents["fast"] = agentOf("fast", 64, 70, 100);
        fleet.agents["fast"].load.waitMs = row.waitMs;
        fleet.agents["slow"] = agentOf("slow", 64, 0, 100);
        fleet.agents["slow"].speed.logFactor = std::log(2);
        StepRequest step;
        step.resources.processors = 6;
        PlacementQuery query;
        query.service = "desk";
        query.step = &step;
        query.runMs = 100;
        query.priority = 1;
        Common::Random random(1);
        const auto placement = placeTask(fleet, query, 0, random);
        REQUIRE(placement.has_value());
        CHECK(placement->agent == row.found);
    }
}

TEST_CASE("A backend server is rated by its present speed")
{
    Fleet fleet;
    fleet.agents["slowed"] = agentOf("slowed", 64, 0, 100);
    fleet.agents["slowed"].load.slowdown = 4;
    fleet.agents["usual"] = agentOf("usual", 64, 0, 100);
    fleet.agents["usual"].speed.logFactor = std::log(2);
    StepRequest step;
    step.resources.processors = 6;
    PlacementQuery query;
    query.service = "desk";
    query.step = &step;
    query.runMs = 100;
    Common::Random random(1);
    const auto placement = placeTask(fleet, query, 0, random);
    REQUIRE(placement.has_value());
    CHECK(placement->agent == "usual");
    fleet.decisions.usesPaces = false;
    CHECK(placeTask(fleet, query, 0, random)->agent == "slowed");
}

TEST_CASE("A task goes where it ends first")
{
    struct Row
    {
        const char *what;
        double slowFactor;
        double fastCommitted;
        bool fastAccepts;
        std::string label;
        std::vector<std::string> avoided;
        std::string found;
    };
    const Row rows[] = {
            {"the faster one", 2, 0, true, "", {}, "fast"},
            {"the faster one is too full", 2, 200, true, "", {}, "slow"},
            {"the faster one is leaving", 2, 0, false, "", {}, "slow"},
            {"it failed on the faster one", 2, 0, true, "", {"fast"}, "slow"},
            {"it failed on both: better there than nowhere",
             2,
             0,
             true,
             "",
             {"fast", "slow"},
             "fast"},
            {"no one has the label", 2, 0, true, "z", {}, ""},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Fleet fleet;
        fleet.agents["fast"] = agentOf("fast", 64, row.fastCommitted, 100);
        fleet.agents["fast"].announced.accepting = row.fastAccepts;
        fleet.agents["slow"] = agentOf("slow", 64, 0, 100);
        fleet.agents["slow"].speed.logFactor = std::log(row.slowFactor);
        StepRequest step;
        step.resources.processors = 6;
        step.requiredLabel = row.label;
        PlacementQuery query;
        query.service = "desk";
        query.step = &step;
        query.runMs = 100;
        query.avoided = &row.avoided;
        Common::Random random(1);
        const auto placement = placeTask(fleet, query, 0, random);
        CHECK((placement ? placement->agent : std::string()) == row.found);
    }
}

TEST_CASE("Sent tasks count as committed until the agent reports them")
{
    AgentView agent = agentOf("a", 64, 0, 0);
    const std::int64_t first = countOrder(agent, 12, 0, 2);
    const std::int64_t second = countOrder(agent, 6, 0, 1);
    CHECK(committedProcessors(agent) == doctest::Approx(18));
    Schema::AgentLoad load;
    load.committedProcessors = 12;
    load.lastOrder = first;
    updateLoad(agent, load, 1);
    CHECK(committedProcessors(agent) == doctest::Approx(18));
    load.lastOrder = second;
    load.committedProcessors = 18;
    updateLoad(agent, load, 2);
    CHECK(committedProcessors(agent) == doctest::Approx(18));
    CHECK(agent.inFlight == 3);
}
