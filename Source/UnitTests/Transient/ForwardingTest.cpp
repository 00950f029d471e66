#include <doctest/doctest.h>
#include <ostream>

#include "ForwardingFixture.h"

using namespace Transient;
using ForwardingFixture::TwoGateways;
using Schema::Reason;

TEST_CASE("Only a gateway short of processor time on a shared site forwards")
{
    // Guards against forwarding where it is disabled, or to a gateway that cannot take the job.
    struct Row
    {
        const char *what;
        void (*change)(TwoGateways &);
        bool forwards;
    };
    const Row rows[] = {
            {"short of processor time", [](TwoGateways &) {}, true},
            {"few gateways", [](TwoGateways &all) { all.weak.shared.knownGateways = 4; }, false},
            {"disabled", [](TwoGateways &all) { all.weak.shared.forwards = false; }, false},
            {"stopping", [](TwoGateways &all) { beginStop(all.weak, 900, all.now()); }, false},
            {"processor time left",
             [](TwoGateways &all) { all.weak.forwarding.use.usedShare = 0.45; }, false},
            {"processors unknown", [](TwoGateways &all) { all.weak.capacity.processors = 0; },
             false},
            {"peer has little to spare",
             [](TwoGateways &all) { all.strong.forwarding.use.usedShare = 0.4; }, false},
            {"peer stops", [](TwoGateways &all) { beginStop(all.strong, 900, all.now()); }, false}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        TwoGateways all;
        row.change(all);
        all.announce();
        all.submit("a");
        CHECK(all.toStrong.size() == (row.forwards ? 1 : 0));
    }
}

TEST_CASE("The result of a forwarded job answers all its requests")
{
    // Guards against a second run for a repeated submission, and against lost answers.
    TwoGateways all;
    all.submit("a");
    all.submit("b");
    CHECK(all.toStrong.size() == 1);
    all.exchange();
    CHECK(all.strong.jobs.count("job") == 1);
    CHECK(all.weak.jobs.empty());
    all.report(Schema::AttemptPhase::Succeeded);
    all.exchange();
    all.submit("late");
    REQUIRE(all.answers.size() == 3);
    for (const AnswerCaller &answer : all.answers) {
        CHECK(answer.result.outcome == JobOutcome::Succeeded);
    }
    CHECK(all.weak.forwarding.out.empty());
    CHECK(all.strong.forwarding.in.empty());
}

TEST_CASE("A forwarded job whose callers have left is not submitted again before it has ended")
{
    // Guards against a run for the next submission beside the task that is being withdrawn.
    TwoGateways all;
    all.submit("a");
    all.exchange();
    all.carryOut(all.weak, handleCallerDisconnected(all.weak, "a", all.now()));
    all.exchange();
    CHECK(all.strong.jobs.at("job").result.has_value());
    all.submit("b");
    all.tickAt(100'100);
    CHECK(all.weak.parked.at("job").size() == 1);
    all.report(Schema::AttemptPhase::Stopped);
    all.tickAt(100'200);
    all.exchange();
    CHECK(all.weak.forwarding.out.empty());
    CHECK(all.weak.parked.empty());
    CHECK(all.strong.forwarding.in.empty());
}

TEST_CASE("Forwarded jobs of a lost link are given up once nothing of them can run")
{
    // Guards against an answer after which the caller submits a job that still runs.
    TwoGateways all;
    all.submit("a");
    all.exchange();
    all.carryOut(all.weak, handlePeerLost(all.weak, "strong", all.now()));
    all.carryOut(all.strong, handlePeerLost(all.strong, "weak", all.now()));
    CHECK(all.strong.jobs.at("job").result.has_value());
    all.tickAt(101'600);
    CHECK(all.answers.empty());
    all.tickAt(101'700);
    REQUIRE(all.answers.size() == 1);
    CHECK(all.answers[0].result.outcome == JobOutcome::GaveUp);
    CHECK(all.answers[0].result.reason == Reason::ForwardingFailed);
    CHECK(all.weak.forwarding.out.empty());
}

TEST_CASE("A forwarded job that arrives late is admitted by its sender")
{
    // Guards against starts by a gateway that was frozen while the job was given up.
    TwoGateways all;
    all.submit("a");
    all.nowMs += 801;
    all.exchange();
    CHECK(all.strong.jobs.empty());
    CHECK(all.weak.jobs.count("job") == 1);
    CHECK(all.weak.forwarding.out.empty());
}
