#include <doctest/doctest.h>
#include <ostream>
#include <utility>
#include <vector>

#include "RunnerFixture.h"
#include "TestAgents.h"

using namespace RunnerSite;
using Schema::AttemptPhase;
using Schema::Reason;

namespace {

constexpr const char *Domain = "beja";

Schema::DomainEvacuation news(std::int64_t version, bool inForce,
                              const std::string &domain = Domain)
{
    Schema::DomainEvacuation told;
    told.failureDomain = domain;
    told.version = version;
    told.inForce = inForce;
    return told;
}

Schema::EvacuationList listOf(std::vector<Schema::DomainEvacuation> evacuations,
                              std::optional<std::int64_t> completeAsOf = std::nullopt)
{
    Schema::EvacuationList list;
    list.evacuations = std::move(evacuations);
    list.completeAsOf = completeAsOf;
    return list;
}

/// An agent in the failure domain.
struct AgentThere : Fixture
{
    AgentThere() { this->state.failureDomain = Domain; }

    Effects hear(std::int64_t version, bool inForce, std::int64_t nowMs)
    {
        return evacuationsTold(this->state, listOf({news(version, inForce)}), Gateway, at(nowMs));
    }
};

/// The reports of attempts that ended for \a reason.
std::vector<Schema::AttemptState> reportsOf(const Effects &effects, Reason reason)
{
    std::vector<Schema::AttemptState> reports;
    for (const Effect &effect : effects) {
        const auto *report = std::get_if<ReportAttempt>(&effect);
        if (report != nullptr && report->state.reason == reason) {
            reports.push_back(report->state);
        }
    }
    return reports;
}

/// A gateway with an agent in each failure domain.
struct GatewayOfTwo
{
    GatewayOfTwo()
    {
        this->announce("agent-a", Domain, 0);
        this->announce("agent-b", "nabeul", 0);
    }

    Transient::Effects announce(const std::string &name, const std::string &domain,
                                std::int64_t nowMs)
    {
        Schema::AgentAnnouncement announcement = TestAgents::idleAgent(name, name + "-1");
        announcement.failureDomain = domain;
        return Transient::agentAnnounced(this->state, announcement, at(nowMs), this->random);
    }

    Transient::Effects hear(const std::vector<Schema::DomainEvacuation> &told, std::int64_t nowMs)
    {
        return Transient::evacuationsTold(this->state, listOf(told), "gateway-2", at(nowMs),
                                          this->random);
    }

    Transient::Effects submit(const std::string &id, int tasks, std::int64_t nowMs)
    {
        Transient::Submission submission;
        submission.token = id;
        submission.queue.service = "desk";
        submission.queue.attemptLimit = 1;
        submission.queue.latencyFactor = 1.6;
        submission.queue.targetLatencyMs = 60;
        submission.remainingTimeoutMs = 2000;
        submission.request.id = id;
        Transient::StepRequest step;
        step.taskCount = tasks;
        step.resources.processors = 1;
        step.expectedRunMs = 100;
        submission.request.steps.push_back(step);
        return Transient::jobSubmitted(this->state, submission, at(nowMs), this->random);
    }

    /// The agent returns the first attempt at a task, since its failure domain is evacuated.
    Transient::Effects returnTask(const std::string &agent, const std::string &task,
                                  std::int64_t nowMs)
    {
        Schema::AgentReport report;
        report.load.lastOrder = 1;
        report.states.push_back({});
        report.states.back().task = task;
        report.states.back().attempt = 1;
        report.states.back().phase = AttemptPhase::NotStarted;
        report.states.back().reason = Reason::FailureDomainEvacuated;
        return Transient::agentReported(this->state, agent, report, at(nowMs), this->random);
    }

    Transient::GatewayState state;
    Common::Random random{1};
};

std::vector<std::string> orderedAgents(const Transient::Effects &effects)
{
    std::vector<std::string> agents;
    for (const Transient::Effect &effect : effects) {
        const auto *sent = std::get_if<Transient::SendToAgent>(&effect);
        if (sent != nullptr && sent->frame.taskOrders) {
            agents.push_back(sent->agent);
        }
    }
    return agents;
}

std::optional<Transient::JobResult> answerTo(const Transient::Effects &effects)
{
    std::optional<Transient::JobResult> result;
    for (const Transient::Effect &effect : effects) {
        if (const auto *answer = std::get_if<Transient::AnswerCaller>(&effect)) {
            result = answer->result;
        }
    }
    return result;
}

} // namespace

