#include <doctest/doctest.h>
#include <ostream>

#include "LoadReplay.h"
#include "RunnerFixture.h"
#include "TestAgents.h"
#include "Transient/LateBinding.h"

using RunnerSite::at;
using Schema::AttemptPhase;
using Schema::Reason;

namespace {

/// An agent whose backend server, with room for eight tasks, works on \a running tasks of 100 ms.
struct BusyAgent : RunnerSite::Fixture
{
    explicit BusyAgent(int running)
    {
        for (int task = 0; task < running; ++task) {
            this->orderLimited("busy" + std::to_string(task), {}, 10);
        }
        const std::map<Runner::RunId, Runner::Run> started = this->state.runs;
        for (const auto &[id, run] : started) {
            Runner::startAnswered(this->state, id, run.number,
                                  {Transient::StartOutcome::Started, 10}, at(10));
        }
    }

    Runner::Effects orderLimited(const std::string &task, std::optional<std::int64_t> limitMs,
                                 std::int64_t nowMs)
    {
        Schema::TaskOrders orders;
        orders.sequence = ++this->sequence;
        orders.echoMs = nowMs;
        orders.resources.processors = 1;
        orders.expectedRunMs = 100;
        orders.targetInMs = 220;
        orders.deadlineInMs = 2000;
        orders.longestWaitMs = limitMs;
        orders.tasks.push_back({1, task});
        Runner::Effects effects =
                Runner::ordersReceived(this->state, RunnerSite::Gateway, orders, at(nowMs));
        append(effects, Runner::tick(this->state, at(nowMs)));
        return effects;
    }
};

/// Names of the tasks that were returned because of their wait.
std::vector<std::string> returnedTasks(const Runner::Effects &effects)
{
    std::vector<std::string> tasks;
    for (const Runner::Effect &effect : effects) {
        const auto *report = std::get_if<Runner::ReportAttempt>(&effect);
        if (report != nullptr && report->state.reason == Reason::BackendBusy) {
            CHECK(report->state.phase == AttemptPhase::NotStarted);
            tasks.push_back(report->state.task);
        }
    }
    return tasks;
}

using Names = std::vector<std::string>;

/// A gateway with two agents that have room for one task each.
struct SharingGateway
{
    SharingGateway()
    {
        this->state.shared.knownGateways = this->state.shared.fromGateways;
        for (const char *name : {"agent-a", "agent-b"}) {
            Transient::agentAnnounced(this->state,
                                      TestAgents::idleAgent(name, std::string(name) + "-1", 1),
                                      at(0), this->random);
        }
    }

    Transient::Effects submit(const std::string &id, std::int64_t nowMs)
    {
        Transient::Submission submission;
        submission.token = id;
        submission.queue.name = "checks";
        submission.queue.service = "desk";
        submission.queue.attemptLimit = 1;
        submission.queue.latencyFactor = 1.6;
        submission.queue.targetLatencyMs = 60;
        submission.remainingTimeoutMs = 2000;
        submission.request.id = id;
        Transient::StepRequest step;
        step.taskCount = 1;
        step.resources.processors = 1;
        step.expectedRunMs = 100;
        submission.request.steps.push_back(step);
        return Transient::jobSubmitted(this->state, submission, at(nowMs), this->random);
    }

    /// The agent returns the attempt; it is full.
    Transient::Effects returnTask(const std::string &agent, std::int64_t attempt,
                                  std::int64_t nowMs)
    {
        Schema::AgentReport report;
        report.load.lastOrder = 1000;
        report.load.committedProcessors = 1;
        report.load.waitMs = 50;
        report.load.urgentWaitMs = 50;
        report.load.meanLeftMs = 50;
        report.states.push_back({});
        report.states.back().task = "job.0.0";
        report.states.back().attempt = attempt;
        report.states.back().phase = AttemptPhase::NotStarted;
        report.states.back().reason = Reason::BackendBusy;
        return Transient::agentReported(this->state, agent, report, at(nowMs), this->random);
    }

