#include <functional>

#include "Runner/Orphans.h"
#include "Runner/Pace.h"
#include "RunnerFixture.h"

using namespace RunnerSite;

namespace {

constexpr const char *Task = "a.0.0";
constexpr std::int64_t NextBornMs = 1000;

/// Lets time pass until the agent sends an observation, and answers it with \a active and \a ended
/// runs.
void observe(Fixture &site, std::int64_t fromMs, const std::vector<Transient::ActiveRun> &active,
             std::int64_t startedAtMs = 1, const std::vector<Transient::EndedRun> &ended = {})
{
    constexpr std::int64_t LimitMs = 500;
    failPending(site, ObserveOutcome::Unanswered, fromMs);
    for (std::int64_t ms = fromMs; ms < fromMs + LimitMs; ms += 5) {
        const auto call = lastOf<CallObserve>(observeIfDue(site.state, at(ms)));
        if (call) {
            Transient::ObserveAnswer answer;
            answer.outcome = ObserveOutcome::Observed;
            answer.seen.clockMs = ms;
            answer.seen.startedAtMs = startedAtMs;
            answer.seen.active = active;
            answer.seen.ended = ended;
            observeAnswered(site.state, call->observation, answer, at(ms + 1));
            return;
        }
    }
    FAIL("no observation");
}

void answerStart(Fixture &site, const CallStart &start, StartOutcome outcome, std::int64_t nowMs)
{
    startAnswered(site.state, start.run, start.start.number, {outcome, {}}, at(nowMs));
}

void acceptStop(Fixture &site, const CallStart &start, std::int64_t nowMs)
{
    REQUIRE(lastOf<CallStop>(sendDueStops(site.state, at(nowMs))).has_value());
    stopAnswered(site.state, Task, start.start.number, true, at(nowMs + 2));
}

/// Leaves the start unanswered. Its stop is accepted and an observation shows nothing of it.
void loseStart(Fixture &site, const CallStart &start, std::int64_t nowMs)
{
    answerStart(site, start, StartOutcome::Unanswered, nowMs);
    acceptStop(site, start, nowMs);
    observe(site, nowMs + 10, {});
}

/// The next start of the task; none if it is not at this agent any more.
std::optional<CallStart> nextStart(Fixture &site, std::int64_t nowMs)
{
    return lastOf<CallStart>(startRuns(site.state, at(nowMs)));
}

/// A start that was lost at 160 ms, and the next one of its task, sent at 200 ms.
struct Restart
{
    CallStart lost;
    CallStart next;
};

Restart restartAfterLoss(Fixture &site)
{
    const CallStart lost = site.order(Task, 10);
    loseStart(site, lost, 160);
    const auto next = nextStart(site, 200);
    REQUIRE(next.has_value());
    return {lost, *next};
}

bool isReportedAsRunning(const Effects &effects)
{
    const auto report = lastOf<ReportAttempt>(effects);
    return report && report->state.phase == Schema::AttemptPhase::Running;
}

Transient::BackendAnnouncement nextIncarnation(const Fixture &site, const std::string &id)
{
    Transient::BackendAnnouncement next = site.announced();
    next.id = id;
    next.startedAtMs = NextBornMs;
    next.sequence = 1;
    return next;
}

} // namespace

TEST_CASE("A task whose start was unanswered runs again at the same backend server")
{
    // Guards against a task that runs elsewhere when the next incarnation takes its lost start.
    Fixture site;
    const auto [lost, next] = restartAfterLoss(site);
    CHECK(next.start.number > lost.start.number);
    CHECK(next.start.fence > lost.start.fence);
    // If the agent is lost, its gateway waits for late starts of tasks not reported as running.
    const Effects answered = startAnswered(site.state, next.run, next.start.number,
                                           {StartOutcome::Started, 202}, at(202));
    CHECK(site.state.runs.at(next.run).phase == RunPhase::Running);
    CHECK_FALSE(isReportedAsRunning(answered));
}

