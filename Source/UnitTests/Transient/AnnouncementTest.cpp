#include <doctest/doctest.h>
#include <vector>

#include "Runner/Load.h"
#include "RunnerFixture.h"

using namespace RunnerSite;

namespace {

constexpr bool Ready = false;
constexpr bool Leaving = true;
constexpr std::int64_t StepMs = 10;

/// An announcement after which the incarnation with the start time \a presentStartedAtMs answers
/// all observations for \a thenMs. With a start time of 0 another backend server answers.
struct Step
{
    const char *id;
    std::int64_t startedAtMs;
    std::int64_t sequence;
    bool leaving;
    std::int64_t presentStartedAtMs;
    std::int64_t thenMs;
};

/// Plays announcements to an agent, and the answers to its observations.
struct Announcements
{
    void play(const Step &step)
    {
        Transient::BackendAnnouncement announcement = this->site.announced();
        announcement.id = step.id;
        announcement.startedAtMs = step.startedAtMs;
        announcement.sequence = step.sequence;
        announcement.leaving = step.leaving;
        backendAnnounced(this->site.state, announcement, at(this->nowMs));
        const std::int64_t untilMs = this->nowMs + step.thenMs;
        for (; this->nowMs < untilMs; this->nowMs += StepMs) {
            this->answerObservation(step.presentStartedAtMs);
        }
    }

    void answerObservation(std::int64_t presentStartedAtMs)
    {
        const auto call = lastOf<CallObserve>(tick(this->site.state, at(this->nowMs)));
        if (!call) {
            return;
        }
        if (presentStartedAtMs != 0) {
            this->site.seen(call->observation, this->nowMs + 1, presentStartedAtMs);
            return;
        }
        failPending(this->site, ObserveOutcome::OtherIncarnation, this->nowMs + 1);
    }

    /// Whether a task that is ordered now is started.
    bool starts(const char *task)
    {
        return lastOf<CallStart>(this->site.orderFrom(Gateway, task, this->nowMs)).has_value();
    }

    Fixture site;
    std::int64_t nowMs = 1000;
};

} // namespace

TEST_CASE("A leaving that was announced is not forgotten, whatever is announced before or after it")
{
    // Guards against tasks that start on a backend server long after it was told that its leaving
    // is known.
    struct Row
    {
        const char *what;
        std::vector<Step> steps;
        bool starts = false;
    };
    const Row rows[] = {
            {"it does not leave",
             {{"backend-1", 900, 1, Ready, 900, 100},
              {"backend-0", 950, 7, Ready, 0, 1500},
              {"backend-1", 900, 2, Ready, 900, 100}},
             true},
            {"it does not leave, and its time of day was set back",
             {{"backend-1", 900, 1, Ready, 900, 100}, {"backend-1", 500, 1, Ready, 500, 100}},
             true},
            {"the previous one has left",
             {{"backend-1", 900, 1, Leaving, 900, 100}, {"backend-1", 950, 1, Ready, 950, 100}},
             true},
            {"nothing else is announced", {{"backend-1", 1, 2, Leaving, 1, 100}}},
            {"it is announced again after another one seemed to have replaced it",
             {{"backend-1", 900, 1, Ready, 900, 100},
              {"backend-0", 950, 7, Ready, 0, 1500},
              {"backend-1", 900, 2, Ready, 900, 100},
              {"backend-1", 900, 3, Leaving, 900, 100}}},
            {"its time of day was set back before it started under the same id",
             {{"backend-1", 900, 1, Ready, 900, 100},
              {"backend-1", 500, 1, Ready, 500, 100},
              {"backend-1", 500, 2, Leaving, 500, 100}}},
            {"its leaving arrives before it is known to have replaced the previous one",
             {{"backend-1", 900, 1, Ready, 900, 100}, {"backend-1", 500, 2, Leaving, 500, 100}}},
            {"a later announcement overtakes it",
             {{"backend-1", 1, 8, Ready, 1, 100}, {"backend-1", 1, 7, Leaving, 1, 100}}},
            {"it is followed by an announcement that was made before it",
             {{"backend-1", 1, 7, Leaving, 1, 100}, {"backend-1", 1, 8, Ready, 1, 100}}},
            {"an observation shows another incarnation, then the same one again",
             {{"backend-1", 900, 2, Leaving, 900, 100},
              {"backend-1", 1500, 1, Ready, 900, 100},
              {"backend-1", 900, 1, Ready, 900, 100}}},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        Announcements announcements;
        for (const Step &step : row.steps) {
            announcements.play(step);
        }
        CHECK(announcements.starts("a.0.0") == row.starts);
    }
}

