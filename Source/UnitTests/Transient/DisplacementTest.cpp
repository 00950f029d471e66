#include <doctest/doctest.h>
#include <functional>

#include "GatewayFixture.h"
#include "LoadReplay.h"

using namespace GatewayTests;
using namespace Transient;
using Schema::AttemptPhase;
using Schema::Reason;
using States = std::vector<Schema::AttemptState>;

namespace {

struct Kind
{
    std::int64_t priority = 0;
    int tasks = 0;
    std::int64_t runMs = 0;
};

constexpr Kind Long{2, 4, 800};
constexpr Kind Urgent{1, 2, 170};

/// A gateway that knows four others.
struct Site : Fixture
{
    Site() { this->state.shared.knownGateways = 5; }

    Effects submit(const std::string &id, const Kind &kind, std::int64_t nowMs)
    {
        Submission made = this->submission(id, {stepOf(kind.tasks)});
        made.queue.name += std::to_string(kind.priority);
        made.queue.priority = kind.priority;
        made.remainingTimeoutMs = 4000;
        made.request.steps[0].expectedRunMs = kind.runMs;
        return jobSubmitted(this->state, made, at(nowMs), this->random);
    }

    /// The backend server is full, and a task waits there for \a waitMs.
    Effects reportWait(double waitMs, std::int64_t nowMs, const States &states = {})
    {
        Schema::AgentReport made;
        made.load.committedProcessors = 16;
        made.load.waitMs = made.load.urgentWaitMs = waitMs;
        made.load.lastOrder = 1000;
        made.states = states;
        return agentReported(this->state, "agent-1", made, at(nowMs), this->random);
    }
};

Schema::AttemptState stateOf(int task, AttemptPhase phase, Reason reason = Reason::Withdrawn)
{
    Schema::AttemptState made;
    made.task = "long.0." + std::to_string(task);
    made.attempt = 1;
    made.phase = phase;
    made.reason = reason;
    return made;
}

States returned(int tasks)
{
    States made;
    for (int task = 0; task < tasks; ++task) {
        made.push_back(stateOf(task, AttemptPhase::NotStarted));
    }
    return made;
}

/// An urgent job displaces a long one.
Site displacing()
{
    Site site;
    site.submit("long", Long, 0);
    site.reportWait(300, 1000);
    REQUIRE(withdrawnTasks(site.submit("urgent", Urgent, 1000)).size() == 4);
    return site;
}

struct Replay
{
    TransientSite::Outcome urgent;
    int displaced = 0;
    std::int64_t longestMs = 0;
};

/// A burst of long jobs fills the backend servers, and urgent short jobs come.
void replayBurst(Replay &sum, bool displaces, std::uint64_t seed)
{
    using namespace TransientSite;
    constexpr OfferedWork First{{30, 1, false}, 4, 108};
    constexpr OfferedWork Short{{100, 1, false}, 2, 220};
    constexpr OfferedWork Burst{{600, 1, false}, 4, 1020};
    auto world = makeWorld(seed, 3, 4, {}, {8, 4, 1, 1});
    for (SiteGateway &gateway : world->gateways) {
        gateway.state.shared.displaces = displaces;
    }
    const auto offerKind = [&world](const OfferedWork &work, std::int64_t priority, double load) {
        world->queue.name = "queue" + std::to_string(priority);
        world->queue.priority = priority;
        offer(*world, work, capacityOf(*world), load, 1);
    };
    runFor(*world, 1000);
    for (int ms = 0; ms < 3000; ms += 3) {
        offerKind(First, 0, 0.2);
        offerKind(Burst, 2, ms < 1000 ? 6 : 2);
        offerKind(Short, 1, ms < 500 ? 0 : 1.5);
    }
    runFor(*world, 4000);
    CHECK(world->violations.empty());
    for (const Caller &caller : world->callers) {
        if (caller.isAnswered && caller.result.reason == Reason::Displaced) {
            ++sum.displaced;
            sum.longestMs = std::max(sum.longestMs, caller.answeredMs - caller.submittedMs);
        }
    }
    const Outcome one = countOutcomes(*world, Short, 0);
    sum.urgent.submitted += one.submitted;
    sum.urgent.inTime += one.inTime;
    sum.urgent.late += one.late;
}

} // namespace

TEST_CASE("A job that has not begun yields to a more urgent one that would be refused for its wait")
{
    // Guards against refusals of urgent jobs, and against displacement without need or gain.
    struct Row
    {
        std::string what;
        bool yields = false;
        Kind first = Long;
        Kind second = Urgent;
        double waitMs = 300;
        std::function<void(Site &)> change = [](Site &) {};
    };
    const auto isRunning = [](Site &site) {
        site.reportWait(300, 900, {stateOf(0, AttemptPhase::Running, Reason::None)});
    };
    const auto startsNow = [](Site &site) {
        site.state.jobs.at("long").steps[0].tasks[3].expectedStartMs = 900;
    };
    const auto knowsFew = [](Site &site) { site.state.shared.knownGateways = 4; };
    const auto isOff = [](Site &site) {
        switchOff(site.state, {Schema::GatewayDecision::Displacement});
    };
    const Row rows[] = {
            {"less urgent", true},
            {"as urgent, more than twice the work", true, {1, 4, 800}},
            {"as urgent, less than twice the work", false, {1, 4, 800}, {1, 8, 250}, 250},
            {"more urgent", false, {0, 4, 800}},
            {"the wait stays too long", false, Long, Urgent, 900},
            {"the most urgent tasks go first anyway", false, Long, {0, 2, 170}},
            {"a task runs", false, Long, Urgent, 300, isRunning},
            {"a start may not be known yet", false, Long, Urgent, 300, startsNow},
            {"few gateways", false, Long, Urgent, 300, knowsFew},
            {"switched off", false, Long, Urgent, 300, isOff},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Site site;
        site.submit("long", row.first, 0);
        row.change(site);
        site.reportWait(row.waitMs, 1000);
        const Effects effects = site.submit("urgent", row.second, 1000);
        CHECK(withdrawnTasks(effects).size() == (row.yields ? 4 : 0));
        CHECK(answers(effects).size() == (row.yields ? 0 : 1));
    }
}

