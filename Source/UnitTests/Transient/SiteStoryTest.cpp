#include <algorithm>
#include <doctest/doctest.h>
#include <ostream>

#include "TransientWorld.h"

using Transient::JobOutcome;
using namespace TransientSite;

namespace {

constexpr std::int64_t StartUpMs = 1000;
constexpr ModelWork Short{100, 1, false};
constexpr ModelWork Long{900, 1, false};

std::unique_ptr<World> readySite(std::uint64_t seed, int gateways = 3, int agents = 4)
{
    auto world = makeWorld(seed, gateways, agents);
    runFor(*world, StartUpMs);
    return world;
}

void checkInvariants(const World &world)
{
    for (const std::string &violation : world.violations) {
        FAIL_CHECK(violation);
    }
}

void checkSucceeded(const World &world, std::size_t caller)
{
    REQUIRE(world.callers[caller].isAnswered);
    CHECK(world.callers[caller].result.outcome == JobOutcome::Succeeded);
}

} // namespace

TEST_CASE("A job is answered when all its tasks have ended")
{
    auto world = readySite(1);
    const std::size_t caller = submit(*world, 0, Short, 8);
    runFor(*world, 400);
    checkSucceeded(*world, caller);
    CHECK(world->starts == 8);
    checkInvariants(*world);
}

TEST_CASE("The gateway is killed with tasks running: its caller submits again and is served")
{
    // The caller's connection breaks, and after 1,300 ms it submits the same job at another
    // gateway. The agents have lost the first gateway and have stopped its runs by then, so that no
    // task runs twice at a time. The connections of a gateway that loses power are not closed: its
    // agents stop its runs when its grant lapses.
    for (const bool closesConnections : {true, false}) {
        CAPTURE(closesConnections);
        auto world = readySite(2);
        const std::size_t caller = submit(*world, 0, Long, 6, 5000);
        runFor(*world, 300);
        killGateway(*world, 0, closesConnections);
        runFor(*world, 5000);
        checkSucceeded(*world, caller);
        checkInvariants(*world);
    }
}

TEST_CASE("The caller leaves: nothing of its job runs on")
{
    // The caller's connection breaks, and it may submit the job at another gateway. The runs of
    // the job are stopped before the caller could submit again, also where the answer to a stop is
    // lost.
    auto world = readySite(3);
    const std::size_t caller = submit(*world, 0, Long, 8);
    runFor(*world, 200);
    leave(*world, caller);
    world->unansweredShare = 0.3;
    runFor(*world, ResubmitMs);
    for (const ModelBackend &backend : world->backends) {
        CHECK(backend.runs.empty());
    }
    checkInvariants(*world);
}

TEST_CASE("An agent is frozen with orders in its sockets")
{
    // The gateway treats the silent agent as lost and runs its tasks elsewhere. Meanwhile the lease
    // of the runs that the frozen agent had started lapses. When the agent resumes, it reads the
    // old orders from its sockets. The gateway's grant has lapsed by then, so it starts none of
    // them.
    for (const std::int64_t forMs : {900, 1500, 2500, 2600, 2800, 3500}) {
        CAPTURE(forMs);
        auto world = readySite(4);
        freezeAgent(*world, 1, forMs);
        constexpr int Jobs = 6;
        std::vector<std::size_t> callers;
        callers.reserve(Jobs);
        for (int job = 0; job < Jobs; ++job) {
            callers.push_back(submit(*world, job % 3, Long, 4, 8000));
        }
        runFor(*world, 9000);
        for (const std::size_t caller : callers) {
            checkSucceeded(*world, caller);
        }
        checkInvariants(*world);
    }
}

TEST_CASE("A gateway is frozen for longer than its callers wait")
{
    // The callers time out and submit again elsewhere, where their tasks run. When the gateway
    // resumes, its agents report that they have stopped everything. Its callers have disconnected,
    // so it starts nothing again.
    auto world = readySite(5);
    const std::size_t caller = submit(*world, 0, Long, 6, 2500);
    runFor(*world, 300);
    freezeGateway(*world, 0, 5000);
    runFor(*world, 9000);
    checkSucceeded(*world, caller);
    checkInvariants(*world);
}