TEST_CASE("A task stays at a backend server for as long as a lost start may arrive there")
{
    // Guards against two runs at a time, and against waiting for a start that cannot arrive.
    struct Row
    {
        const char *what;
        bool stays;
        /// What happens to the next start of the task, which was sent at 200 ms.
        std::function<void(Fixture &, const CallStart &)> happens;
    };
    const auto reject = [](StartOutcome outcome) {
        return [outcome](Fixture &site, const CallStart &start) {
            answerStart(site, start, outcome, 210);
        };
    };
    const Row rows[] = {
            {"it is refused", true, reject(StartOutcome::Refused)},
            {"no connection can be made", true, reject(StartOutcome::NotConnected)},
            {"another incarnation answers", true, reject(StartOutcome::OtherIncarnation)},
            {"it is malformed, as the lost one is", false, reject(StartOutcome::Malformed)},
            {"it is lost, too", true,
             [](Fixture &site, const CallStart &start) { loseStart(site, start, 350); }},
            {"runs stand still there", true,
             [](Fixture &site, const CallStart &start) {
                 answerStart(site, start, StartOutcome::Refused, 210);
                 constexpr double StandstillLog = 2.5;
                 site.state.logSlowdown = StandstillLog;
                 site.state.slowdownUpdatedMs = 215;
                 moveFromSlow(site.state, at(215));
             }},
            {"its run is missing", true,
             [](Fixture &site, const CallStart &start) {
                 site.answer(start, 202);
                 observe(site, 250, {});
                 observe(site, 600, {});
             }},
            {"all calls go unanswered for a second", true,
             [](Fixture &site, const CallStart &start) {
                 site.answer(start, 202);
                 failObservations(site, ObserveOutcome::Unanswered, 210, 3000);
             }},
            {"the time in which orders are carried out late has passed", false,
             [](Fixture &site, const CallStart &start) {
                 site.answer(start, 202);
                 failObservations(site, ObserveOutcome::Unanswered, 210, 15'000);
             }},
            {"its caller leaves", false,
             [](Fixture &site, const CallStart &start) {
                 answerStart(site, start, StartOutcome::Refused, 210);
                 site.withdraw(Task, 220);
             }},
            {"its caller leaves while it is stopped", false,
             [](Fixture &site, const CallStart &start) {
                 answerStart(site, start, StartOutcome::Unanswered, 350);
                 site.withdraw(Task, 355);
                 acceptStop(site, start, 360);
                 observe(site, 370, {});
             }},
            {"the backend server is replaced by one with another id", false,
             [](Fixture &site, const CallStart &start) {
                 site.answer(start, 202);
                 site.replaceBackend(nextIncarnation(site, "backend-2"), 250);
                 observe(site, 260, {}, NextBornMs);
             }},
            {"the next incarnation has the same id", true,
             [](Fixture &site, const CallStart &start) {
                 site.answer(start, 202);
                 site.replaceBackend(nextIncarnation(site, "backend-1"), 250);
                 observe(site, 260, {}, NextBornMs);
             }},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        Fixture site;
        const CallStart next = restartAfterLoss(site).next;
        row.happens(site, next);
        CHECK(site.isKnown(next.run) == row.stays);
    }
}

TEST_CASE("A task whose lost start was carried out goes elsewhere after its stop")
{
    // Guards against keeping a task for a start that has arrived already.
    struct Row
    {
        const char *what;
        /// Whether an observation lists the run before it ends, and its end afterwards.
        bool isListed;
        bool isEndListed;
        bool stays;
    };
    const Row rows[] = {{"nothing shows the run", false, false, true},
                        {"the run was listed", true, false, false},
                        {"only its end was listed", false, true, false}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        Fixture site;
        const CallStart start = site.order(Task, 10);
        const std::int64_t number = start.start.number;
        answerStart(site, start, StartOutcome::Unanswered, 160);
        if (row.isListed) {
            observe(site, 161, {{Task, number, 3}});
        }
        acceptStop(site, start, 170);
        std::vector<Transient::EndedRun> ended;
        if (row.isEndListed) {
            ended.push_back({1, Task, number, Transient::RunEnd::Stopped});
        }
        observe(site, 180, {}, 1, ended);
        CHECK(site.isKnown(start.run) == row.stays);
    }
}

TEST_CASE("A job with a lost start is reported as such when its gateway is suspect")
{
    // Guards against gateways that take the job in anew once the leases of a dead agent have
    // lapsed, while its lost start may still arrive.
    constexpr std::int64_t SuspectMs = 506;
    for (const bool isLost : {false, true}) {
        CAPTURE(isLost);
        Fixture site;
        site.state.times.grantMs = 800;
        site.state.times.suspectMs = SuspectMs;
        site.state.grants.clear();
        site.answer(isLost ? restartAfterLoss(site).next : site.order(Task, 10), 202);
        Effects effects;
        updateOrphans(site.state, effects, at(300));
        CHECK(site.state.orphans.held.empty());
        CHECK(site.state.orphans.unanswered.empty());
        updateOrphans(site.state, effects, at(10 + SuspectMs));
        CHECK(site.state.orphans.held.size() == 1);
        CHECK(site.state.orphans.unanswered.size() == (isLost ? 1 : 0));
    }
}

TEST_CASE("A task waits until the late start that the next incarnation took has ended")
{
    // Guards against a second run beside a lost start that came before the agent's first call.
    Fixture site;
    const auto [lost, next] = restartAfterLoss(site);
    site.answer(next, 202);
    site.replaceBackend(nextIncarnation(site, "backend-1"), 1000);
    const std::vector<Transient::ActiveRun> late{{Task, lost.start.number, 5}};
    observe(site, 1001, late, NextBornMs);
    CHECK_FALSE(nextStart(site, 1010).has_value());
    observe(site, 1050, late, NextBornMs);
    CHECK(site.state.runs.at(next.run).phase == RunPhase::Running);
    CHECK_FALSE(nextStart(site, 1100).has_value());
    observe(site, 1150, {}, NextBornMs);
    const auto again = nextStart(site, 1200);
    REQUIRE(again.has_value());
    CHECK(again->start.number > next.start.number);
    CHECK(again->start.fence > lost.start.fence);
}