TEST_CASE("A displaced job is refused only if all of its tasks came back as not started")
{
    // Guards against refusals, which state that nothing has run, where a task may have run.
    struct Row
    {
        AttemptPhase phase = AttemptPhase::NotStarted;
        Reason reason = Reason::Withdrawn;
        bool isRefused = false;
    };
    const Row rows[] = {
            {AttemptPhase::NotStarted, Reason::Withdrawn, true},
            {AttemptPhase::NotStarted, Reason::BackendBusy, true},
            {AttemptPhase::NotStarted, Reason::AgentLost},
            {AttemptPhase::Running, Reason::None},
            {AttemptPhase::Stopped, Reason::Withdrawn},
            {AttemptPhase::Failed, Reason::TaskFailed},
            {AttemptPhase::Succeeded, Reason::None},
    };
    for (const Row &row : rows) {
        CAPTURE(Schema::enumName(row.phase) + ' ' + Schema::enumName(row.reason));
        Site site = displacing();
        Effects effects = site.reportWait(0, 1010, returned(3));
        CHECK((answers(effects).empty() && orderedTasks(effects).empty()));
        effects = site.reportWait(0, 1020, {stateOf(3, row.phase, row.reason)});
        REQUIRE(answers(effects).size() == (row.isRefused ? 1 : 0));
        if (row.isRefused) {
            CHECK(answers(effects)[0].outcome == JobOutcome::Refused);
            CHECK(answers(effects)[0].reason == Reason::Displaced);
            CHECK(answers(effects)[0].retryAfterMs >= 1000);
            continue;
        }
        CHECK(orderedTasks(effects).size() >= 3);
        site.reportWait(300, 1500);
        CHECK(withdrawnTasks(site.submit("next", Urgent, 1500)).empty());
    }
}

TEST_CASE("A displaced job at a lost agent, or whose caller leaves, is not refused")
{
    // Guards against a refusal while tasks may run at an agent that cannot be reached.
    Site lost = displacing();
    handleAgentDisconnected(lost.state, "agent-1", at(1005));
    CHECK(answers(tick(lost.state, at(3900), lost.random)).empty());
    const auto ends = answers(tick(lost.state, at(4000), lost.random));
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].outcome == JobOutcome::GaveUp);
    // Guards against a withdrawal that is lost with its connection.
    Site back = displacing();
    handleAgentDisconnected(back.state, "agent-1", at(1005));
    Schema::AgentAnnouncement again = TestAgents::idleAgent("agent", "agent-1");
    again.held = {{1, "long.0.0"}, {1, "long.0.1"}, {1, "long.0.2"}};
    CHECK(withdrawnTasks(agentAnnounced(back.state, again, at(1100), back.random)).size() == 3);
    // Guards against a second answer, and against a record that stays.
    Site left = displacing();
    handleCallerDisconnected(left.state, "long-token1", at(1005));
    CHECK(answers(left.reportWait(0, 1010, returned(4))).empty());
    CHECK(left.state.jobs.count("long") == 0);
}

TEST_CASE("A job that cannot end before its deadline yields where backend servers are shared")
{
    // Guards against callers that wait until their deadline for a job that has not begun.
    for (const std::size_t gateways : {4U, 5U}) {
        Site site;
        site.state.shared.knownGateways = gateways;
        site.submit("long", Long, 0);
        CHECK(withdrawnTasks(tick(site.state, at(3190), site.random)).empty());
        CHECK(withdrawnTasks(tick(site.state, at(3220), site.random)).size()
              == (gateways == 5 ? 4 : 0));
    }
}

TEST_CASE("Load replay: after a burst of long jobs, more urgent ones are served with displacement")
{
    // Guards against refusals of urgent jobs while long ones that have not begun keep their place.
    Replay with;
    Replay without;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        replayBurst(with, true, seed);
        replayBurst(without, false, seed);
    }
    MESSAGE("late " << with.urgent.late << ", without " << without.urgent.late << "; in time "
                    << with.urgent.inTime << " of " << with.urgent.submitted << ", without "
                    << without.urgent.inTime << " of " << without.urgent.submitted << "; displaced "
                    << with.displaced << " after at most " << with.longestMs << " ms");
    CHECK(with.urgent.inTime > 1.3 * without.urgent.inTime);
    CHECK(with.displaced > 0);
    CHECK(with.longestMs < 1020);
}