    Transient::GatewayState state;
    Common::Random random{1};
};

struct SentOrder
{
    std::string agent;
    std::optional<std::int64_t> longestWaitMs;
};

std::optional<SentOrder> sentOrder(const Transient::Effects &effects)
{
    for (const Transient::Effect &effect : effects) {
        const auto *sent = std::get_if<Transient::SendToAgent>(&effect);
        if (sent != nullptr && sent->frame.taskOrders) {
            return SentOrder{sent->agent, sent->frame.taskOrders->longestWaitMs};
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("A task that would wait longer than its order allows is returned at once")
{
    // Guards against a task that waits at a full backend server while others are idle.
    struct Row
    {
        const char *what;
        int running;
        std::optional<std::int64_t> limitMs;
        bool isReturned;
    };
    const Row rows[] = {{"there is room", 7, 10, false},
                        {"the backend server is full", 8, 10, true},
                        {"the wait is allowed", 8, 150, false},
                        {"the wait is not limited", 8, std::nullopt, false}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        BusyAgent agent(row.running);
        const Names expected = row.isReturned ? Names{"task"} : Names{};
        CHECK(returnedTasks(agent.orderLimited("task", row.limitMs, 20)) == expected);
    }
}

TEST_CASE("A task is returned when it has waited as long as its order allows")
{
    // Guards against a forecast that stays wrong: runs that were expected to end go on.
    BusyAgent agent(8);
    CHECK(returnedTasks(agent.orderLimited("task", 30, 90)).empty());
    CHECK(returnedTasks(Runner::tick(agent.state, at(119))).empty());
    CHECK(Runner::nextWakeMs(agent.state, at(119)) <= 120);
    CHECK(returnedTasks(Runner::tick(agent.state, at(120))) == Names{"task"});
}

TEST_CASE("A task whose start was sent is not returned")
{
    // Guards against two runs: the start may be carried out after the task was placed elsewhere.
    BusyAgent agent(7);
    const auto start = RunnerSite::lastOf<Runner::CallStart>(agent.orderLimited("task", 10, 20));
    REQUIRE(start.has_value());
    Runner::startAnswered(agent.state, start->run, start->start.number,
                          {Transient::StartOutcome::NoRoom, 30}, at(30));
    CHECK(returnedTasks(Runner::tick(agent.state, at(60))).empty());
    CHECK(agent.isKnown(start->run));
}

TEST_CASE("A returned task is placed elsewhere, uses no attempt, and stays after two returns")
{
    // Guards against tasks that travel between agents when all backend servers are full, and
    // against a job that fails because its task was returned.
    SharingGateway gateway;
    const auto first = sentOrder(gateway.submit("job", 1));
    REQUIRE(first.has_value());
    CHECK(first->longestWaitMs.has_value());
    const auto second = sentOrder(gateway.returnTask(first->agent, 1, 4));
    REQUIRE(second.has_value());
    CHECK(second->agent != first->agent);
    const auto third = sentOrder(gateway.returnTask(second->agent, 2, 8));
    REQUIRE(third.has_value());
    CHECK_FALSE(third->longestWaitMs.has_value());
    CHECK(gateway.state.jobs.at("job").steps[0].tasks[0].failures == 0);
}

TEST_CASE("Waits are limited only where backend servers are shared and another one has room")
{
    struct Row
    {
        const char *what;
        bool isShared;
        bool bindsLate;
        int tasksBefore;
        bool isLimited;
    };
    const Row rows[] = {{"shared", true, true, 0, true},
                        {"a site with few gateways", false, true, 0, false},
                        {"switched off", true, false, 0, false},
                        {"no other backend server has room", true, true, 1, false}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        SharingGateway gateway;
        gateway.state.shared.knownGateways = row.isShared ? gateway.state.shared.fromGateways : 1;
        gateway.state.shared.bindsLate = row.bindsLate;
        for (int task = 0; task < row.tasksBefore; ++task) {
            gateway.submit("before" + std::to_string(task), 1);
        }
        const auto order = sentOrder(gateway.submit("job", 1));
        REQUIRE(order.has_value());
        CHECK(order->longestWaitMs.has_value() == row.isLimited);
    }
}

TEST_CASE("Load replay: wide jobs of many gateways end in time where tasks may be returned")
{
    // Load: ten gateways fill eight backend servers to two thirds, by reports 100 ms old.
    constexpr int Gateways = 10;
    constexpr int Agents = 8;
    constexpr TransientSite::OfferedWork Wide{{50, 1, false}, 8, 140};
    const auto replay = [&](bool bindsLate, std::uint64_t seed) {
        auto world = TransientSite::makeWorld(seed, Gateways, Agents);
        TransientSite::runFor(*world, 2000);
        for (TransientSite::SiteGateway &gateway : world->gateways) {
            gateway.state.shared.bindsLate = bindsLate;
        }
        const std::size_t first = world->callers.size();
        TransientSite::offer(*world, Wide, TransientSite::capacityOf(*world), 0.66, 3000);
        TransientSite::runFor(*world, 2000);
        return TransientSite::countOutcomes(*world, Wide, first);
    };
    const TransientSite::Outcome with = TransientSite::sumOverSeeds(replay, true);
    const TransientSite::Outcome without = TransientSite::sumOverSeeds(replay, false);
    MESSAGE("of " << with.submitted << " in time " << with.inTime << ", late " << with.late
                  << "; without: of " << without.submitted << " in time " << without.inTime
                  << ", late " << without.late);
    CHECK(with.late * 2 < without.late);
    CHECK(with.inTime > without.inTime);
}
