#include <doctest/doctest.h>
#include <map>
#include <set>

#include "Dispatch/Scheduling/Scheduler.h"

using Dispatch::Assignment;
using Dispatch::JobDemand;
using Dispatch::RetryDecision;
using Dispatch::SchedulerState;
using Schema::Reason;

namespace {

constexpr std::int64_t WallMs = 5000000;

Common::Moment at(std::int64_t ms)
{
    return {ms, WallMs + ms};
}

Schema::Configuration configuration()
{
    Schema::Configuration configuration;
    configuration.teams = {Schema::Team{"roads", {}, {}}};
    Schema::Service dispatch;
    dispatch.name = "crew-dispatch";
    Schema::Service parts;
    parts.name = "parts-check";
    configuration.services = {dispatch, parts};
    return configuration;
}

Schema::AgentHello hello(const std::string &instance, std::int64_t window = 8)
{
    Schema::AgentHello hello;
    hello.instance = instance;
    hello.backend.name = instance;
    hello.backend.failureDomain = "tunis";
    hello.backend.slots = 8;
    hello.backend.connections = 64;
    hello.backend.resources = Schema::Resources{2, 1024, 16};
    hello.window = window;
    hello.healthy = true;
    return hello;
}

JobDemand demand(const std::string &id, int tasks = 1)
{
    JobDemand demand;
    demand.id = id;
    demand.team = "roads";
    demand.caller = "patrol";
    demand.service = "crew-dispatch";
    demand.taskCount = tasks;
    demand.deadlineMs = WallMs + 30000;
    return demand;
}

SchedulerState configuredState()
{
    SchedulerState state;
    Dispatch::configureScheduler(state, configuration(), at(0));
    return state;
}

/// Admits the job and makes it runnable. Returns the tasks that are assigned at once.
std::vector<Assignment> submit(SchedulerState &state, const JobDemand &demand, std::int64_t nowMs,
                               Common::Random &random)
{
    const auto refused = Dispatch::admitJob(state, demand, at(nowMs));
    REQUIRE(!refused);
    Dispatch::setJobRunnable(state, demand.id, at(nowMs));
    return Dispatch::assignTasks(state, at(nowMs), random);
}

/// Runs 40 jobs of one task each, from which the scheduler learns \a runMs as the run time of
/// crew-dispatch.
void recordRunTimes(SchedulerState &state, double runMs, Common::Random &random)
{
    constexpr int Outcomes = 40;
    for (int index = 0; index < Outcomes; ++index) {
        const std::string id = "lesson-" + std::to_string(index);
        for (const Assignment &assignment : submit(state, demand(id), 0, random)) {
            Dispatch::taskEnded(state, assignment.task, assignment.agent, true, runMs, at(0));
        }
        Dispatch::dropJob(state, id);
    }
}

} // namespace