TEST_CASE("Whatever the order of the news, the newest record decides")
{
    struct Step
    {
        std::vector<Schema::DomainEvacuation> told;
        /// Set for what the store returns.
        std::optional<std::int64_t> completeAsOf;
        bool inForce;
    };
    struct Row
    {
        const char *what;
        std::vector<Step> steps;
    };
    const Row rows[] = {
            {"evacuated and taken back",
             {{{news(4, true)}, {}, true}, {{news(6, false)}, {}, false}}},
            {"late news of an evacuation that has ended",
             {{{news(6, false)}, {}, false}, {{news(4, true)}, {}, false}}},
            {"the same domain again, and late news of its first end",
             {{{news(4, true)}, {}, true},
              {{news(9, true)}, {}, true},
              {{news(6, false)}, {}, true}}},
            {"the record of its end is no longer available",
             {{{news(4, true)}, {}, true}, {{}, 8, false}, {{news(4, true)}, {}, false}}},
            {"a read that is older than a peer's news",
             {{{news(9, true)}, {}, true}, {{}, 8, true}}},
            {"the record was dropped and written again",
             {{{news(4, true)}, 4, true}, {{}, 8, false}, {{news(12, true)}, 12, true}}},
            {"another domain",
             {{{news(4, true), news(5, true, "nabeul")}, 5, true},
              {{news(4, true)}, 7, true},
              {{news(8, false, "nabeul")}, {}, true}}},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        Transient::Evacuations known;
        for (const Step &step : row.steps) {
            Transient::mergeEvacuations(known, listOf(step.told, step.completeAsOf), at(1));
            CHECK(Transient::isEvacuated(known, Domain) == step.inForce);
        }
    }
}

TEST_CASE("The age of an evacuation is an upper limit, and is passed on")
{
    Transient::Evacuations known;
    Transient::mergeEvacuations(
            known, Transient::EvacuationRecords{{news(4, true, "before")}, 4, true}, at(900));
    Transient::confirmEvacuations(known, 1000);
    Transient::mergeEvacuations(known, Transient::EvacuationRecords{{news(9, true)}, 9, false},
                                at(1250));
    const auto told = Transient::evacuationsToTell(known, at(1300));
    CHECK(told.completeAsOf == 9);
    REQUIRE(told.evacuations.size() == 2);
    CHECK(told.evacuations[0].failureDomain == "before");
    // It was there when the process started.
    CHECK_FALSE(told.evacuations[0].ageMs.has_value());
    CHECK(told.evacuations[1].ageMs == 300);
}

TEST_CASE("A gateway that has restarted tells of an end that nobody remembers")
{
    // An agent has heard of an evacuation. It ends, the record of its end is dropped, and all
    // gateways that had read it restart: none of them knows of the evacuation any more.
    Transient::Evacuations atAgent;
    Transient::mergeEvacuations(atAgent, listOf({news(4, true)}, 4), at(1));
    Transient::Evacuations atGateway;
    Transient::mergeEvacuations(atGateway, Transient::EvacuationRecords{{}, 7, true}, at(2));
    CHECK(atGateway.change > 0);
    Transient::mergeEvacuations(atAgent, Transient::evacuationsToTell(atGateway, at(3)), at(3));
    CHECK_FALSE(Transient::isEvacuated(atAgent, Domain));
}

TEST_CASE("An agent in an evacuated failure domain starts nothing that it is ordered")
{
    // Guards against a gateway that has not heard of the evacuation.
    AgentThere site;
    CHECK(lastOf<Announce>(site.hear(4, true, 10)).has_value());
    CHECK_FALSE(isAccepting(site.state));
    const Effects effects = site.orderFrom(Gateway, "job.0.0", 20);
    CHECK_FALSE(lastOf<CallStart>(effects).has_value());
    const auto returned = reportsOf(effects, Reason::FailureDomainEvacuated);
    REQUIRE(returned.size() == 1);
    CHECK(returned[0].phase == AttemptPhase::NotStarted);
    site.hear(6, false, 30);
    CHECK(isAccepting(site.state));
    CHECK(lastOf<CallStart>(site.orderFrom(Gateway, "job.0.1", 40)).has_value());
}

TEST_CASE("Waiting tasks are returned at once, running ones end")
{
    AgentThere site;
    std::vector<CallStart> running;
    for (int task = 0; task < 8; ++task) {
        running.push_back(site.order("job.0." + std::to_string(task), 10));
        site.answer(running.back(), 11);
    }
    CHECK_FALSE(lastOf<CallStart>(site.orderFrom(Gateway, "job.0.8", 12)).has_value());
    const Effects effects = site.hear(4, true, 20);
    CHECK(reportsOf(effects, Reason::FailureDomainEvacuated).size() == 1);
    CHECK_FALSE(lastOf<CallStop>(effects).has_value());
    const Effects later = tick(site.state, at(30));
    CHECK_FALSE(lastOf<CallStop>(later).has_value());
    CHECK(site.isKnown(running.front().run));
}

TEST_CASE(
        "A task with a lost start neither runs in an evacuated failure domain nor leaves it early")
{
    // The start of a task got no answer. The task is stopped and waits for another start when the
    // failure domain is evacuated. If it went elsewhere while the lost start may still take effect
    // in the next incarnation of the backend server, it would run twice at the same time.
    AgentThere site;
    const CallStart lost = site.order("job.0.0", 10);
    startAnswered(site.state, lost.run, lost.start.number, {StartOutcome::Unanswered, {}}, at(100));
    stopAnswered(site.state, lost.start.task, lost.start.number, true, at(110));
    site.hear(4, true, 120);
    Runner::Effects effects;
    for (std::int64_t nowMs = 130; nowMs < 13'000; nowMs += 10) {
        Runner::append(effects, tick(site.state, at(nowMs)));
        if (const auto observation = lastOf<CallObserve>(effects)) {
            site.answerEmptyObservation(observation->observation, nowMs + 1);
        }
    }
    CHECK_FALSE(lastOf<CallStart>(effects).has_value());
    CHECK(reportsOf(effects, Reason::FailureDomainEvacuated).empty());
    effects.clear();
    for (std::int64_t nowMs = 13'000; nowMs < 14'000; nowMs += 10) {
        Runner::append(effects, tick(site.state, at(nowMs)));
    }
    const auto returned = reportsOf(effects, Reason::FailureDomainEvacuated);
    REQUIRE(returned.size() == 1);
    CHECK(returned[0].phase == AttemptPhase::Stopped);
}