TEST_CASE("Orders to the backend server go unanswered and are carried out late")
{
    // One call in five gets no answer; half of these take effect seconds later. The agent stops an
    // unanswered start before the task goes elsewhere, so that the late start is rejected.
    auto world = readySite(6);
    world->unansweredShare = 0.2;
    std::vector<std::size_t> callers;
    for (int job = 0; job < 40; ++job) {
        callers.push_back(submit(*world, job % 3, Short, 3, 4000));
        runFor(*world, 50);
    }
    runFor(*world, 15'000);
    int answered = 0;
    for (const std::size_t caller : callers) {
        answered += world->callers[caller].isAnswered ? 1 : 0;
    }
    CHECK(answered == 40);
    checkInvariants(*world);
}

TEST_CASE("A backend server crashes and comes back under the same id")
{
    // Its clock, its list of ends and its run numbers start from zero. What ran there runs again
    // elsewhere, and the agent uses the new incarnation.
    auto world = readySite(7, 1, 2);
    const std::size_t caller = submit(*world, 0, Long, 8, 8000);
    runFor(*world, 200);
    crashBackend(*world, 0);
    runFor(*world, 300);
    restartBackend(*world, 0);
    runFor(*world, 4000);
    checkSucceeded(*world, caller);
    const std::size_t next = submit(*world, 0, Short, 16, 4000);
    runFor(*world, 1500);
    checkSucceeded(*world, next);
    checkInvariants(*world);
}

TEST_CASE("An agent is killed and another process takes its place")
{
    // Its runs continue at the backend server until their lease lapses or the new process stops
    // them. The new process accepts orders only after it has observed that no run is left, and only
    // then may the tasks run elsewhere.
    for (const bool closesConnections : {true, false}) {
        CAPTURE(closesConnections);
        auto world = readySite(8);
        const std::size_t caller = submit(*world, 0, Long, 8, 8000);
        runFor(*world, 200);
        killAgent(*world, 0, closesConnections);
        runFor(*world, 150);
        startAgent(*world, 0);
        runFor(*world, 6000);
        checkSucceeded(*world, caller);
        checkInvariants(*world);
    }
}

TEST_CASE("A connection is reset or goes silent while tasks run")
{
    // After a reset the agent reconnects at once and its runs go on; what was sent on the lost
    // connection is sent again. A silent connection is detected by its missing heartbeats.
    for (const bool isReset : {true, false}) {
        CAPTURE(isReset);
        auto world = readySite(9);
        const std::size_t caller = submit(*world, 0, Long, 8, 8000);
        runFor(*world, 200);
        for (int agent = 0; agent < 4; ++agent) {
            if (isReset) {
                resetLink(*world, 0, agent);
            } else {
                silenceLink(*world, 0, agent);
            }
        }
        runFor(*world, 6000);
        checkSucceeded(*world, caller);
        checkInvariants(*world);
    }
}

TEST_CASE("A backend server that leaves gets nothing new")
{
    auto world = readySite(10, 1, 2);
    const std::size_t running = submit(*world, 0, Long, 8, 8000);
    runFor(*world, 100);
    backendLeaves(*world, 0);
    runFor(*world, 50);
    const std::size_t before = world->backends[0].runs.size();
    CHECK(before > 0);
    const std::size_t next = submit(*world, 0, Short, 4, 8000);
    runFor(*world, 100);
    CHECK(world->backends[0].runs.size() <= before);
    runFor(*world, 3000);
    checkSucceeded(*world, running);
    checkSucceeded(*world, next);
    checkInvariants(*world);
}

TEST_CASE("A backend server fails everything it starts")
{
    // It looks idle, since every task there ends at once. Its failed tasks are retried elsewhere
    // and it gets no more work. Jobs that can succeed do so, and a job whose task always fails is
    // answered as failed.
    auto world = readySite(11);
    world->backends[1].failsAll = true;
    int succeeded = 0;
    for (int job = 0; job < 40; ++job) {
        const std::size_t caller = submit(*world, job % 3, Short, 2, 4000);
        runFor(*world, 250);
        const Caller &submitted = world->callers[caller];
        succeeded +=
                submitted.isAnswered && submitted.result.outcome == JobOutcome::Succeeded ? 1 : 0;
    }
    CHECK(succeeded >= 38);
    const std::size_t poison = submit(*world, 0, {50, 1, true}, 1, 4000);
    runFor(*world, 1000);
    REQUIRE(world->callers[poison].isAnswered);
    CHECK(world->callers[poison].result.outcome == JobOutcome::Failed);
    checkInvariants(*world);
}

TEST_CASE("The same job at two gateways at once is answered at both or runs once at a time")
{
    auto world = readySite(12, 2, 1);
    const std::size_t first = submit(*world, 0, Short, 2, 4000);
    runFor(*world, 20);
    // The same id at the same gateway joins the job that runs.
    const int before = world->starts;
    world->callers.push_back(world->callers[first]);
    Transient::Submission again;
    again.token = world->callers.back().token = "again";
    again.queue = world->queue;
    again.remainingTimeoutMs = 4000;
    again.request.id = world->callers[first].job;
    again.request.payload = payloadOf(Short);
    again.request.steps.resize(1);
    again.request.steps[0].taskCount = 2;
    const auto effects = Transient::jobSubmitted(world->gateways[0].state, again,
                                                 {world->nowMs, world->nowMs}, world->random);
    CHECK(effects.size() == 1);
    runFor(*world, 500);
    CHECK(world->starts == before);
    checkSucceeded(*world, first);
    REQUIRE(world->callers.back().isAnswered);
    checkInvariants(*world);
}

TEST_CASE("A backend server has left while its tasks run on")
{
    // It announces that it has left and ends 30 ms later; its runs continue until then. If its
    // agent treated the runs as ended at once, the gateway would start the tasks elsewhere, and
    // each would run twice at a time until the backend server ends.
    auto world = readySite(13, 1, 2);
    const std::size_t caller = submit(*world, 0, Long, 8, 8000);
    runFor(*world, 200);
    backendEnds(*world, 0, 30);
    runFor(*world, 4000);
    checkSucceeded(*world, caller);
    checkInvariants(*world);
}

TEST_CASE("A message of a previous incarnation arrives after the next one has started")
{
    // A message of the previous incarnation was delayed; the new incarnation has been announced
    // and has started tasks by the time it arrives. If the agent took it for a third incarnation
    // that has none of these tasks, it would report them as lost while they run, and they would
    // start elsewhere as well.
    auto world = readySite(14, 1, 2);
    crashBackend(*world, 0);
    runFor(*world, 2000);
    restartBackend(*world, 0);
    runFor(*world, 300);
    const std::size_t caller = submit(*world, 0, Long, 8, 8000);
    runFor(*world, 100);
    announcePreviousIncarnation(*world, 0);
    runFor(*world, 4000);
    checkSucceeded(*world, caller);
    checkInvariants(*world);
}

TEST_CASE("A gateway loses power and then an agent dies: its caller submits again elsewhere")
{
    // The agent acts for the stopped gateway until its grant lapses, and loses power just before
    // that. Its runs continue until the lease that it renewed last has lapsed. The caller's
    // connection broke, and it submits the same job elsewhere before that lease has lapsed.
    constexpr std::int64_t BetweenMs = 690;
    for (std::int64_t afterMs = 200; afterMs < 450; afterMs += 10) {
        CAPTURE(afterMs);
        auto world = readySite(15, 2, 2);
        submit(*world, 0, {3000, 1, false}, 4, 8000);
        runFor(*world, afterMs);
        killGateway(*world, 0, false);
        startGateway(*world, 0);
        runFor(*world, BetweenMs);
        killAgent(*world, 0, false);
        runFor(*world, 4000);
        checkInvariants(*world);
    }
}

TEST_CASE("A backend server refuses stops and takes renewals after a gateway was killed")
{
    // The agent has to stop the runs that the killed gateway had ordered. Its backend server
    // refuses most calls. If it accepts no stop for a second but some observations, and each of
    // these renews the lease of everything that runs there, the tasks of the caller's second
    // submission start elsewhere while the first runs continue.
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        auto world = readySite(seed, 3, 4);
        submit(*world, 0, {3000, 1, false}, 8, 8000);
        runFor(*world, 100);
        killGateway(*world, 0, true);
        startGateway(*world, 0);
        for (ModelBackend &backend : world->backends) {
            backend.trouble.refusedShare = 0.8;
        }
        runFor(*world, ResubmitMs);
        for (ModelBackend &backend : world->backends) {
            backend.trouble.refusedShare = 0;
        }
        runFor(*world, 3000);
        checkInvariants(*world);
    }
}