TEST_CASE("Only a backend server that may take a task gets it, and no more than its window")
{
    struct Row
    {
        const char *name;
        void (*change)(Schema::AgentHello &, JobDemand &);
        std::int64_t nowMs;
        std::size_t assigned;
    };
    const Row rows[] = {
            {"healthy", [](Schema::AgentHello &, JobDemand &) {}, 100, 8},
            {"small window", [](Schema::AgentHello &hello, JobDemand &) { hello.window = 3; }, 100,
             3},
            {"no window", [](Schema::AgentHello &hello, JobDemand &) { hello.window = 0; }, 100, 0},
            {"few connections",
             [](Schema::AgentHello &hello, JobDemand &) { hello.backend.connections = 2; }, 100, 2},
            {"draining", [](Schema::AgentHello &hello, JobDemand &) { hello.draining = true; }, 100,
             0},
            {"unhealthy", [](Schema::AgentHello &hello, JobDemand &) { hello.healthy = false; },
             100, 0},
            {"silent", [](Schema::AgentHello &, JobDemand &) {}, 2600, 0},
            {"other service",
             [](Schema::AgentHello &hello, JobDemand &) {
                 hello.backend.services = {"parts-check"};
             },
             100, 0},
            {"too big",
             [](Schema::AgentHello &, JobDemand &demand) {
                 demand.resources = Schema::Resources{0, 2048, 1};
             },
             100, 0},
            {"two accelerators",
             [](Schema::AgentHello &, JobDemand &demand) {
                 demand.resources = Schema::Resources{1, 100, 1};
             },
             100, 2},
            {"drained by an operator",
             [](Schema::AgentHello &hello, JobDemand &) { hello.backend.name = "drained"; }, 100,
             0},
            {"in an evacuated failure domain",
             [](Schema::AgentHello &hello, JobDemand &) {
                 hello.backend.failureDomain = "evacuated";
             },
             100, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        Common::Random random(1);
        SchedulerState state = configuredState();
        Schema::Configuration drained = configuration();
        drained.drains = {Schema::Drain{"drained"}};
        drained.evacuations = {Schema::Evacuation{"evacuated"}};
        Dispatch::configureScheduler(state, drained, at(0));
        Schema::AgentHello announced = hello("agent-1");
        JobDemand job = demand("job", 20);
        row.change(announced, job);
        Dispatch::agentHelloReceived(state, announced, at(0));
        CHECK(submit(state, job, row.nowMs, random).size() == row.assigned);
        CHECK(Dispatch::totalDemand(state) == 20 - static_cast<std::int64_t>(row.assigned));
    }
}

TEST_CASE("A job is refused as a whole, with its reason and a retry delay")
{
    struct Row
    {
        Reason reason;
        bool retries;
        void (*change)(SchedulerState &, JobDemand &);
    };
    const Row rows[] = {
            {Reason::UnknownTeam, false,
             [](SchedulerState &, JobDemand &demand) { demand.team = "nobody"; }},
            {Reason::UnknownService, false,
             [](SchedulerState &, JobDemand &demand) { demand.service = "nothing"; }},
            {Reason::DeadlinePassed, false,
             [](SchedulerState &, JobDemand &demand) { demand.deadlineMs = WallMs; }},
            {Reason::CallerLimit, true,
             [](SchedulerState &state, JobDemand &) { state.limits.maxQueuedTasksPerCaller = 50; }},
            {Reason::QueueFull, true,
             [](SchedulerState &state, JobDemand &) { state.limits.maxQueuedTasks = 50; }},
            {Reason::DeadlineUnreachable, true,
             [](SchedulerState &, JobDemand &demand) { demand.deadlineMs = WallMs + 1500; }},
            {Reason::QuotaExceeded, true,
             [](SchedulerState &state, JobDemand &demand) {
                 Schema::Configuration quota = configuration();
                 quota.teams.front().quota = 1;
                 Dispatch::configureScheduler(state, quota, at(100));
                 demand.deadlineMs = WallMs + 10000;
             }},
    };
    for (const Row &row : rows) {
        CAPTURE(Schema::enumName(row.reason));
        Common::Random random(1);
        SchedulerState state = configuredState();
        Dispatch::agentHelloReceived(state, hello("agent-1"), at(0));
        recordRunTimes(state, 300, random);
        submit(state, demand("before", 40), 0, random);
        JobDemand job = demand("job", 40);
        row.change(state, job);
        const auto refused = Dispatch::admitJob(state, job, at(100));
        REQUIRE(refused);
        CHECK(refused->reason == row.reason);
        CHECK((refused->retryAfterMs > 0) == row.retries);
        CHECK(!refused->detail.empty());
        const std::int64_t waiting = Dispatch::totalDemand(state);
        Dispatch::setJobRunnable(state, "job", at(100));
        CHECK(Dispatch::totalDemand(state) == waiting);
    }
}

TEST_CASE("The retry delay grows with the backlog")
{
    std::int64_t before = 0;
    for (const int queued : {100, 200, 360}) {
        Common::Random random(1);
        SchedulerState state = configuredState();
        Dispatch::agentHelloReceived(state, hello("agent-1"), at(0));
        recordRunTimes(state, 300, random);
        submit(state, demand("before", queued), 0, random);
        JobDemand job = demand("job");
        job.deadlineMs = WallMs + 1000;
        const auto refused = Dispatch::admitJob(state, job, at(0));
        REQUIRE(refused);
        CHECK(refused->retryAfterMs > before);
        before = refused->retryAfterMs;
    }
}

TEST_CASE("A quota holds for the region: each gateway keeps its part")
{
    Common::Random random(1);
    SchedulerState state = configuredState();
    Schema::Configuration quota = configuration();
    quota.teams.front().quota = 6;
    Dispatch::configureScheduler(state, quota, at(0));
    Dispatch::setGatewayCount(state, 3);
    Dispatch::agentHelloReceived(state, hello("agent-1"), at(0));
    const auto started = submit(state, demand("job", 5), 0, random);
    CHECK(started.size() == 2);
    Dispatch::taskEnded(state, started[0].task, started[0].agent, true, 100, at(100));
    CHECK(Dispatch::assignTasks(state, at(100), random).size() == 1);
}

TEST_CASE("A refused start waits out its back-off and is given up after its attempts")
{
    // The backend server of the only agent is down: each start is refused and no task runs. The
    // task is retried with a growing delay, and only for a limited number of attempts.
    Common::Random random(1);
    SchedulerState state = configuredState();
    Dispatch::agentHelloReceived(state, hello("agent-1"), at(0));
    std::vector<Assignment> started = submit(state, demand("job"), 0, random);
    int attempts = 0;
    std::int64_t nowMs = 0;
    RetryDecision decision = RetryDecision::Requeued;
    while (decision == RetryDecision::Requeued && nowMs < 60000) {
        if (!started.empty()) {
            attempts += 1;
            decision = Dispatch::taskNotStarted(state, started[0].task, "agent-1",
                                                Reason::BackendUnreachable, at(nowMs), random);
            CHECK(Dispatch::assignTasks(state, at(nowMs), random).empty());
        }
        nowMs += 5;
        Dispatch::agentHelloReceived(state, hello("agent-1"), at(nowMs));
        started = Dispatch::assignTasks(state, at(nowMs), random);
    }
    CHECK(decision == RetryDecision::AttemptsExhausted);
    CHECK(attempts == Dispatch::MaxStartAttempts);
    CHECK(nowMs > 1000);
    CHECK(Dispatch::totalDemand(state) == 0);
    CHECK(Dispatch::taskNotStarted(state, {"job", 0}, "agent-1", Reason::NoSlot, at(nowMs), random)
          == RetryDecision::Ignored);
}

TEST_CASE("Refused starts pause their agent only if it cannot run tasks, and once per batch")
{
    // An agent returns its eight tasks in one message. If they were cancelled or the shard changed
    // its owner, the agent can still run tasks and must get new ones at once. If its backend server
    // is down, it must get none until the pause ends.
    struct Row
    {
        Reason reason;
        std::size_t atOnce;
        std::size_t after150Ms;
    };
    const Row rows[] = {
            {Reason::Cancelled, 8, 0},      {Reason::EpochFenced, 8, 0},
            {Reason::NotAfterPassed, 8, 0}, {Reason::BackendUnreachable, 0, 8},
            {Reason::LeaseLapsed, 0, 8},
    };
    for (const Row &row : rows) {
        CAPTURE(Schema::enumName(row.reason));
        Common::Random random(1);
        SchedulerState state = configuredState();
        Dispatch::agentHelloReceived(state, hello("agent-1"), at(0));
        const auto started = submit(state, demand("first", 8), 0, random);
        REQUIRE(started.size() == 8);
        Dispatch::dropJob(state, "first");
        for (const Assignment &refused : started) {
            Dispatch::taskNotStarted(state, refused.task, refused.agent, row.reason, at(10),
                                     random);
        }
        CHECK(submit(state, demand("second", 8), 10, random).size() == row.atOnce);
        CHECK(Dispatch::assignTasks(state, at(160), random).size() == row.after150Ms);
    }
}

TEST_CASE("A job without a started task ends when its deadline cannot be met")
{
    // No backend server is free until the deadline. The job is refused as soon as the remaining
    // time is too short, not only after the deadline, so that the caller learns early that nothing
    // ran.
    Common::Random random(1);
    SchedulerState state = configuredState();
    Dispatch::agentHelloReceived(state, hello("agent-1", 1), at(0));
    recordRunTimes(state, 400, random);
    Dispatch::agentHelloReceived(state, hello("agent-1", 1), at(0));
    const auto first = submit(state, demand("first"), 0, random);
    REQUIRE(first.size() == 1);
    JobDemand late = demand("late");
    late.deadlineMs = WallMs + 1200;
    submit(state, late, 0, random);
    CHECK(Dispatch::expiredJobs(state, at(600)).empty());
    const auto expired = Dispatch::expiredJobs(state, at(1000));
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].job == "late");
    CHECK(expired[0].refusal.reason == Reason::DeadlineUnreachable);
    CHECK(Dispatch::expiredJobs(state, at(40000)).empty());
    CHECK(Dispatch::totalDemand(state) == 0);
}