TEST_CASE("A gateway places nothing in an evacuated failure domain")
{
    GatewayOfTwo site;
    site.hear({news(4, true)}, 10);
    const auto agents = orderedAgents(site.submit("job-1", 12, 20));
    CHECK(agents == std::vector<std::string>{"agent-b-1"});
    // An agent that connects later is in the failure domain, too.
    site.announce("agent-c", Domain, 30);
    CHECK(orderedAgents(site.submit("job-2", 4, 40)) == std::vector<std::string>{"agent-b-1"});
}

TEST_CASE("A returned task is placed elsewhere and has not used an attempt")
{
    GatewayOfTwo site;
    site.hear({news(4, true, "nabeul")}, 5);
    site.submit("job", 1, 10);
    // The gateway hears of both changes, and the agent has returned the task.
    site.hear({news(6, true), news(7, false, "nabeul")}, 20);
    const auto effects = site.returnTask("agent-a-1", "job.0.0", 30);
    CHECK(orderedAgents(effects) == std::vector<std::string>{"agent-b-1"});
    CHECK_FALSE(answerTo(effects).has_value());
}

TEST_CASE("Jobs without any backend server left are refused at once, with a reason of their own")
{
    GatewayOfTwo site;
    constexpr std::int64_t LongAfterStartMs = 10'000;
    site.hear({news(4, true)}, LongAfterStartMs);
    site.submit("waiting", 30, LongAfterStartMs);
    Schema::DomainEvacuation aged = news(5, true, "nabeul");
    aged.ageMs = 7000;
    site.hear({aged}, LongAfterStartMs + 50);
    const auto refused = answerTo(site.submit("late", 1, LongAfterStartMs + 60));
    REQUIRE(refused.has_value());
    CHECK(refused->outcome == Transient::JobOutcome::Refused);
    CHECK(refused->reason == Reason::FailureDomainEvacuated);
    // An evacuation that has lasted for 7 s is expected to last as long again.
    CHECK(refused->retryAfterMs == 7010);
    site.returnTask("agent-b-1", "waiting.0.0", LongAfterStartMs + 70);
    const auto given =
            answerTo(Transient::tick(site.state, at(LongAfterStartMs + 100), site.random));
    REQUIRE(given.has_value());
    CHECK(given->outcome == Transient::JobOutcome::GaveUp);
    CHECK(given->reason == Reason::FailureDomainEvacuated);
}

TEST_CASE("A backend server that is taken back is filled as it completes tasks")
{
    struct Row
    {
        const char *what;
        std::vector<Schema::DomainEvacuation> evacuated;
        bool isLimited;
    };
    const Row rows[] = {{"another one serves meanwhile", {news(4, true)}, true},
                        {"none serves meanwhile", {news(4, true), news(5, true, "nabeul")}, false}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        GatewayOfTwo site;
        site.hear(row.evacuated, 10);
        site.hear({news(6, false)}, 20);
        std::size_t tasks = 0;
        for (const Transient::Effect &effect : site.submit("job", 12, 30)) {
            const auto *sent = std::get_if<Transient::SendToAgent>(&effect);
            if (sent != nullptr && sent->frame.taskOrders && sent->agent == "agent-a-1") {
                tasks += sent->frame.taskOrders->tasks.size();
            }
        }
        CHECK(tasks > 0);
        CHECK((tasks <= 2) == row.isLimited);
    }
}

TEST_CASE("An agent reads the operators' records itself if its gateways' news is old")
{
    Common::Random random(1);
    Transient::Evacuations known;
    Transient::OperatorsReading reading = Transient::scheduleOperatorsReading(5000, at(0));
    std::vector<std::int64_t> reads;
    for (std::int64_t nowMs = 0; nowMs < 12'000; nowMs += 10) {
        if (nowMs < 4000) {
            Transient::confirmEvacuations(known, nowMs - 200);
        }
        if (Transient::takeOperatorsReadDue(reading, known, at(nowMs), random)) {
            reads.push_back(nowMs);
        }
    }
    REQUIRE(reads.size() > 3);
    // Early enough that the evacuation is in force after 5 s at the latest.
    CHECK(reads.front() > 5000);
    CHECK(reads.front() < 7000);
    for (std::size_t read = 1; read < reads.size(); ++read) {
        CHECK(reads[read] - reads[read - 1] >= 250);
        CHECK(reads[read] - reads[read - 1] < 2500);
    }
}
