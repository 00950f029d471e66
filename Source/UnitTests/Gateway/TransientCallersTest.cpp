#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "Gateway/TransientCallers.h"
#include "TestSettings.h"
#include "Transient/Displacement.h"
#include "UnitTests/Platform/FakePlatform.h"
#include "UnitTests/Transient/TestAgents.h"
#include "UnitTests/Transient/TestQueues.h"

namespace {

constexpr const char *JobId = "5c0e7a21d94b36f8";
constexpr const char *Host = "desk.example";
constexpr const char *Peer = "gateway-2";
/// Far above what an answer takes.
constexpr std::chrono::seconds AnswerWait{5};

/// The servers for callers, and a control thread that is run by hand.
struct Fixture
{
    Fixture()
        : control(GatewayTests::settingsOfGateway())
        , callers(this->control, this->mailbox,
                  [this](const Transient::Effects &effects) { this->carryOut(effects); })
    {
        this->control.queues.version = 1;
        Transient::agentAnnounced(this->control.state, TestAgents::idleAgent("agent", "agent-1"),
                                  this->control.now, this->control.random);
        this->callers.start();
    }

    ~Fixture() { this->callers.stop(); }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    void setQueues(const std::vector<std::string> &paths)
    {
        this->control.queues.queues.clear();
        for (const std::string &path : paths) {
            Schema::JobQueue queue = TestQueues::queueAt(Host, path);
            queue.service = "desk";
            queue.attemptLimit = 3;
            queue.latencyFactor = 2;
            queue.targetLatencyMs = 1000;
            this->control.queues.queues.push_back(queue);
        }
    }

    /// Sends a request, whose answer can be waited for, and returns it as the control thread gets
    /// it.
    Gateway::CallerRequest send(const std::string &path)
    {
        this->answered = std::async(std::launch::async, [this, path] {
            Net::HttpClient client(1);
            Net::HttpCall made;
            made.method = "POST";
            made.url = "http://127.0.0.1:" + std::to_string(this->callers.callerPort()) + path;
            made.body = FakePlatform::jobBody({30});
            made.headers = {std::string("Host: ") + Host};
            made.timeoutMs = 20'000;
            return client.perform(made);
        });
        for (;;) {
            auto taken = this->mailbox.take(std::chrono::milliseconds(1000), 1);
            if (!taken.work.empty()) {
                return std::move(taken.work.front());
            }
        }
    }

    void carryOut(const Transient::Effects &effects)
    {
        for (const Transient::Effect &effect : effects) {
            if (const auto *answer = std::get_if<Transient::AnswerCaller>(&effect)) {
                this->answeredJobs.push_back(answer->job);
                this->callers.answer(*answer);
            } else if (const auto *sent = std::get_if<Transient::SendToGateway>(&effect)) {
                this->forwardedJobs.push_back(sent->frame.forwardedJob->job);
            }
        }
    }

    /// From now on requests wait for the control thread for longer than callers can use.
    void letRequestsWait(Gateway::CallerRequest &event)
    {
        constexpr std::int64_t LongMs = 1000;
        const std::int64_t nowMs = this->control.now.steadyMs;
        Transient::observeRequestAge(this->control.state.requestQueue, LongMs, nowMs - LongMs);
        event.arrivedMs = nowMs - LongMs;
    }

    /// Makes this gateway short of processor time beside one that takes its jobs.
    void forwardJobs()
    {
        Transient::GatewayState &state = this->control.state;
        state.shared.fromGateways = 2;
        state.shared.knownGateways = 2;
        state.capacity.processors = 0.12;
        state.forwarding.use.usedShare = 1;
        Transient::ForwardingPeer peer;
        peer.spareProcessors = 1;
        peer.budget = 10;
        peer.heardMs = this->control.now.steadyMs;
        state.forwarding.peers[Peer] = peer;
    }

    Gateway::TransientControl control;
    Gateway::TransientMailbox mailbox;
    Gateway::TransientCallers callers;
    std::future<Net::HttpResult> answered;
    std::vector<std::string> answeredJobs;
    std::vector<std::string> forwardedJobs;
};

} // namespace

TEST_CASE("A request belongs to the queue that is in force when it is handled")
{
    // Guards against an id of the queue that the path had when the request arrived: two prefixes of
    // which one begins the other give the same path two ids.
    struct Row
    {
        std::string what;
        std::string path;
        std::vector<std::string> before;
        std::vector<std::string> after;
        /// Empty if the request is refused.
        std::string id;
    };
    const std::string id = JobId;
    const Row rows[] = {
            {"the longer prefix is added", "/x/ab" + id, {"/x/"}, {"/x/", "/x/ab"}, id},
            {"the longer prefix is removed", "/x/ab" + id, {"/x/", "/x/ab"}, {"/x/"}, ""},
            {"an id of the shorter prefix becomes none",
             "/x/ab" + id.substr(2),
             {"/x/"},
             {"/x/", "/x/ab"},
             ""},
            {"an id of the shorter prefix becomes one",
             "/x/ab" + id.substr(2),
             {"/x/", "/x/ab"},
             {"/x/"},
             "ab" + id.substr(2)},
            {"the order of the queues does not matter", "/x/ab" + id, {}, {"/x/ab", "/x/"}, id},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Fixture fixture;
        fixture.setQueues(row.before);
        Gateway::CallerRequest event = fixture.send(row.path);
        fixture.setQueues(row.after);
        fixture.callers.on(event);
        const auto &jobs = fixture.control.state.jobs;
        if (row.id.empty()) {
            CHECK(fixture.answered.get().status == 400);
            CHECK(jobs.empty());
        } else {
            REQUIRE(jobs.size() == 1);
            CHECK(jobs.begin()->first == row.id);
        }
    }
}

