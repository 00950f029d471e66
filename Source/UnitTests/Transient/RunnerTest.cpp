#include <map>

#include "RunnerFixture.h"

using namespace RunnerSite;

TEST_CASE("A pending start is not ended together with lapsed runs")
{
    // The backend server refuses every observation for a while and yet accepts a start. A refusal
    // arrives before the answer to the start. The earlier run has lapsed and the new one has not:
    // if the agent ended it now, its task would run a second time elsewhere.
    for (const ObserveOutcome outcome : {ObserveOutcome::Refused, ObserveOutcome::NotConnected}) {
        CAPTURE(Common::nameOf(Transient::ObserveOutcomeNames, outcome));
        Fixture site;
        const CallStart first = site.order("a.0.0", 10);
        site.answer(first, 12);
        const std::int64_t lapsingMs = outcome == ObserveOutcome::Refused ? 1450 : 720;
        failObservations(site, outcome, 20, lapsingMs);
        CHECK(site.isKnown(first.run));
        const CallStart second = site.order("b.0.0", lapsingMs);
        failObservations(site, outcome, lapsingMs + 10, lapsingMs + 100);
        CHECK(site.isKnown(second.run));
        CHECK(site.isKnown(first.run));
        // The last lease of the first run is the one that the second start may have granted. The
        // second start was never answered: it may take effect up to 12 s late.
        failObservations(site, outcome, lapsingMs + 110, lapsingMs + 1700);
        CHECK_FALSE(site.isKnown(first.run));
        CHECK(site.isKnown(second.run));
        failObservations(site, outcome, lapsingMs + 1700, lapsingMs + 12'000);
        CHECK(site.isKnown(second.run));
        failObservations(site, outcome, lapsingMs + 12'000, lapsingMs + 15'000);
        CHECK_FALSE(site.isKnown(second.run));
    }
}

TEST_CASE("Runs that are about to be ended as lapsed are not renewed")
{
    // The backend server executes observations and answers none. Each one that requests a lease
    // renews everything there. The agent finally ends its runs as lost, and they must have ended at
    // the backend server by then.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    const std::int64_t leaseUntilMs =
            failObservations(site, ObserveOutcome::Unanswered, 20, 20 + 3 * LeaseMs);
    CHECK_FALSE(site.isKnown(start.run));
    CHECK(leaseUntilMs <= 12 + 2 * (LeaseMs + LeaseMs / 25));
    CHECK_FALSE(site.state.isBackendResponsive);
}

TEST_CASE("A lost answer after an idle period ends no run")
{
    // An agent without runs sends no observations. It started a task after 7,282 ms, and the answer
    // to the observation that followed was lost within 3 ms. When the whole time since the last
    // answer counted as silence of the backend server, the agent ended every run as lost, and the
    // gateway started the task elsewhere 8 ms after its first start: it had two runs at a time.
    // This came about with lost answers and little load.
    constexpr std::int64_t IdleMs = 7282;
    for (const bool isStartAnswered : {false, true}) {
        CAPTURE(isStartAnswered);
        Fixture site;
        const CallStart start = site.order("a.0.0", IdleMs);
        if (isStartAnswered) {
            site.answer(start, IdleMs + 1);
        }
        site.failLastObservation(ObserveOutcome::Unanswered, IdleMs + 3);
        CHECK(site.isKnown(start.run));
        failObservations(site, ObserveOutcome::Unanswered, IdleMs + 4, IdleMs + 100);
        CHECK(site.isKnown(start.run));
        CHECK(site.state.isBackendResponsive);
    }
}

TEST_CASE("A failed observation before an idle period does not count as silence")
{
    // A start and the observation after it are refused, and then the agent has no runs for seconds.
    // The next observation fails as well. The backend server has not been silent in between, since
    // no observation was sent.
    constexpr std::int64_t IdleMs = 7000;
    Fixture site;
    const CallStart refused = site.order("a.0.0", 10);
    site.failLastObservation(ObserveOutcome::Refused, 12);
    startAnswered(site.state, refused.run, refused.start.number, {StartOutcome::Refused, {}},
                  at(61));
    REQUIRE_FALSE(site.isKnown(refused.run));
    tick(site.state, at(100));
    const CallStart start = site.order("b.0.0", IdleMs);
    site.failLastObservation(ObserveOutcome::Refused, IdleMs + 2);
    failObservations(site, ObserveOutcome::Refused, IdleMs + 10, IdleMs + 100);
    CHECK(site.isKnown(start.run));
    CHECK(site.state.isBackendResponsive);
}

TEST_CASE("A lease that an unanswered call has renewed is waited out")
{
    // The backend server executes a renewal without answering it, and no connection can be made to
    // it for a while afterwards. Its runs last for a lease from that renewal on, not from the last
    // answer: if the agent ended them earlier, their tasks would run a second time elsewhere.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    constexpr std::int64_t RenewedMs = 700;
    // The clock was read 688 ms before. It may have fallen behind by a fiftieth of that.
    constexpr std::int64_t ClockBehindMs = 14;
    const auto renewal = lastOf<CallObserve>(tick(site.state, at(RenewedMs)));
    REQUIRE(renewal.has_value());
    REQUIRE(renewal->leaseUntilMs == RenewedMs + LeaseMs - ClockBehindMs);
    Transient::ObserveAnswer unanswered;
    observeAnswered(site.state, renewal->observation, unanswered, at(RenewedMs + 10));
    failObservations(site, ObserveOutcome::NotConnected, RenewedMs + 20, RenewedMs + LeaseMs);
    CHECK(site.isKnown(start.run));
    failObservations(site, ObserveOutcome::NotConnected, RenewedMs + LeaseMs,
                     RenewedMs + LeaseMs + 100);
    CHECK_FALSE(site.isKnown(start.run));
}

TEST_CASE("A start that was never answered is not ended when the leases have lapsed")
{
    // A start and all calls after it are unanswered. The start may take effect up to 12 s later,
    // with a lease that counts from then. If the agent ended the run when the known leases have
    // lapsed, the task would go to another agent and run there when the start takes effect.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    startAnswered(site.state, start.run, start.start.number, {StartOutcome::Unanswered, {}},
                  at(160));
    failObservations(site, ObserveOutcome::Unanswered, 170, 12'000);
    CHECK_FALSE(site.state.isBackendResponsive);
    CHECK(site.isKnown(start.run));
    failObservations(site, ObserveOutcome::Unanswered, 12'000, 15'000);
    CHECK_FALSE(site.isKnown(start.run));
}

TEST_CASE("A late announcement of a previous incarnation changes nothing")
{
    // A backend server starts a new incarnation at the same address, and an announcement that the
    // previous one had sent arrives only then. If the agent took it for a third incarnation, it
    // would end all runs of the second one, and their tasks would run elsewhere as well.
    struct Row
    {
        const char *previousId;
        std::int64_t previousStartedAtMs;
    };
    const Row rows[] = {{"backend-1", 1}, {"backend-0", 500}};
    for (const Row &row : rows) {
        CAPTURE(row.previousId);
        Fixture site;
        Transient::BackendAnnouncement previous = site.announced();
        previous.id = row.previousId;
        previous.startedAtMs = row.previousStartedAtMs;
        previous.sequence = 7;
        site.replaceBackend(previous, 20);
        Transient::BackendAnnouncement next = site.announced();
        next.id = "backend-2";
        next.startedAtMs = 900;
        next.sequence = 1;
        site.replaceBackend(next, 1000);
        const auto observeCall = lastOf<CallObserve>(tick(site.state, at(1100)));
        REQUIRE(observeCall.has_value());
        site.seen(observeCall->observation, 1101, next.startedAtMs);
        const CallStart start = site.order("a.0.0", 1200);
        site.answer(start, 1202);
        previous.sequence = 8;
        backendAnnounced(site.state, previous, at(1250));
        CHECK(site.state.backend->id == next.id);
        CHECK(site.isKnown(start.run));
    }
}

TEST_CASE("Answers to calls to a previous incarnation are ignored")
{
    // A backend server crashes and starts another incarnation with the same id, which announces
    // itself. Only then does the agent process the answers to an observation and to a start that it
    // had sent to the previous incarnation. The runs of the new incarnation go on, and its clock
    // offset does not change.
    Fixture site;
    const CallStart previous = site.order("a.0.0", 10);
    const auto requested = lastOf<CallObserve>(tick(site.state, at(40)));
    REQUIRE(requested.has_value());
    Transient::BackendAnnouncement next = site.announced();
    next.startedAtMs = 900;
    next.sequence = 1;
    site.replaceBackend(next, 1000);
    const auto observeCall = lastOf<CallObserve>(tick(site.state, at(1100)));
    REQUIRE(observeCall.has_value());
    stopAnswered(site.state, "a.0.0", previous.start.number, true, at(1100));
    site.seen(observeCall->observation, 1101, next.startedAtMs);
    const CallStart start = site.order("b.0.0", 1200);
    site.answer(start, 1202);
    site.seen(requested->observation, 1210, 1);
    startAnswered(site.state, previous.run, previous.start.number, {StartOutcome::Started, 77'000},
                  at(1211));
    CHECK(site.isKnown(start.run));
    CHECK(site.state.backend->startedAtMs == next.startedAtMs);
    // The clock was read 10 ms before.
    constexpr std::int64_t ClockBehindMs = 1;
    CHECK(leaseUntilMs(site.state, at(1212)) == 1212 + LeaseMs - ClockBehindMs);
}

TEST_CASE("A start that was sent to a previous incarnation is stopped in the present one")
{
    // The backend server starts another incarnation with the same id while a start is unanswered.
    // Orders that are executed late reach the new incarnation, which has neither the run's number
    // nor the fence. The task may run again only after the new incarnation has accepted a stop with
    // a higher fence and an observation does not show the run.
    Fixture site;
    Transient::BackendAnnouncement announcement = site.announced();
    const std::int64_t fence = site.state.fence;
    const CallStart start = site.order("a.0.0", 10);
    startAnswered(site.state, start.run, start.start.number, {StartOutcome::Unanswered, {}},
                  at(160));
    REQUIRE(lastOf<CallStop>(tick(site.state, at(161))).has_value());
    stopAnswered(site.state, "a.0.0", start.start.number, true, at(162));
    const auto observeCall = lastOf<CallObserve>(tick(site.state, at(420)));
    REQUIRE(observeCall.has_value());
    site.seen(observeCall->observation, 422, 300);
    CHECK(site.isKnown(start.run));
    CHECK(site.state.fence > fence);
    const Effects stopping = tick(site.state, at(423));
    REQUIRE(lastOf<CallStop>(stopping).has_value());
    CHECK_FALSE(lastOf<CallStart>(stopping).has_value());
    stopAnswered(site.state, "a.0.0", start.start.number, true, at(424));
    const Effects proving = tick(site.state, at(450));
    const auto proof = lastOf<CallObserve>(proving);
    REQUIRE(proof.has_value());
    CHECK_FALSE(lastOf<CallStart>(proving).has_value());
    CHECK(site.state.runs.at(start.run).phase == RunPhase::Stopping);
    site.seen(proof->observation, 452, 300);
    CHECK_FALSE(lastOf<CallStart>(tick(site.state, at(453))).has_value());
    announcement.startedAtMs = 300;
    announcement.sequence = 1;
    backendAnnounced(site.state, announcement, at(454));
    const auto next = lastOf<CallStart>(tick(site.state, at(455)));
    REQUIRE(next.has_value());
    CHECK(next->start.number > start.start.number);
    CHECK(next->start.fence > fence);
}

TEST_CASE("Announcements of an incarnation that was detected in an observation are processed")
{
    // An observation shows that another incarnation has started. The sequence of its announcements
    // restarts at 1. It announces that it is leaving, and must get no more tasks.
    Fixture site;
    site.state.backend->announced->sequence = 50;
    Transient::BackendAnnouncement leaving = site.announced();
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    const auto observeCall = lastOf<CallObserve>(tick(site.state, at(40)));
    REQUIRE(observeCall.has_value());
    site.seen(observeCall->observation, 42, 30);
    leaving.startedAtMs = 30;
    leaving.sequence = 2;
    leaving.leaving = true;
    backendAnnounced(site.state, leaving, at(60));
    CHECK(site.state.backend->leaving);
}

TEST_CASE("Runs at a backend server that has left are ended when their lease lapses")
{
    // A backend server announces that it has left while a task still runs there; the process may
    // take some time to end. If the agent ended the run at once, the task would run elsewhere at
    // the same time.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    backendLeft(site.state, "backend-1", at(100));
    CHECK(site.isKnown(start.run));
    failObservations(site, ObserveOutcome::NotConnected, 110, 1500);
    CHECK_FALSE(site.isKnown(start.run));
}

TEST_CASE("Observations that were made before a start took effect do not end it")
{
    // A start is answered late. Two observations are sent after it, executed before it, and
    // answered after it: neither shows the run, though both were sent later than the start.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    Transient::ObserveAnswer empty;
    empty.outcome = ObserveOutcome::Observed;
    empty.seen.startedAtMs = 1;
    std::vector<std::uint64_t> requested;
    for (std::int64_t nowMs = 11; requested.size() < 2 && nowMs < 1000; ++nowMs) {
        if (const auto call = lastOf<CallObserve>(tick(site.state, at(nowMs)))) {
            requested.push_back(call->observation);
        }
    }
    REQUIRE(requested.size() == 2);
    site.answer(start, 1000);
    for (const std::uint64_t observation : requested) {
        observeAnswered(site.state, observation, empty, at(1001));
    }
    CHECK(site.isKnown(start.run));
}

TEST_CASE("A stop is sent often enough that a run ends before its caller submits again")
{
    // The gateway of a run is killed, and its caller submits again elsewhere 1.3 s later. One in
    // two stops is unanswered. The agent repeats the stop without waiting for the answer to the
    // last one. It starts after the 300 ms in which the link could have been restored.
    constexpr std::int64_t LinkLostMs = 300;
    constexpr std::int64_t ResubmittedMs = 1300;
    constexpr int MinStops = 9;
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    gatewayLost(site.state, Gateway, at(LinkLostMs));
    int stops = 0;
    for (std::int64_t nowMs = LinkLostMs; nowMs < ResubmittedMs; ++nowMs) {
        for (const Effect &effect : tick(site.state, at(nowMs))) {
            stops += std::holds_alternative<CallStop>(effect) ? 1 : 0;
        }
    }
    CHECK(stops >= MinStops);
}

TEST_CASE("A run is not renewed while its stop is unanswered")
{
    // The gateway of a run is killed, and its caller submits again elsewhere 1.3 s later. The
    // backend server answers observations but no stop. The agent lets the leases of all runs there
    // lapse before that: it is better to run tasks of other gateways again than to run one task
    // twice at a time.
    constexpr std::int64_t LinkLostMs = 300;
    constexpr std::int64_t ResubmittedMs = 1300;
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    std::int64_t leaseUntilMs = 0;
    for (std::int64_t nowMs = 20; nowMs < 3000; nowMs += 10) {
        if (nowMs == LinkLostMs) {
            gatewayLost(site.state, Gateway, at(nowMs));
        }
        if (const auto call = lastOf<CallObserve>(tick(site.state, at(nowMs)))) {
            leaseUntilMs = std::max(leaseUntilMs, call->leaseUntilMs);
            Transient::ObserveAnswer answer;
            answer.outcome = ObserveOutcome::Observed;
            answer.seen.clockMs = nowMs + 1;
            answer.seen.startedAtMs = 1;
            answer.seen.active.push_back({"a.0.0", start.start.number, 10});
            observeAnswered(site.state, call->observation, answer, at(nowMs + 1));
        }
    }
    CHECK(leaseUntilMs < ResubmittedMs);
    // There is no other run that should go on: not even the first observation after the loss
    // renews.
    CHECK(leaseUntilMs <= LinkLostMs + LeaseMs);
    CHECK(leaseUntilMs > LinkLostMs + LeaseMs - 50);
}

TEST_CASE("After an unanswered call later calls have a higher fence")
{
    // A renewal is unanswered and executed seconds later, when it would prolong runs that the agent
    // has ended as lost in the meantime. Every later call has a higher fence: after one of them has
    // been executed, the late renewal has no effect.
    Fixture site;
    const std::int64_t fence = site.state.fence;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    const auto call = lastOf<CallObserve>(tick(site.state, at(40)));
    REQUIRE(call.has_value());
    observeAnswered(site.state, call->observation, {}, at(400));
    CHECK(site.state.fence > fence);
    const std::int64_t raised = site.state.fence;
    const CallStart next = site.order("b.0.0", 410);
    CHECK(next.start.fence == raised);
    startAnswered(site.state, next.run, next.start.number, {StartOutcome::Unanswered, {}}, at(560));
    CHECK(site.state.fence > raised);
}

namespace {

/// Answers an observation for the incarnation that started at \a startedAtMs, with the runs
/// \a active.
Effects answerObservation(Fixture &site, std::uint64_t observation, std::int64_t nowMs,
                          std::int64_t startedAtMs, const std::vector<Transient::ActiveRun> &active)
{
    Transient::ObserveAnswer answer;
    answer.outcome = ObserveOutcome::Observed;
    answer.seen.clockMs = nowMs;
    answer.seen.startedAtMs = startedAtMs;
    answer.seen.active = active;
    return observeAnswered(site.state, observation, answer, at(nowMs));
}

std::uint64_t nextObservation(Fixture &site, std::int64_t fromMs)
{
    for (std::int64_t nowMs = fromMs; nowMs < fromMs + 1000; ++nowMs) {
        if (const auto call = lastOf<CallObserve>(tick(site.state, at(nowMs)))) {
            return call->observation;
        }
    }
    FAIL("no observation");
    return 0;
}

} // namespace

TEST_CASE("A run that a new incarnation has started goes on when that incarnation is detected")
{
    // A backend server restarts with the same id while its agent is idle. It accepts the next start
    // before it has announced itself. Then the agent detects the new incarnation: if it ended the
    // run together with those of the previous incarnation, the task would run elsewhere at the same
    // time.
    for (const bool isDetectedByAnnouncement : {false, true}) {
        CAPTURE(isDetectedByAnnouncement);
        Fixture site;
        constexpr std::int64_t NextStartedAtMs = 4900;
        const CallStart start = site.order("a.0.0", 5000);
        site.answer(start, 5003);
        const std::vector<Transient::ActiveRun> active = {{"a.0.0", start.start.number, 1}};
        if (isDetectedByAnnouncement) {
            Transient::BackendAnnouncement next = site.announced();
            next.startedAtMs = NextStartedAtMs;
            next.sequence = 1;
            backendAnnounced(site.state, next, at(5004));
        }
        answerObservation(site, site.requested, 5005, NextStartedAtMs, active);
        CHECK(site.isKnown(start.run));
        answerObservation(site, nextObservation(site, 5010), 5050, NextStartedAtMs, active);
        CHECK(site.isKnown(start.run));
        CHECK(site.state.isClean);
    }
}

TEST_CASE("A run that a new incarnation does not have is ended at the next observation")
{
    Fixture site;
    const CallStart start = site.order("a.0.0", 5000);
    site.answer(start, 5003);
    answerObservation(site, site.requested, 5005, 4900, {});
    CHECK(site.isKnown(start.run));
    answerObservation(site, nextObservation(site, 5010), 5050, 4900, {});
    CHECK_FALSE(site.isKnown(start.run));
}

TEST_CASE("An announcement of an incarnation that ended before this agent started changes nothing")
{
    // It was delayed while its sender crashed and the next incarnation started. If the agent took
    // it for a newer incarnation, it would end all runs, and every later announcement of the
    // present incarnation would count as late: the agent would never accept work again.
    for (const char *id : {"backend-0", "backend-1"}) {
        CAPTURE(std::string(id));
        Fixture site;
        Transient::BackendAnnouncement present = site.announced();
        present.startedAtMs = 1000;
        site.state.backend->startedAtMs = present.startedAtMs;
        site.state.backend->announced = present;
        const CallStart start = site.order("a.0.0", 1200);
        site.answer(start, 1202);
        Transient::BackendAnnouncement previous = present;
        previous.id = id;
        previous.startedAtMs = 500;
        previous.sequence = 3;
        backendAnnounced(site.state, previous, at(1250));
        CHECK(site.isKnown(start.run));
        present.sequence = 2;
        present.leaving = true;
        backendAnnounced(site.state, present, at(1300));
        CHECK(site.state.backend->id == present.id);
        CHECK(site.state.backend->leaving);
    }
}

TEST_CASE("An incarnation with an earlier start time is accepted when the present one is gone")
{
    // The time of day was set back before a backend server started another incarnation, so that its
    // start time is earlier than that of the previous one. Its announcement is accepted once the
    // previous incarnation does not answer any more.
    Fixture site;
    site.state.backend->startedAtMs = 9000;
    Transient::BackendAnnouncement next = site.announced();
    next.id = "backend-2";
    next.startedAtMs = 4000;
    next.sequence = 1;
    backendAnnounced(site.state, next, at(100));
    CHECK(site.state.backend->id == "backend-1");
    site.order("a.0.0", 110);
    site.failLastObservation(ObserveOutcome::OtherIncarnation, 112);
    failObservations(site, ObserveOutcome::OtherIncarnation, 120, 2000);
    REQUIRE_FALSE(site.state.isBackendResponsive);
    next.sequence = 2;
    backendAnnounced(site.state, next, at(2000));
    CHECK(site.state.backend->id == "backend-2");
}

TEST_CASE("Nothing is started while a stop is not accepted")
{
    // A start prolongs the lease of all runs there, as a renewal does. The gateway of a run is
    // killed, the stops of the run are unanswered, and orders of another gateway wait. If these
    // were started, the unwanted run would go on after its caller has submitted the job again.
    constexpr std::int64_t LinkLostMs = 300;
    constexpr std::int64_t ResubmittedMs = 1300;
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    grantReceived(site.state, "gateway-2", 1);
    gatewayLost(site.state, Gateway, at(LinkLostMs));
    std::int64_t lastLeaseMs = 0;
    for (std::int64_t nowMs = LinkLostMs; nowMs < 3000; nowMs += 10) {
        Effects effects;
        if (nowMs % 100 == 0) {
            Schema::TaskOrders orders;
            orders.sequence = nowMs;
            orders.echoMs = nowMs;
            orders.resources.processors = 0.1;
            orders.targetInMs = 1000;
            orders.deadlineInMs = 20'000;
            orders.tasks.push_back({1, "b" + std::to_string(nowMs) + ".0.0"});
            append(effects, ordersReceived(site.state, "gateway-2", orders, at(nowMs)));
        }
        append(effects, tick(site.state, at(nowMs)));
        if (const auto startCall = lastOf<CallStart>(effects)) {
            lastLeaseMs = std::max(lastLeaseMs, startCall->start.leaseUntilMs);
            site.answer(*startCall, nowMs + 2);
        }
        if (const auto call = lastOf<CallObserve>(effects)) {
            site.seen(call->observation, nowMs + 3);
        }
    }
    CHECK(lastLeaseMs < ResubmittedMs);
}

TEST_CASE("An observation sent in the millisecond in which a stop was accepted proves no end")
{
    // It was sent before the answer to the stop arrived, and may have been executed before a start
    // that is late.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.failLastObservation(ObserveOutcome::Refused, 12);
    site.withdraw("a.0.0", 99);
    const auto observeCall = lastOf<CallObserve>(tick(site.state, at(99)));
    REQUIRE(observeCall.has_value());
    stopAnswered(site.state, "a.0.0", start.start.number, true, at(99));
    answerObservation(site, observeCall->observation, 102, 1, {});
    CHECK(site.isKnown(start.run));
}

TEST_CASE("A start whose run ends before its answer counts as unanswered")
{
    // A task is withdrawn while its start is pending; the stop is accepted and the run is not
    // observed. The start may still be executed and prolong the other runs there: it stays counted
    // as the grant of a lease, and the fence is raised above it.
    Fixture site;
    const std::int64_t fence = site.state.fence;
    const CallStart start = site.order("a.0.0", 10);
    site.withdraw("a.0.0", 12);
    tick(site.state, at(12));
    site.failLastObservation(ObserveOutcome::Refused, 13);
    stopAnswered(site.state, "a.0.0", start.start.number, true, at(15));
    answerObservation(site, nextObservation(site, 16), 121, 1, {});
    CHECK_FALSE(site.isKnown(start.run));
    CHECK(site.state.fence > fence);
    CHECK(site.state.leaseGrantSentMs >= 10);
}

TEST_CASE("A task waits while another run of it is left at the agent")
{
    // A caller's connection breaks and it submits again at another gateway, which orders the
    // task at the agent that still runs it for the first gateway. The second run has to wait
    // until the first has ended: otherwise the backend server would run both.
    Fixture site;
    const CallStart first = site.order("a.0.0", 10);
    site.answer(first, 12);
    CHECK_FALSE(lastOf<CallStart>(site.orderFrom("gateway-2", "a.0.0", 20)).has_value());
    gatewayLost(site.state, Gateway, at(30));
    const auto stop = lastOf<CallStop>(tick(site.state, at(30)));
    REQUIRE(stop.has_value());
    CHECK_FALSE(lastOf<CallStart>(tick(site.state, at(31))).has_value());
    stopAnswered(site.state, stop->task, stop->number, true, at(32));
    // An observation sent before the stop was accepted proves nothing: it may have been executed
    // before the stop.
    REQUIRE(site.state.pendingObservations.size() == 1);
    site.seen(site.state.pendingObservations.begin()->first, 34);
    CHECK(site.isKnown(first.run));
    const auto proof = lastOf<CallObserve>(tick(site.state, at(60)));
    REQUIRE(proof.has_value());
    site.seen(proof->observation, 62);
    CHECK_FALSE(site.isKnown(first.run));
    CHECK(lastOf<CallStart>(tick(site.state, at(63))).has_value());
}

TEST_CASE("An agent that has not observed its backend server without runs starts nothing")
{
    // A new process finds a run of the previous one, whose task may be ordered at another agent
    // or at this one again. It returns orders until the run has been stopped and is no longer
    // observed.
    Fixture site;
    site.state.isClean = false;
    const Effects effects = site.orderFrom(Gateway, "a.0.0", 30);
    CHECK_FALSE(lastOf<CallStart>(effects).has_value());
    const auto reported = lastOf<ReportAttempt>(effects);
    REQUIRE(reported.has_value());
    CHECK(reported->state.phase == Schema::AttemptPhase::NotStarted);
    const auto observeCall = lastOf<CallObserve>(effects);
    REQUIRE(observeCall.has_value());
    Transient::ObserveAnswer found;
    found.outcome = ObserveOutcome::Observed;
    found.seen.startedAtMs = 1;
    found.seen.active.push_back({"a.0.0", 1, 10});
    CHECK(lastOf<CallStop>(observeAnswered(site.state, observeCall->observation, found, at(32)))
                  .has_value());
    CHECK_FALSE(site.state.isClean);
}

TEST_CASE("The end of an earlier run does not end the present run of its task")
{
    // A stopped run is listed as ended only after the task was ordered here again and has started.
    Fixture site;
    site.state.usedNumbers["a.0.0"] = {1, 5};
    const CallStart start = site.order("a.0.0", 10);
    REQUIRE(start.start.number == 2);
    site.answer(start, 12);
    const auto observeCall = lastOf<CallObserve>(tick(site.state, at(30)));
    REQUIRE(observeCall.has_value());
    Transient::ObserveAnswer listed;
    listed.outcome = ObserveOutcome::Observed;
    listed.seen.startedAtMs = 1;
    listed.seen.active.push_back({"a.0.0", 2, 10});
    listed.seen.ended.push_back({1, "a.0.0", 1, Transient::RunEnd::Stopped});
    observeAnswered(site.state, observeCall->observation, listed, at(32));
    CHECK(site.isKnown(start.run));
}

TEST_CASE("A fence that is too low is raised until it is accepted")
{
    // The time of day was set back before the agent started. Its backend server rejects all of
    // its calls and may still accept late ones of the previous process.
    Fixture site;
    site.order("a.0.0", 10);
    const std::int64_t before = site.state.fence;
    failObservations(site, ObserveOutcome::Fenced, 30, 40);
    CHECK(site.state.fence >= before + FenceStepMs);
}

TEST_CASE("An observation that overtook a start does not end the run")
{
    // The start is slow; an observation that was sent after it is executed before it and does not
    // show the run. The run exists nevertheless.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    const auto observeCall = lastOf<CallObserve>(tick(site.state, at(40)));
    REQUIRE(observeCall.has_value());
    site.answer(start, 45);
    site.answerEmptyObservation(observeCall->observation, 46);
    CHECK(site.isKnown(start.run));
}

TEST_CASE("Observations sent before a start do not end the run")
{
    // Two answers arrive late, after a start that neither of them can show.
    Fixture site;
    const CallStart previous = site.order("a.0.0", 10);
    site.answer(previous, 12);
    const auto first = lastOf<CallObserve>(tick(site.state, at(30)));
    const auto second = lastOf<CallObserve>(tick(site.state, at(280)));
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    const CallStart start = site.order("b.0.0", 290);
    site.answer(start, 292);
    site.answerEmptyObservation(first->observation, 294);
    site.answerEmptyObservation(second->observation, 295);
    CHECK(site.isKnown(start.run));
}

TEST_CASE("Runs of a gateway whose grant has lapsed are stopped")
{
    // The gateway lost power, and its connection is not closed. Its callers submit again
    // elsewhere 1.3 s later; the agent has to stop the runs that it had ordered by itself.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    constexpr std::int64_t LapsesMs = 810;
    site.state.grants[Gateway] = LapsesMs;
    CHECK_FALSE(lastOf<CallStop>(tick(site.state, at(LapsesMs - 1))).has_value());
    const auto stop = lastOf<CallStop>(tick(site.state, at(LapsesMs)));
    REQUIRE(stop.has_value());
    CHECK(stop->task == "a.0.0");
}

TEST_CASE("The leases of a gateway's runs end before it may send their tasks elsewhere")
{
    // The gateway was cut off: it waits from the agent's last message on for the grant, the lease
    // on a slow clock, and late timers. The stops of its run are unanswered. Beside it runs a task
    // of another gateway, and orders of that one arrive: neither renewals nor starts for these may
    // prolong the run that has to end, also when the agent wakes up late.
    constexpr std::int64_t HeardMs = 1;
    constexpr std::int64_t GrantMs = Transient::GrantMs;
    constexpr std::int64_t LateMs = 50;
    constexpr std::int64_t FirstOrderMs = 600;
    const std::int64_t settledMs = HeardMs + Transient::settleTimeMs(GrantMs, LeaseMs);
    for (const std::int64_t lateMs : {std::int64_t{0}, LateMs}) {
        CAPTURE(lateMs);
        Fixture site;
        const CallStart start = site.order("a.0.0", 10);
        site.answer(start, 12);
        site.state.grants[Gateway] = HeardMs + GrantMs;
        site.state.times.grantMs = GrantMs;
        std::int64_t leaseUntilMs = 0;
        for (std::int64_t nowMs = 20; nowMs < settledMs; nowMs += 10) {
            const std::int64_t lapsesMs = HeardMs + GrantMs;
            if (nowMs >= lapsesMs && nowMs < lapsesMs + lateMs) {
                continue;
            }
            Effects effects;
            grantReceived(site.state, "gateway-2", nowMs);
            if (nowMs >= FirstOrderMs && nowMs % 100 == 0) {
                append(effects,
                       site.orderFrom("gateway-2", "b" + std::to_string(nowMs) + ".0.0", nowMs));
            }
            append(effects, tick(site.state, at(nowMs)));
            if (const auto started = lastOf<CallStart>(effects)) {
                leaseUntilMs = std::max(leaseUntilMs, started->start.leaseUntilMs);
                site.answer(*started, nowMs + 1);
            }
            if (const auto call = lastOf<CallObserve>(effects)) {
                leaseUntilMs = std::max(leaseUntilMs, call->leaseUntilMs);
                site.seen(call->observation, nowMs + 2);
            }
        }
        const std::int64_t onSlowClockMs = LeaseMs / Transient::ClockDriftDivisor;
        CHECK(leaseUntilMs + onSlowClockMs <= settledMs - LateMs);
        // Until then the runs beside it are renewed.
        CHECK(leaseUntilMs > HeardMs + GrantMs + LeaseMs - 100);
    }
}

TEST_CASE("Runs beside those of a lost gateway are renewed before their leases end")
{
    // The stop of the run of the lost gateway is accepted at its third try. Until then nothing is
    // renewed, and an observation that is sent in that time returns after its whole wait.
    constexpr std::int64_t AcceptedAfterMs = 90;
    constexpr std::int64_t AnswerMs = 5;
    std::int64_t longestMs = 0;
    for (std::int64_t lostMs = 300; lostMs < 520; lostMs += 5) {
        Fixture site;
        const CallStart start = site.order("a.0.0", 10);
        site.answer(start, 12);
        const auto beside = lastOf<CallStart>(site.orderFrom("gateway-2", "b.0.0", 14));
        REQUIRE(beside.has_value());
        site.answer(*beside, 16);
        site.seen(site.requested, 17);
        std::int64_t renewedMs = 14;
        std::map<std::int64_t, std::uint64_t> pending;
        for (std::int64_t nowMs = 20; nowMs < 2000; ++nowMs) {
            if (nowMs == lostMs) {
                gatewayLost(site.state, Gateway, at(nowMs));
            }
            if (nowMs == lostMs + AcceptedAfterMs) {
                stopAnswered(site.state, "a.0.0", start.start.number, true, at(nowMs));
            }
            const auto due = pending.find(nowMs);
            if (due != pending.end()) {
                site.seen(due->second, nowMs);
            }
            const auto call = lastOf<CallObserve>(tick(site.state, at(nowMs)));
            if (!call) {
                continue;
            }
            pending[nowMs + call->waitMs + AnswerMs] = call->observation;
            if (call->leaseUntilMs != 0) {
                longestMs = std::max(longestMs, nowMs - renewedMs);
                renewedMs = nowMs;
            }
        }
        CHECK_FALSE(site.isKnown(start.run));
        CHECK(site.state.runs.size() == 1);
    }
    CAPTURE(longestMs);
    CHECK(longestMs > 2 * RunnerTimes().observeWaitMs);
    CHECK(longestMs < LeaseMs - RunnerTimes().observeWaitMs);
}

TEST_CASE("A run past its deadline is stopped by its agent alone")
{
    // The gateway's withdrawal is lost with its link. Its caller times out at the deadline and
    // submits again elsewhere: no task of the job may run by then.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    CHECK_FALSE(lastOf<CallStop>(tick(site.state, at(19'990))).has_value());
    const auto stop = lastOf<CallStop>(tick(site.state, at(20'011)));
    REQUIRE(stop.has_value());
    CHECK(stop->number == start.start.number);
}

TEST_CASE("A task that comes back gets a higher run number")
{
    // Run 1 of the task was stopped here, and its start may still take effect late. Its caller has
    // left, and after a new submission at another gateway the task is ordered as attempt 1 again. A
    // second run 1 would be rejected for good, or mistaken for the late one.
    Fixture site;
    const CallStart first = site.order("a.0.0", 10);
    Transient::StartAnswer unanswered;
    startAnswered(site.state, first.run, first.start.number, unanswered, at(160));
    REQUIRE(lastOf<CallStop>(tick(site.state, at(160))).has_value());
    // The run is not observed yet, and no stop was accepted: its start may be executed any time.
    REQUIRE(site.state.pendingObservations.size() == 1);
    site.seen(site.state.pendingObservations.begin()->first, 161);
    CHECK(site.isKnown(first.run));
    site.withdraw("a.0.0", 162);
    CHECK(site.isKnown(first.run));
    stopAnswered(site.state, "a.0.0", first.start.number, true, at(162));
    const auto proof = lastOf<CallObserve>(tick(site.state, at(190)));
    REQUIRE(proof.has_value());
    site.seen(proof->observation, 192);
    REQUIRE_FALSE(site.isKnown(first.run));
    CHECK(site.order("a.0.0", 1500).start.number > first.start.number);
}

TEST_CASE("A late answer of a previous incarnation changes nothing for the present one")
{
    // An incarnation answers an observation and ends. The agent processes the answer only after the
    // next incarnation has been announced and has started a task. If the agent took the answer for
    // that of a third incarnation, which does not have the task, it would end the run while it goes
    // on.
    Fixture site;
    site.answer(site.order("a.0.0", 10), 12);
    const auto previous = lastOf<CallObserve>(tick(site.state, at(100)));
    REQUIRE(previous.has_value());
    constexpr std::int64_t NextStartedAtMs = 2000;
    Transient::BackendAnnouncement next = site.announced();
    next.startedAtMs = NextStartedAtMs;
    next.sequence = 1;
    site.replaceBackend(next, NextStartedAtMs);
    Transient::ObserveAnswer clean;
    clean.outcome = ObserveOutcome::Observed;
    clean.seen.startedAtMs = NextStartedAtMs;
    const auto observeCall = lastOf<CallObserve>(tick(site.state, at(NextStartedAtMs + 50)));
    REQUIRE(observeCall.has_value());
    observeAnswered(site.state, observeCall->observation, clean, at(NextStartedAtMs + 52));
    const CallStart start = site.order("b.0.0", NextStartedAtMs + 60);
    site.answer(start, NextStartedAtMs + 62);
    site.seen(previous->observation, NextStartedAtMs + 70);
    CHECK(site.isKnown(start.run));
}

TEST_CASE("A start that was answered renews what runs beside it")
{
    // No observation reaches the backend server for most of a lease. Then a start does, and whether
    // it is accepted or rejected, all runs there may have a new lease from then on. The earlier run
    // is not ended before that lease lapses.
    for (const StartOutcome outcome : {StartOutcome::Started, StartOutcome::NumberUsed}) {
        CAPTURE(Common::nameOf(Transient::StartOutcomeNames, outcome));
        Fixture site;
        const CallStart first = site.order("a.0.0", 10);
        site.answer(first, 12);
        failObservations(site, ObserveOutcome::NotConnected, 20, 690);
        constexpr std::int64_t RenewedMs = 695;
        const CallStart second = site.order("b.0.0", RenewedMs);
        startAnswered(site.state, second.run, second.start.number, {outcome, RenewedMs},
                      at(RenewedMs + 2));
        failObservations(site, ObserveOutcome::NotConnected, 700, RenewedMs + LeaseMs);
        CHECK(site.isKnown(first.run));
        failObservations(site, ObserveOutcome::NotConnected, RenewedMs + LeaseMs,
                         RenewedMs + LeaseMs + 100);
        CHECK_FALSE(site.isKnown(first.run));
    }
}

TEST_CASE("A run of a previous agent process is not renewed while its stops are unanswered")
{
    // A new process of an agent finds a run that no gateway ordered from it. The stops of the run
    // are lost. If each observation prolonged the lease, the run would go on after the gateways
    // treat the previous process as ended and start the task elsewhere.
    for (const bool hasOwnRun : {false, true}) {
        CAPTURE(hasOwnRun);
        Fixture site;
        std::vector<Transient::ActiveRun> active;
        if (hasOwnRun) {
            const CallStart own = site.order("z.0.0", 5);
            site.answer(own, 6);
            active.push_back({"z.0.0", own.start.number, 10});
        }
        active.push_back({"a.0.0", 1, 10});
        site.state.isClean = hasOwnRun;
        std::int64_t leaseUntilMs = 0;
        for (std::int64_t nowMs = 10; nowMs < 3000; nowMs += 10) {
            if (const auto call = lastOf<CallObserve>(tick(site.state, at(nowMs)))) {
                leaseUntilMs = std::max(leaseUntilMs, call->leaseUntilMs);
                answerObservation(site, call->observation, nowMs + 1, 1, active);
            }
        }
        // The first observation is sent 26 ms after the start; a stop may take 150 ms to be
        // accepted.
        CHECK(leaseUntilMs <= (hasOwnRun ? 26 + 150 + 20 + LeaseMs : 0));
        answerObservation(site, nextObservation(site, 3000), 3100, 1, {});
        CHECK(site.state.strays.empty());
    }
}

TEST_CASE("A task waits while an unwanted run of it is left")
{
    Fixture site;
    const CallStart other = site.order("z.0.0", 10);
    site.answer(other, 12);
    answerObservation(site, nextObservation(site, 14), 40, 1,
                      {{"z.0.0", other.start.number, 10}, {"a.0.0", 1, 10}});
    CHECK_FALSE(lastOf<CallStart>(site.orderFrom(Gateway, "a.0.0", 42)).has_value());
    answerObservation(site, nextObservation(site, 43), 90, 1, {{"z.0.0", other.start.number, 10}});
    CHECK(lastOf<CallStart>(tick(site.state, at(91))).has_value());
}

TEST_CASE("An answer that was overtaken does not end an unwanted run")
{
    // The answer to an observation is late, and the next one shows an unwanted run. Then the late
    // answer arrives, which was made before that run began. If the agent took the run for ended, a
    // task that waits for its end would run beside it.
    Fixture site;
    const CallStart other = site.order("z.0.0", 10);
    site.answer(other, 12);
    const std::vector<Transient::ActiveRun> before = {{"z.0.0", other.start.number, 10}};
    std::vector<Transient::ActiveRun> after = before;
    after.push_back({"a.0.0", 1, 10});
    answerObservation(site, site.requested, 13, 1, before);
    const std::uint64_t overtaken = nextObservation(site, 14);
    const std::uint64_t next = nextObservation(site, 15);
    answerObservation(site, next, 300, 1, after);
    const Effects ordered = site.orderFrom(Gateway, "a.0.0", 302);
    CHECK_FALSE(lastOf<CallStart>(ordered).has_value());
    const auto last = lastOf<CallObserve>(ordered);
    REQUIRE(last.has_value());
    answerObservation(site, overtaken, 304, 1, before);
    CHECK_FALSE(lastOf<CallStart>(tick(site.state, at(305))).has_value());
    answerObservation(site, last->observation, 400, 1, before);
    CHECK(lastOf<CallStart>(tick(site.state, at(401))).has_value());
}

TEST_CASE("An agent observes until unwanted runs have ended")
{
    // The last observation that was needed for the agent's own runs shows an unwanted run. That run
    // ends; without another observation the agent would hold back all starts because of it, and its
    // callers would wait without end.
    Fixture site;
    const CallStart own = site.order("z.0.0", 10);
    site.answer(own, 12);
    Transient::ObserveAnswer ended;
    ended.outcome = ObserveOutcome::Observed;
    ended.seen.clockMs = 40;
    ended.seen.startedAtMs = 1;
    ended.seen.active = {{"a.0.0", 1, 10}};
    ended.seen.ended = {{1, "z.0.0", own.start.number, Transient::RunEnd::Succeeded}};
    observeAnswered(site.state, nextObservation(site, 14), ended, at(40));
    REQUIRE_FALSE(site.isKnown(own.run));
    ended.seen.ended.clear();
    observeAnswered(site.state, nextObservation(site, 41), ended, at(100));
    answerObservation(site, nextObservation(site, 101), 200, 1, {});
    CHECK(site.state.strays.empty());
    CHECK(lastOf<CallStart>(site.orderFrom(Gateway, "b.0.0", 1000)).has_value());
}

TEST_CASE("Unwanted runs of a previous incarnation hold back no start in the next")
{
    Fixture site;
    const CallStart own = site.order("z.0.0", 10);
    site.answer(own, 12);
    answerObservation(site, nextObservation(site, 14), 40, 1,
                      {{"z.0.0", own.start.number, 10}, {"a.0.0", 1, 10}});
    REQUIRE_FALSE(site.state.strays.empty());
    Transient::BackendAnnouncement next = site.announced();
    next.id = "backend-2";
    next.startedAtMs = 900;
    next.sequence = 1;
    site.replaceBackend(next, 1000);
    CHECK(site.state.strays.empty());
}
