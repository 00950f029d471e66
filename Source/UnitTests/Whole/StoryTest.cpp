#include <doctest/doctest.h>

#include "World.h"

using Schema::JobOutcome;
using Schema::Reason;
using Whole::World;

namespace {

constexpr std::int64_t StartUpMs = 15'000;

std::unique_ptr<World> readySite(std::uint64_t seed, int gateways = 3, int agents = 4)
{
    auto world = Whole::makeWorld(seed, gateways, agents);
    Whole::runFor(*world, StartUpMs);
    return world;
}

int otherGateway(const World &world, int gateway)
{
    for (const int index : Whole::liveGateways(world)) {
        if (index != gateway) {
            return index;
        }
    }
    return -1;
}

void checkInvariants(World &world)
{
    Whole::checkAtEnd(world.oracle);
    for (const std::string &violation : world.oracle.violations) {
        FAIL_CHECK(violation);
    }
}

const Whole::Submission &submissionOf(const World &world, std::size_t number)
{
    return world.oracle.submissions[number];
}

/// Submits jobs to the three gateways in turn. Returns the indices of the submissions.
std::vector<std::size_t> submitJobs(World &world, int count, int tasks, std::int64_t runMs)
{
    std::vector<std::size_t> submitted(static_cast<std::size_t>(count));
    for (int job = 0; job < count; ++job) {
        submitted[static_cast<std::size_t>(job)] =
                Whole::submit(world, job % 3, Whole::newJob(world, tasks, runMs, 60'000));
    }
    return submitted;
}

int startsOf(const World &world, const std::string &job)
{
    int starts = 0;
    for (const auto &[task, count] : world.oracle.starts) {
        starts += task.first == job ? count : 0;
    }
    return starts;
}

} // namespace

TEST_CASE("Every gateway answers for a job, and a resubmission starts nothing")
{
    // A caller submits a job, submits it again to another gateway while it runs, and to a third one
    // after it has ended. All three submissions are answered as completed and each task starts
    // once.
    auto world = readySite(1);
    const Whole::JobRequest job = Whole::newJob(*world, 3, 500);
    const std::size_t first = Whole::submit(*world, 0, job);
    Whole::runFor(*world, 200);
    const std::size_t second = Whole::submit(*world, 1, job);
    Whole::runFor(*world, 2'000);
    const std::size_t third = Whole::submit(*world, 2, job);
    Whole::runFor(*world, 500);
    for (const std::size_t number : {first, second, third}) {
        REQUIRE(submissionOf(*world, number).isAnswered);
        CHECK(submissionOf(*world, number).answer.outcome == JobOutcome::Completed);
    }
    CHECK(startsOf(*world, job.id) == 3);
    checkInvariants(*world);
}

TEST_CASE("The owner is killed with tasks running")
{
    // The job's owner is killed while its tasks run. The successor claims the shard, waits until
    // the agents' lease has expired and learns from the agents which tasks run. The caller's
    // gateway forwards the request to it and gets all results. No task starts again.
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
        CAPTURE(seed);
        auto world = readySite(seed);
        const Whole::JobRequest job = Whole::newJob(*world, 4, 3'000);
        const int owner = Whole::ownerOfJob(*world, job.id);
        REQUIRE(owner >= 0);
        const std::size_t submitted = Whole::submit(*world, otherGateway(*world, owner), job);
        Whole::runFor(*world, 500);
        CHECK(startsOf(*world, job.id) == 4);
        Whole::killGateway(*world, owner);
        Whole::runFor(*world, 15'000);
        REQUIRE(submissionOf(*world, submitted).isAnswered);
        CHECK(submissionOf(*world, submitted).answer.outcome == JobOutcome::Completed);
        CHECK(startsOf(*world, job.id) == 4);
        checkInvariants(*world);
    }
}

TEST_CASE("The owner is killed with tasks still in its queue")
{
    // The owner of 24 long tasks is killed while some of them wait for the 16 slots. The successor
    // proves from a majority of gateways and from every agent that these never started, and runs
    // them.
    auto world = readySite(5);
    const Whole::JobRequest job = Whole::newJob(*world, 24, 2'000, 60'000);
    const int owner = Whole::ownerOfJob(*world, job.id);
    const std::size_t submitted = Whole::submit(*world, otherGateway(*world, owner), job);
    Whole::runFor(*world, 500);
    CHECK(startsOf(*world, job.id) < 24);
    Whole::killGateway(*world, owner);
    Whole::runFor(*world, 30'000);
    REQUIRE(submissionOf(*world, submitted).isAnswered);
    CHECK(submissionOf(*world, submitted).answer.outcome == JobOutcome::Completed);
    CHECK(startsOf(*world, job.id) == 24);
    checkInvariants(*world);
}

TEST_CASE("A failure domain fails: the owner and an agent at once")
{
    // The owner is killed together with an agent that ran some of the tasks. How these ended cannot
    // be determined, so that the answer is "unknown", never "not run", and no task starts again.
    auto world = readySite(6);
    const Whole::JobRequest job = Whole::newJob(*world, 16, 4'000, 40'000);
    const int owner = Whole::ownerOfJob(*world, job.id);
    const std::size_t submitted = Whole::submit(*world, otherGateway(*world, owner), job);
    Whole::runFor(*world, 500);
    Whole::killGateway(*world, owner);
    Whole::killAgent(*world, 0);
    Whole::runFor(*world, 60'000);
    REQUIRE(submissionOf(*world, submitted).isAnswered);
    CHECK(submissionOf(*world, submitted).answer.outcome == JobOutcome::Unknown);
    CHECK(!submissionOf(*world, submitted).answer.notRun);
    CHECK(startsOf(*world, job.id) == 16);
    checkInvariants(*world);
}

TEST_CASE("The owner is paused past its lease and woken")
{
    // The owner is paused, another gateway takes over its shards and runs a resubmission; then the
    // old owner resumes with the tasks of the first submission still in its queue. The agents know
    // the new epoch and refuse its starts.
    for (const std::uint64_t seed : {7U, 8U, 9U}) {
        CAPTURE(seed);
        auto world = readySite(seed);
        const Whole::JobRequest job = Whole::newJob(*world, 20, 300, 60'000);
        const int owner = Whole::ownerOfJob(*world, job.id);
        Whole::submit(*world, owner, job);
        Whole::runFor(*world, 20);
        Whole::pauseGateway(*world, owner, 9'000);
        Whole::runFor(*world, 1'000);
        const std::size_t again = Whole::submit(*world, otherGateway(*world, owner), job);
        Whole::runFor(*world, 40'000);
        CHECK(submissionOf(*world, again).isAnswered);
        checkInvariants(*world);
    }
}

TEST_CASE("The owner wakes with a submission and its cancellation in its sockets")
{
    // The owner is paused. Shortly before its peers consider it lost, a caller submits a job
    // through one gateway and cancels it through another; both forward to the owner. The successor
    // has no such job to cancel, then gets the submission and starts it. Meanwhile the owner
    // resumes, queues the job, cancels it and would answer "not run". It must first find out that
    // it no longer owns the job.
    int runsWithViolations = 0;
    for (const bool isConfirmed : {true, false}) {
        for (std::int64_t submitMs = 1500; submitMs <= 2400; submitMs += 300) {
            for (std::int64_t pausedMs = 3000; pausedMs <= 5500; pausedMs += 250) {
                auto world = readySite(static_cast<std::uint64_t>(pausedMs + submitMs));
                for (auto &gateway : world->gateways) {
                    gateway->state.site.ownership.settings.safeguards.confirmedAnswers =
                            isConfirmed;
                }
                Whole::JobRequest job = Whole::newJob(*world, 4, 300, 30'000);
                const int owner = Whole::ownerOfJob(*world, job.id);
                const int successor = otherGateway(*world, owner);
                const int other = 3 - owner - successor;
                Whole::pauseGateway(*world, owner, pausedMs);
                Whole::runFor(*world, submitMs);
                job.firstSubmittedMs = Whole::wallMs(*world);
                Whole::submit(*world, other, job);
                Whole::runFor(*world, 50);
                Whole::cancel(*world, successor, job.id);
                Whole::runFor(*world, 35'000);
                if (isConfirmed) {
                    checkInvariants(*world);
                    continue;
                }
                Whole::checkAtEnd(world->oracle);
                runsWithViolations += world->oracle.violations.empty() ? 0 : 1;
            }
        }
    }
    CHECK(runsWithViolations > 0);
}

TEST_CASE("An agent is paused between its check and the start")
{
    // The agent accepts a start and is paused before its request reaches the backend server;
    // meanwhile the lease expires and the shard changes its owner. The start carries the time after
    // which the backend server must refuse it, so that the task does not start after its epoch was
    // fenced.
    for (const std::uint64_t seed : {10U, 11U, 12U}) {
        CAPTURE(seed);
        auto world = readySite(seed);
        world->maxRunDelayMs = 8'000;
        const Whole::JobRequest job = Whole::newJob(*world, 16, 200, 60'000);
        const int owner = Whole::ownerOfJob(*world, job.id);
        const std::size_t submitted = Whole::submit(*world, otherGateway(*world, owner), job);
        Whole::runFor(*world, 30);
        Whole::killGateway(*world, owner);
        Whole::runFor(*world, 70'000);
        CHECK(submissionOf(*world, submitted).isAnswered);
        checkInvariants(*world);
    }
}

TEST_CASE("The log loses answers after the write")
{
    // The answers to the next three appends are lost although the records were written. The owner
    // sends the same record again under the same id; callers wait longer and each task starts once.
    auto world = readySite(13);
    world->log.answersToLose = 3;
    std::vector<std::size_t> submitted;
    for (int count = 0; count < 6; ++count) {
        submitted.push_back(Whole::submit(*world, count % 3, Whole::newJob(*world, 2, 100)));
        Whole::runFor(*world, 50);
    }
    Whole::runFor(*world, 10'000);
    for (const std::size_t number : submitted) {
        REQUIRE(submissionOf(*world, number).isAnswered);
        CHECK(submissionOf(*world, number).answer.outcome == JobOutcome::Completed);
    }
    checkInvariants(*world);
}

TEST_CASE("Work goes on while the log is out")
{
    // The log is unavailable for 25 seconds. Jobs wait until their owners have declared themselves
    // unlogged; after that jobs start at once. When the log is available again, the intents are
    // written.
    auto world = readySite(14);
    world->log.isUnavailable = true;
    Whole::runFor(*world, 6'000);
    std::vector<std::size_t> submitted;
    for (int count = 0; count < 9; ++count) {
        submitted.push_back(Whole::submit(*world, count % 3, Whole::newJob(*world, 2, 100)));
        Whole::runFor(*world, 1'000);
    }
    Whole::runFor(*world, 10'000);
    for (const std::size_t number : submitted) {
        REQUIRE(submissionOf(*world, number).isAnswered);
        CHECK(submissionOf(*world, number).answer.outcome == JobOutcome::Completed);
    }
    world->log.isUnavailable = false;
    Whole::runFor(*world, 5'000);
    std::size_t intents = 0;
    for (const Schema::LogEntry &entry : world->log.streams[Dispatch::LogStream::Journal]) {
        intents += entry.record.intents ? entry.record.intents->size() : 0;
    }
    CHECK(intents >= 9);
    checkInvariants(*world);
}

TEST_CASE("The owner is killed while the log is unavailable, and its job is resubmitted")
{
    // The owner cannot write the job's intent, declares itself unlogged after two seconds, runs the
    // job and is killed. The log becomes available again and a successor takes over. The agents
    // still hold the outcomes, so that the resubmission is answered without a second start.
    auto world = readySite(15);
    world->log.isUnavailable = true;
    Whole::runFor(*world, 6'000);
    const Whole::JobRequest job = Whole::newJob(*world, 3, 500, 90'000);
    const int owner = Whole::ownerOfJob(*world, job.id);
    Whole::submit(*world, owner, job);
    Whole::runFor(*world, 4'000);
    CHECK(startsOf(*world, job.id) == 3);
    Whole::killGateway(*world, owner);
    Whole::runFor(*world, 8'000);
    const std::size_t again = Whole::submit(*world, otherGateway(*world, owner), job);
    Whole::runFor(*world, 5'000);
    CHECK(!submissionOf(*world, again).isAnswered);
    world->log.isUnavailable = false;
    Whole::runFor(*world, 30'000);
    REQUIRE(submissionOf(*world, again).isAnswered);
    CHECK(!submissionOf(*world, again).answer.notRun);
    CHECK(startsOf(*world, job.id) == 3);
    checkInvariants(*world);
}

TEST_CASE("Connections go silent while new ones work")
{
    // All connections of an agent stay open at both ends but lose every frame. The agent opens new
    // ones, and the owner asks the agent which tasks arrived before it sends any task again.
    for (const std::uint64_t seed : {16U, 17U, 18U}) {
        CAPTURE(seed);
        auto world = readySite(seed, 3, 1);
        const std::size_t submitted =
                Whole::submit(*world, 0, Whole::newJob(*world, 4, 300, 60'000));
        Whole::runFor(*world, 8 + static_cast<std::int64_t>(seed) % 3);
        Whole::silenceLinks(*world, 0);
        Whole::runFor(*world, 30'000);
        REQUIRE(submissionOf(*world, submitted).isAnswered);
        CHECK(submissionOf(*world, submitted).answer.outcome == JobOutcome::Completed);
        checkInvariants(*world);
    }
}

TEST_CASE("A gateway stops gracefully under load")
{
    // A gateway gets a stop request while its jobs run. It hands its shards over together with the
    // jobs; every caller, including its own, gets the complete answer, and the gateway ends.
    auto world = readySite(19);
    const std::vector<std::size_t> submitted = submitJobs(*world, 12, 3, 1'500);
    Whole::runFor(*world, 300);
    Whole::stopGateway(*world, 1);
    Whole::runFor(*world, 30'000);
    for (const std::size_t number : submitted) {
        REQUIRE(submissionOf(*world, number).isAnswered);
        CHECK(submissionOf(*world, number).answer.outcome == JobOutcome::Completed);
    }
    CHECK(!world->gateways[1]->isAlive);
    checkInvariants(*world);
}

TEST_CASE("A whole site stops at once")
{
    // All gateways get a stop request together while jobs run. Each accepts what the others hand
    // over and every caller gets the complete answer. The last gateway ends too, although no other
    // is left to take over its shards.
    auto world = readySite(23);
    const std::vector<std::size_t> submitted = submitJobs(*world, 6, 2, 800);
    Whole::runFor(*world, 200);
    for (int gateway = 0; gateway < 3; ++gateway) {
        Whole::stopGateway(*world, gateway);
    }
    Whole::runFor(*world, 20'000);
    for (const std::size_t number : submitted) {
        REQUIRE(submissionOf(*world, number).isAnswered);
        CHECK(submissionOf(*world, number).answer.outcome == JobOutcome::Completed);
    }
    CHECK(Whole::liveGateways(*world).empty());
    checkInvariants(*world);
}

TEST_CASE("A resubmission after its id has expired is not answered \"not run\"")
{
    // A job ran eleven minutes ago and its id has expired. The caller submits it again: it is
    // refused as too old, no task starts, and the answer does not claim that the job never ran.
    auto world = readySite(25);
    const Whole::JobRequest job = Whole::newJob(*world, 1, 100);
    Whole::submit(*world, 0, job);
    Whole::runFor(*world, 660'000);
    const std::size_t again = Whole::submit(*world, 1, job);
    Whole::runFor(*world, 1'000);
    REQUIRE(submissionOf(*world, again).isAnswered);
    CHECK(submissionOf(*world, again).answer.reason == Reason::SubmissionTooOld);
    CHECK(!submissionOf(*world, again).answer.notRun);
    CHECK(startsOf(*world, job.id) == 1);
    checkInvariants(*world);
}

TEST_CASE("A late resubmission after owner and agents are gone is not answered \"not run\"")
{
    // A job runs, then its owner and all agents are killed. The caller resubmits it after the
    // deadline: only the journal still has the id, and the answer is "unknown", not "not run".
    auto world = readySite(26);
    const Whole::JobRequest job = Whole::newJob(*world, 4, 200, 3'000);
    const int owner = Whole::ownerOfJob(*world, job.id);
    Whole::submit(*world, owner, job);
    Whole::runFor(*world, 1'000);
    CHECK(startsOf(*world, job.id) == 4);
    Whole::killGateway(*world, owner);
    for (const int agent : Whole::liveAgents(*world)) {
        Whole::killAgent(*world, agent);
    }
    Whole::runFor(*world, 30'000);
    const std::size_t again = Whole::submit(*world, otherGateway(*world, owner), job);
    Whole::runFor(*world, 5'000);
    REQUIRE(submissionOf(*world, again).isAnswered);
    CHECK(submissionOf(*world, again).answer.outcome == JobOutcome::Unknown);
    CHECK(!submissionOf(*world, again).answer.notRun);
    checkInvariants(*world);
}

TEST_CASE("A refused job may be submitted again")
{
    // There is no backend server when the job arrives: it is refused as never runnable and answered
    // as not run. After a backend server has registered, the same id is submitted again and runs.
    auto world = readySite(24, 3, 0);
    const Whole::JobRequest job = Whole::newJob(*world, 2, 100, 60'000);
    const std::size_t refused = Whole::submit(*world, 0, job);
    Whole::runFor(*world, 12'000);
    REQUIRE(submissionOf(*world, refused).isAnswered);
    CHECK(submissionOf(*world, refused).answer.outcome == JobOutcome::Refused);
    CHECK(submissionOf(*world, refused).answer.notRun);
    world->backends.emplace_back();
    Whole::addAgent(*world, 0);
    Whole::runFor(*world, 5'000);
    const std::size_t again = Whole::submit(*world, 1, job);
    Whole::runFor(*world, 5'000);
    REQUIRE(submissionOf(*world, again).isAnswered);
    CHECK(submissionOf(*world, again).answer.outcome == JobOutcome::Completed);
    CHECK(startsOf(*world, job.id) == 2);
    checkInvariants(*world);
}

TEST_CASE("Every gateway is replaced, one by one")
{
    // Each gateway in turn is stopped after a new one has started. Jobs submitted meanwhile are
    // completed, and the id of a job submitted to the first gateways is still known at the end.
    auto world = readySite(20);
    const Whole::JobRequest early = Whole::newJob(*world, 2, 100, 200'000);
    Whole::submit(*world, 0, early);
    Whole::runFor(*world, 1'000);
    std::vector<std::size_t> submitted;
    for (int old = 0; old < 3; ++old) {
        Whole::addGateway(*world);
        Whole::runFor(*world, 20'000);
        submitted.push_back(
                Whole::submit(*world, otherGateway(*world, old), Whole::newJob(*world, 2, 400)));
        Whole::stopGateway(*world, old);
        Whole::runFor(*world, 20'000);
        CHECK(!world->gateways[static_cast<std::size_t>(old)]->isAlive);
    }
    const std::size_t again = Whole::submit(*world, Whole::liveGateways(*world).front(), early);
    Whole::runFor(*world, 5'000);
    for (const std::size_t number : submitted) {
        REQUIRE(submissionOf(*world, number).isAnswered);
        CHECK(submissionOf(*world, number).answer.outcome == JobOutcome::Completed);
    }
    REQUIRE(submissionOf(*world, again).isAnswered);
    CHECK(submissionOf(*world, again).answer.outcome == JobOutcome::Completed);
    CHECK(startsOf(*world, early.id) == 2);
    checkInvariants(*world);
}

TEST_CASE("A cancelled job stays cancelled")
{
    // A caller cancels a job of long tasks. Started tasks run on, the others never start, and a
    // resubmission shortly after the cancellation does not restart the job.
    auto world = readySite(21);
    const Whole::JobRequest job = Whole::newJob(*world, 40, 2'000, 60'000);
    const std::size_t submitted = Whole::submit(*world, 0, job);
    Whole::runFor(*world, 100);
    Whole::cancel(*world, 1, job.id);
    Whole::runFor(*world, 100);
    const std::size_t again = Whole::submit(*world, 2, job);
    Whole::runFor(*world, 20'000);
    for (const std::size_t number : {submitted, again}) {
        REQUIRE(submissionOf(*world, number).isAnswered);
        CHECK(submissionOf(*world, number).answer.reason == Reason::Cancelled);
        CHECK(!submissionOf(*world, number).answer.notRun);
    }
    CHECK(startsOf(*world, job.id) < 40);
    checkInvariants(*world);
}

TEST_CASE("A backend server that fails everything ends jobs truthfully")
{
    // One of four backend servers fails every task at once. Jobs placed there end as failed without
    // a second start; the others complete.
    auto world = readySite(22);
    world->backends[0].failsAll = true;
    for (int count = 0; count < 40; ++count) {
        Whole::submit(*world, count % 3, Whole::newJob(*world, 1, 200, 30'000));
        Whole::runFor(*world, 100);
    }
    Whole::runFor(*world, 10'000);
    int failed = 0;
    for (const Whole::Submission &submission : world->oracle.submissions) {
        REQUIRE(submission.isAnswered);
        failed += submission.answer.outcome == JobOutcome::Failed ? 1 : 0;
    }
    CHECK(failed > 0);
    CHECK(failed < 20);
    checkInvariants(*world);
}
