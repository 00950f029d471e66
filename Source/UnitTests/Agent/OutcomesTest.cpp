#include <algorithm>
#include <doctest/doctest.h>

#include "AgentFixture.h"

// The owner does not trust its connection and sends the start message again: while the task runs,
// after it has ended, and after the owner has acknowledged the outcome. Each repetition is answered
// with the state of the task. Without the records of accepted tasks the task runs twice.
TEST_CASE("A repeated start is answered and never run again")
{
    for (const bool remembered : {true, false}) {
        CAPTURE(remembered);
        AgentFixture site;
        site.state.outcomes.options.repeatsRefused = remembered;
        site.join();
        const Schema::StartTask task = site.makeTask("crew");
        site.start("g1", task);
        site.start("g1", task);
        CHECK(site.startsOf("crew") == (remembered ? 1 : 2));
        if (!remembered) {
            continue;
        }
        site.finish("crew");
        site.start("g1", task);
        site.acknowledge("g1", "crew");
        site.states.clear();
        site.start("g1", site.makeTask("crew", 1, 2));
        CHECK(site.startsOf("crew") == 1);
        CHECK(site.repeats == 3);
        CHECK(site.reportedState("g1", "crew") == "succeeded/none");
    }
}

// The agent refuses a start and reports it as not started, so that the owner sends the task
// elsewhere. A delayed copy of the refused message arrives when a slot is free. Starting it now
// would run the task twice. A newer attempt of the owner, or any attempt of a later owner, is
// accepted.
TEST_CASE("A start that was refused stays refused")
{
    struct Row
    {
        bool kept;
        std::int64_t epoch;
        std::int64_t attempt;
        int starts;
    };
    const Row rows[] = {
            {true, 1, 2, 0}, {true, 1, 1, 0}, {true, 1, 3, 1}, {true, 2, 1, 1}, {false, 1, 2, 1}};
    for (const Row &row : rows) {
        CAPTURE(row.kept);
        CAPTURE(row.epoch);
        CAPTURE(row.attempt);
        AgentFixture site;
        site.state.outcomes.options.refusalsKept = row.kept;
        site.join();
        site.startMany("g1", 12);
        site.start("g1", site.makeTask("late", 1, 2));
        CHECK(site.reportedState("g1", "late") == "not_started/no_slot");
        for (int i = 0; i < 12; ++i) {
            site.finish("job-" + std::to_string(i));
        }
        site.start("g1", site.makeTask("late", row.epoch, row.attempt));
        CHECK(site.startsOf("late") == row.starts);
    }
}