TEST_CASE("Tasks of another owner count in the window of their agent")
{
    Common::Random random(1);
    SchedulerState state = configuredState();
    Dispatch::agentHelloReceived(state, hello("agent-1"), at(0));
    Dispatch::restoreJob(state, demand("job", 10), {4, 5, 6, 7, 8, 9}, at(0));
    for (const int index : {0, 1, 2, 3}) {
        Dispatch::taskAdopted(state, {"job", index}, "agent-1", at(0));
    }
    Dispatch::setJobRunnable(state, "job", at(0));
    const auto started = Dispatch::assignTasks(state, at(0), random);
    REQUIRE(started.size() == 4);
    CHECK(started[0].task.index == 4);
    CHECK(Dispatch::taskEnded(state, {"job", 1}, "agent-1", true, 50, at(50)));
    CHECK(!Dispatch::taskEnded(state, {"job", 1}, "agent-1", true, 50, at(50)));
    CHECK(Dispatch::assignTasks(state, at(50), random).size() == 1);
}

TEST_CASE("Random sequences of job and agent events violate no invariant of the scheduler")
{
    constexpr int Steps = 30000;
    Common::Random random(11);
    SchedulerState state = configuredState();
    std::map<std::string, std::int64_t> windows;
    std::map<std::string, std::int64_t> inFlightByAgent;
    std::vector<Assignment> inFlight;
    std::set<std::pair<std::string, int>> started;
    std::vector<std::string> jobs;
    std::int64_t nowMs = 0;
    const auto end = [&](std::size_t index) {
        Assignment ended = inFlight[index];
        inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(index));
        inFlightByAgent[ended.agent] -= 1;
        return ended;
    };
    for (int step = 0; step < Steps; ++step) {
        nowMs += static_cast<std::int64_t>(random() % 30);
        const std::string agent = "agent-" + std::to_string(random() % 6);
        switch (random() % 8) {
        case 0:
        case 1: {
            JobDemand job =
                    demand("job-" + std::to_string(step), 1 + static_cast<int>(random() % 9));
            job.caller = "caller-" + std::to_string(random() % 5);
            job.deadlineMs = WallMs + nowMs + static_cast<std::int64_t>(random() % 8000);
            if (!Dispatch::admitJob(state, job, at(nowMs))) {
                Dispatch::setJobRunnable(state, job.id, at(nowMs));
                jobs.push_back(job.id);
            }
            break;
        }
        case 2:
            windows[agent] = static_cast<std::int64_t>(random() % 9);
            Dispatch::agentHelloReceived(state, hello(agent, windows[agent]), at(nowMs));
            break;
        case 3:
            if (random() % 10 == 0) {
                Dispatch::agentLost(state, agent, at(nowMs));
                windows[agent] = 0;
            }
            break;
        case 4:
            if (!jobs.empty() && random() % 4 == 0) {
                Dispatch::dropJob(state, jobs[random() % jobs.size()]);
            }
            break;
        case 5:
            if (!inFlight.empty()) {
                const Assignment ended = end(random() % inFlight.size());
                if (Dispatch::taskNotStarted(state, ended.task, ended.agent, Reason::NoSlot,
                                             at(nowMs), random)
                    == RetryDecision::Requeued) {
                    started.erase({ended.task.job, ended.task.index});
                }
            }
            break;
        default:
            if (!inFlight.empty()) {
                const Assignment ended = end(random() % inFlight.size());
                CHECK(Dispatch::taskEnded(state, ended.task, ended.agent, random() % 9 != 0,
                                          static_cast<double>(random() % 500), at(nowMs)));
            }
        }
        Dispatch::expiredJobs(state, at(nowMs));
        for (const Assignment &assignment : Dispatch::assignTasks(state, at(nowMs), random)) {
            REQUIRE(started.insert({assignment.task.job, assignment.task.index}).second);
            inFlightByAgent[assignment.agent] += 1;
            REQUIRE(inFlightByAgent[assignment.agent] <= windows[assignment.agent]);
            inFlight.push_back(assignment);
        }
        REQUIRE(Dispatch::totalDemand(state) >= 0);
    }
    while (!inFlight.empty()) {
        const Assignment ended = end(0);
        CHECK(Dispatch::taskEnded(state, ended.task, ended.agent, true, 10, at(nowMs)));
    }
    for (const std::string &job : jobs) {
        Dispatch::dropJob(state, job);
    }
    CHECK(started.size() > 1000);
    CHECK(Dispatch::totalDemand(state) == 0);
    CHECK(state.queuedTasks == 0);
    CHECK(state.jobs.empty());
    CHECK(state.inFlight.empty());
    CHECK(state.queue.activeTeams.empty());
    CHECK(state.pool.inFlight == 0);
}