TEST_CASE("A job has the id that its caller sent, whatever becomes of the job")
{
    // Guards against an id taken from behind the last slash on the ways on which a job does not
    // start at once.
    struct Row
    {
        std::string what;
        void (*prepare)(Fixture &, Gateway::CallerRequest &);
        std::vector<std::string> (*ids)(const Fixture &);
    };
    const Row rows[] = {
            {"admitted", [](Fixture &, Gateway::CallerRequest &) {},
             [](const Fixture &fixture) {
                 return std::vector<std::string>{fixture.control.state.jobs.begin()->first};
             }},
            {"refused unread",
             [](Fixture &fixture, Gateway::CallerRequest &event) {
                 fixture.letRequestsWait(event);
             },
             [](const Fixture &fixture) { return fixture.answeredJobs; }},
            {"forwarded", [](Fixture &fixture, Gateway::CallerRequest &) { fixture.forwardJobs(); },
             [](const Fixture &fixture) { return fixture.forwardedJobs; }},
            {"parked",
             [](Fixture &fixture, Gateway::CallerRequest &) {
                 Transient::JobRecord ending;
                 ending.id = JobId;
                 ending.queue = fixture.control.queues.queues.front();
                 ending.unsettled = 1;
                 ending.result = Transient::JobResult{Transient::JobOutcome::GaveUp,
                                                      Schema::Reason::CallerGone, 0};
                 fixture.control.state.jobs[JobId] = ending;
             },
             [](const Fixture &fixture) {
                 std::vector<std::string> ids;
                 for (const auto &[id, waiting] : fixture.control.state.parked) {
                     ids.push_back(id);
                     ids.push_back(waiting.front().request.id);
                 }
                 return ids;
             }},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Fixture fixture;
        fixture.setQueues({"/order-"});
        Gateway::CallerRequest event = fixture.send(std::string("/order-") + JobId);
        row.prepare(fixture, event);
        fixture.callers.on(event);
        const std::vector<std::string> ids = row.ids(fixture);
        CHECK_FALSE(ids.empty());
        for (const std::string &id : ids) {
            CHECK(id == JobId);
        }
    }
}

TEST_CASE("A displaced job is withdrawn and refused under the id that its caller sent")
{
    // Guards against an id taken from behind the last slash: the agent would not know the tasks to
    // return, or the answer would be that of another job.
    Fixture fixture;
    fixture.setQueues({"/order-"});
    Gateway::CallerRequest event = fixture.send(std::string("/order-") + JobId);
    fixture.callers.on(event);
    Transient::GatewayState &state = fixture.control.state;
    REQUIRE(state.jobs.size() == 1);
    constexpr double BacklogMs = 100;
    fixture.carryOut(Transient::beginDisplacement(state, state.jobs.begin()->second, "", BacklogMs,
                                                  fixture.control.now));
    Schema::AgentReport report;
    report.states.emplace_back();
    report.states.back().task = std::string(JobId) + ".0.0";
    report.states.back().attempt = 1;
    report.states.back().phase = Schema::AttemptPhase::NotStarted;
    report.states.back().reason = Schema::Reason::Withdrawn;
    fixture.carryOut(Transient::agentReported(state, "agent-1", report, fixture.control.now,
                                              fixture.control.random));
    CHECK(fixture.answeredJobs == std::vector<std::string>{JobId});
    CHECK(fixture.answered.get().status == 503);
}

TEST_CASE("A job that may have run is not refused unread")
{
    // Guards against a lookup by another id than the caller's: a job that was complete was answered
    // like one that has not run.
    Fixture fixture;
    fixture.setQueues({"/order-"});
    const Transient::JobResult complete{Transient::JobOutcome::Succeeded, Schema::Reason::None, 0};
    fixture.control.state.finished[JobId] = {complete, fixture.control.now.steadyMs + 5000,
                                             fixture.control.queues.queues.front()};
    Gateway::CallerRequest event = fixture.send(std::string("/order-") + JobId);
    fixture.letRequestsWait(event);
    fixture.callers.on(event);
    CHECK(fixture.answered.get().status == 200);
}

TEST_CASE("A job of another queue has the id of a submission")
{
    // Guards against a caller that is answered with the result of another caller's job, also where
    // that job runs at another gateway or has ended.
    struct Row
    {
        std::string what;
        void (*prepare)(Fixture &);
        void (*proceed)(Fixture &);
    };
    const auto complete = [](Fixture &fixture) {
        Schema::ForwardedResult result;
        result.outcome = Schema::TransientOutcome::Succeeded;
        result.token = "1";
        fixture.carryOut(Transient::forwardedResultReceived(
                fixture.control.state, Peer, result, fixture.control.now, fixture.control.random));
    };
    const Row rows[] = {
            {"it runs here", [](Fixture &) {}, [](Fixture &) {}},
            {"it is forwarded", [](Fixture &fixture) { fixture.forwardJobs(); }, [](Fixture &) {}},
            {"it has ended", [](Fixture &fixture) { fixture.forwardJobs(); }, complete},
    };
    for (const Row &row : rows) {
        CAPTURE(row.what);
        Fixture fixture;
        fixture.setQueues({"/checks/", "/orders/"});
        row.prepare(fixture);
        Gateway::CallerRequest first = fixture.send(std::string("/checks/") + JobId);
        fixture.callers.on(first);
        row.proceed(fixture);
        const std::future<Net::HttpResult> firstAnswer = std::move(fixture.answered);
        Gateway::CallerRequest second = fixture.send(std::string("/orders/") + JobId);
        fixture.callers.on(second);
        // A submission that has joined the other job is not answered before that ends.
        fixture.answered.wait_for(AnswerWait);
        fixture.callers.stop();
        CHECK(fixture.answered.get().status == 503);
    }
}