TEST_CASE("No connection can be made while a start is unanswered and takes effect late")
{
    // The start takes effect seconds later, and its stop cannot be delivered. If the agent treated
    // everything there as lapsed after one lease, the unanswered start as well, the task would
    // start elsewhere. Then the late start would be executed, with a lease that counts from its
    // arrival.
    auto world = readySite(16, 1, 2);
    world->lateLeasesCountFromArrival = true;
    world->unansweredShare = 0.5;
    submit(*world, 0, {14'000, 1, false}, 12, 20'000);
    runFor(*world, 10);
    world->unansweredShare = 0;
    world->backends[0].trouble.unreachableUntilMs = world->nowMs + 1500;
    runFor(*world, 14'000);
    checkInvariants(*world);
}

TEST_CASE("A lost start reaches the next incarnation of a backend server whose agent is away")
{
    // The agent has stopped the lost start, but only the incarnation that ended knows that. The
    // next one, under the same id, takes the start before the agent can raise its fence. If the
    // task ran at another backend server by then, it would run twice at a time.
    using AgentLeaves = void (*)(World &);
    struct Row
    {
        const char *what;
        AgentLeaves leaves;
    };
    constexpr std::int64_t AwayMs = 4000;
    const Row rows[] = {{"frozen", [](World &world) { freezeAgent(world, 0, AwayMs); }},
                        {"killed", [](World &world) { killAgent(world, 0, true); }}};
    for (const Row &row : rows) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(std::string(row.what));
            CAPTURE(seed);
            auto world = readySite(seed, 1, 3);
            world->lateOrdersReachNextIncarnation = true;
            world->unansweredShare = 0.6;
            submit(*world, 0, {14'000, 1, false}, 12, 20'000);
            runFor(*world, 300);
            world->unansweredShare = 0;
            runFor(*world, 600);
            row.leaves(*world);
            crashBackend(*world, 0);
            runFor(*world, 100);
            restartBackend(*world, 0);
            runFor(*world, AwayMs);
            if (!world->agents[0].isUp) {
                startAgent(*world, 0);
            }
            runFor(*world, 10'000);
            checkInvariants(*world);
        }
    }
}

namespace {

/// For \a awayMs the agent of the first backend server with runs is frozen and gets no answers; if
/// \a isFrozen is false it runs and cannot reach the backend server.
void cutOffRuns(World &world, bool isFrozen, std::int64_t awayMs)
{
    const auto busy =
            std::find_if(world.backends.begin(), world.backends.end(),
                         [](const ModelBackend &backend) { return !backend.runs.empty(); });
    REQUIRE(busy != world.backends.end());
    const std::int64_t untilMs = world.nowMs + awayMs;
    if (isFrozen) {
        busy->trouble.muteUntilMs = untilMs;
        freezeAgent(world, static_cast<int>(busy - world.backends.begin()), awayMs);
    } else {
        busy->trouble.unreachableUntilMs = untilMs;
    }
}

} // namespace

TEST_CASE("The first run after an idle time is over when its task is sent elsewhere")
{
    // The clock of a backend server that is slow falls behind its last reading while the agent
    // makes no calls. A lease that is reckoned on that reading lasts longer.
    constexpr std::int64_t IdleTimesMs[] = {800, 2500, 5000, 9000, 12'000, 20'000, 60'000};
    constexpr std::int64_t AwayTimesMs[] = {730, 750, 770, 790, 950, 1000, 1560};
    constexpr ModelWork Long{2500, 1, false};
    for (const bool isFrozen : {false, true}) {
        for (const std::int64_t idleMs : IdleTimesMs) {
            for (const std::int64_t awayMs : AwayTimesMs) {
                CAPTURE(isFrozen);
                CAPTURE(idleMs);
                CAPTURE(awayMs);
                auto world = makeWorld(1, 3, 4);
                runFor(*world, idleMs);
                submit(*world, 0, Long, 4, 8000);
                runFor(*world, 10);
                cutOffRuns(*world, isFrozen, awayMs);
                runFor(*world, 6000);
                CHECK(world->violations.empty());
            }
        }
    }
}