TEST_CASE("A refusal is kept until its start message has expired")
{
    AgentFixture site;
    site.join();
    site.startMany("g1", 12);
    const Schema::StartTask late = site.makeTask("late");
    site.start("g1", late);
    CHECK(Agent::findRecord(site.state.outcomes, {"late", 0}) != nullptr);
    site.advanceTime(40'000);
    CHECK(Agent::findRecord(site.state.outcomes, {"late", 0}) == nullptr);
    for (int i = 0; i < 12; ++i) {
        if (site.startsOf("job-" + std::to_string(i)) == 1) {
            site.finish("job-" + std::to_string(i));
        }
    }
    site.start("g1", late);
    CHECK(site.startsOf("late") == 0);
    CHECK(site.reportedState("g1", "late") == "not_started/not_after_passed");
}

TEST_CASE("What the backend server's answer proves")
{
    struct Row
    {
        Net::HttpTransport transport;
        int status;
        const char *reportedState;
    };
    const Row rows[] = {
            {Net::HttpTransport::Answered, 200, "succeeded/none"},
            {Net::HttpTransport::Answered, 412, "not_started/not_after_passed"},
            {Net::HttpTransport::Answered, 503, "not_started/backend_refused"},
            {Net::HttpTransport::Answered, 404, "failed/task_failed"},
            {Net::HttpTransport::Answered, 500, "failed/task_failed"},
            {Net::HttpTransport::NotConnected, 0, "not_started/backend_unreachable"},
            {Net::HttpTransport::Lost, 0, "unknown/task_lost"},
            {Net::HttpTransport::TimedOut, 0, "unknown/task_lost"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.reportedState);
        AgentFixture site;
        site.join();
        site.start("g1", site.makeTask("task"));
        site.finish("task", row.status, row.transport);
        CHECK(site.reportedState("g1", "task") == row.reportedState);
    }
    Net::HttpResult unreadable;
    unreadable.transport = Net::HttpTransport::Answered;
    unreadable.status = 200;
    unreadable.body = "ok";
    CHECK(Agent::readRunAnswer(unreadable).phase == Schema::TaskPhase::Failed);
}

TEST_CASE("A final state is repeated until its owner acknowledges it")
{
    AgentFixture site;
    site.join();
    site.start("g1", site.makeTask("task"));
    site.finish("task");
    CHECK(site.states["g1"].size() == 1);
    site.advanceTime(2100);
    CHECK(site.states["g1"].size() == 3);
    site.acknowledge("g2", "task");
    site.advanceTime(1000);
    CHECK(site.states["g1"].size() == 4);
    site.acknowledge("g1", "task");
    site.advanceTime(5000);
    CHECK(site.states["g1"].size() == 4);
}

// An owner acknowledges a refusal late, when a newer attempt of the same task has already ended at
// the agent. If it counted for the newer outcome, the owner would never receive that one.
TEST_CASE("An acknowledgement of an older attempt does not acknowledge the newer state")
{
    AgentFixture site;
    site.join();
    site.startMany("g1", 12);
    site.start("g1", site.makeTask("task", 1, 1));
    site.finish("job-0");
    site.start("g1", site.makeTask("task", 1, 2));
    Agent::TaskEnd end;
    end.phase = Schema::TaskPhase::NotStarted;
    end.reason = Schema::Reason::Cancelled;
    Agent::recordEnded(site.state.outcomes, {"task", 0}, end, site.now);
    CHECK_FALSE(Agent::acknowledge(site.state.outcomes, {"task", 0}, 1));
    CHECK(Agent::acknowledge(site.state.outcomes, {"task", 0}, 2));
}

// g1 is lost while the agent runs one of its tasks and holds an outcome that is not acknowledged.
// g2 takes the shard over and asks for its tasks. The answer must contain both, and the outcome
// that g1 had acknowledged; otherwise g2 would treat them as never started. The end of the running
// task is then reported to g2.
TEST_CASE("A new owner learns everything, and later reports move to it")
{
    AgentFixture site;
    site.join();
    site.start("g1", site.makeTask("running"));
    site.start("g1", site.makeTask("ended"));
    site.start("g1", site.makeTask("acknowledged"));
    site.finish("ended");
    site.finish("acknowledged");
    site.acknowledge("g1", "acknowledged");
    site.answering.erase("g1");
    Schema::Frame frame;
    frame.type = Schema::FrameType::AskTasks;
    frame.askTasks = Schema::AskTasks{"ask-1", {{2, "g2", AgentFixture::Shard}}};
    site.receive("g2", frame);
    CHECK(site.reportedState("g2", "running") == "running/none");
    CHECK(site.reportedState("g2", "ended") == "succeeded/none");
    CHECK(site.reportedState("g2", "acknowledged") == "succeeded/none");
    CHECK(site.reports["g2"].back().answerTo == std::optional<std::string>("ask-1"));
    site.states.clear();
    site.start("g1", site.makeTask("fenced"));
    CHECK(site.reportedState("g1", "fenced") == "not_started/epoch_fenced");
    site.finish("running");
    CHECK(site.reportedState("g2", "running") == "succeeded/none");
    CHECK(site.reportedState("g1", "running") == "nothing");
}

// A planned handover: g1 hands the shard to g2 under its next epoch while tasks of the shard wait
// in the agent's queue. They must not start under the old epoch any more and are reported to g2.
TEST_CASE("Queued tasks of an older epoch are given back to the new owner")
{
    AgentFixture site;
    site.join();
    site.startMany("g1", 10);
    CHECK(site.runs.size() == 8);
    site.moveShard("g2", 2);
    CHECK(site.reportedState("g2", "job-9") == "not_started/epoch_fenced");
    CHECK(site.reportedState("g2", "job-0") == "running/none");
    site.finish("job-0");
    CHECK(site.runs.size() == 8);
    CHECK(site.reportedState("g2", "job-0") == "succeeded/none");
}

// An owner treats a task as not started, and starts it elsewhere, if the last frame of the answer
// does not list it and no earlier frame reported its end. A running task that only an earlier frame
// lists would therefore run twice.
TEST_CASE("A long answer to a new owner comes in parts, the last naming the request")
{
    AgentFixture site;
    site.join();
    constexpr int Tasks = 4500;
    for (int i = 0; i < Tasks; ++i) {
        site.start("g1", site.makeTask("job-" + std::to_string(i)));
        site.finish("job-" + std::to_string(i));
    }
    site.startMany("g1", 8, "running-");
    site.reports.clear();
    Schema::Frame frame;
    frame.type = Schema::FrameType::AskTasks;
    frame.askTasks = Schema::AskTasks{"ask-1", {{2, "g2", AgentFixture::Shard}}};
    site.receiveOn(site.linkOf("g2"), frame);
    const auto &parts = site.reports["g2"];
    REQUIRE(parts.size() == 3);
    std::size_t states = 0;
    for (const Schema::TaskStates &part : parts) {
        const bool isLast = &part == &parts.back();
        const auto running = std::count_if(part.states.begin(), part.states.end(),
                                           [](const Schema::TaskState &entry) {
                                               return entry.phase == Schema::TaskPhase::Running;
                                           });
        states += part.states.size();
        CHECK(part.answerTo.has_value() == isLast);
        CHECK(running == (isLast ? 8 : 0));
    }
    CHECK(states == Tasks + 8);
}

TEST_CASE("Memory is bounded: past its bounds starts are refused, old results are let go")
{
    AgentFixture site;
    site.state.outcomes.options.maxRecords = 4;
    site.join();
    site.startMany("g1", 5);
    CHECK(site.reportedState("g1", "job-4") == "not_started/no_slot");

    AgentFixture heavy;
    heavy.state.outcomes.options.maxResultBytes = 10;
    heavy.join();
    heavy.startMany("g1", 4);
    for (int i = 0; i < 4; ++i) {
        heavy.finish("job-" + std::to_string(i));
        heavy.acknowledge("g1", "job-" + std::to_string(i));
    }
    CHECK(heavy.state.outcomes.resultBytes <= 10);
    heavy.states.clear();
    heavy.start("g1", heavy.makeTask("job-0"));
    CHECK(heavy.reportedState("g1", "job-0") == "unknown/task_lost");
    CHECK(heavy.startsOf("job-0") == 1);
}

TEST_CASE("An outcome without acknowledgement is deleted after its retention time")
{
    AgentFixture site;
    site.state.outcomes.options.retentionMs = 5000;
    site.join();
    site.start("g1", site.makeTask("task"));
    site.finish("task");
    site.advanceTime(4000);
    CHECK(site.state.outcomes.records.size() == 1);
    site.advanceTime(3000);
    CHECK(site.state.outcomes.records.empty());
    CHECK(site.state.outcomes.pendingReports.empty());
    CHECK(site.state.outcomes.resultBytes == 0);
}