TEST_CASE("A task whose start is rejected after its backend server has announced its leaving goes "
          "elsewhere")
{
    // Guards against tasks that are queued again at a backend server that is leaving, or at an
    // agent that is stopping.
    struct Row
    {
        StartOutcome outcome;
        bool agentStops;
    };
    const Row rows[] = {
            {StartOutcome::NoRoom, false},       {StartOutcome::NumberUsed, false},
            {StartOutcome::Fenced, false},       {StartOutcome::LeaseTooShort, false},
            {StartOutcome::NoRoom, true},        {StartOutcome::NumberUsed, true},
            {StartOutcome::LeaseTooShort, true},
    };
    for (const Row &row : rows) {
        CAPTURE(Common::nameOf(Transient::StartOutcomeNames, row.outcome));
        CAPTURE(row.agentStops);
        Fixture site;
        const CallStart start = site.order("a.0.0", 10);
        if (row.agentStops) {
            beginStop(site.state, at(12));
        } else {
            Transient::BackendAnnouncement leaving = site.announced();
            leaving.leaving = true;
            ++leaving.sequence;
            backendAnnounced(site.state, leaving, at(12));
        }
        const Effects effects =
                startAnswered(site.state, start.run, start.start.number, {row.outcome, 14}, at(14));
        const auto report = lastOf<ReportAttempt>(effects);
        REQUIRE(report.has_value());
        CHECK(report->state.phase == Schema::AttemptPhase::NotStarted);
        CHECK(report->state.reason == Schema::Reason::AgentDraining);
        for (std::int64_t nowMs = 15; nowMs < 500; nowMs += StepMs) {
            CHECK_FALSE(lastOf<CallStart>(tick(site.state, at(nowMs))).has_value());
        }
    }
}

TEST_CASE("An announcement does not replace a backend server that still answers")
{
    // Guards against the announcement of another writer, for which an agent gave up its living
    // backend server: the tasks there ran on while others ran them again.
    struct Row
    {
        const char *what;
        Step claim;
        ObserveOutcome present;
        bool isReplaced;
    };
    const Row rows[] = {
            {"another id, and the present one answers",
             {"backend-9", 5000, 1, Ready, 1, 0},
             ObserveOutcome::Observed,
             false},
            {"the same id with a later start, and the present one answers",
             {"backend-1", 5000, 1, Ready, 1, 0},
             ObserveOutcome::Observed,
             false},
            {"another id, and nobody answers at the address",
             {"backend-9", 5000, 1, Ready, 1, 0},
             ObserveOutcome::NotConnected,
             true},
            {"another id, which answers at the same address",
             {"backend-9", 5000, 1, Ready, 1, 0},
             ObserveOutcome::OtherIncarnation,
             true},
            {"another id that is leaving, and the present one answers",
             {"backend-9", 5000, 1, Leaving, 1, 0},
             ObserveOutcome::Observed,
             false},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        Announcements announcements;
        Fixture &site = announcements.site;
        const CallStart start = site.order("a.0.0", announcements.nowMs);
        site.answer(start, announcements.nowMs + 1);
        site.seen(site.requested, announcements.nowMs + 2);
        announcements.nowMs += StepMs;
        announcements.play(row.claim);
        CHECK(site.announced().id == "backend-1");
        const auto call = lastOf<CallObserve>(tick(site.state, at(announcements.nowMs)));
        REQUIRE(call.has_value());
        CHECK(call->waitMs == 0);
        if (row.present == ObserveOutcome::Observed) {
            site.seen(call->observation, announcements.nowMs + 1);
        } else {
            Transient::ObserveAnswer gone;
            gone.outcome = row.present;
            observeAnswered(site.state, call->observation, gone, at(announcements.nowMs + 1));
        }
        CHECK((site.announced().id == row.claim.id
               && site.announced().startedAtMs == row.claim.startedAtMs)
              == row.isReplaced);
        if (!row.isReplaced) {
            CHECK(site.state.runs.at(start.run).phase == RunPhase::Running);
            CHECK_FALSE(site.state.claim.has_value());
            CHECK(isAccepting(site.state));
        }
    }
}

TEST_CASE("The announcement of an incarnation that answers is not waited for again")
{
    // Guards against a backend server whose time of day was set back: its announcement seems late,
    // and it would get nothing until the next one.
    Announcements announcements;
    announcements.play({"backend-1", 900, 1, Ready, 900, 100});
    announcements.play({"backend-1", 500, 1, Ready, 500, 100});
    CHECK(announcements.site.announced().startedAtMs == 500);
    CHECK(isAccepting(announcements.site.state));
}
