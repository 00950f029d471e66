#include <doctest/doctest.h>
#include <optional>
#include <ostream>

#include "Runner/Runner.h"
#include "Runner/Runs.h"
#include "Runner/Watch.h"

using namespace Runner;
using Transient::ObserveOutcome;
using Transient::StartOutcome;

namespace {

constexpr std::int64_t LeaseMs = 700;
constexpr const char *Gateway = "gateway-1";

Common::Moment at(std::int64_t ms)
{
    return {ms, ms};
}

template <typename Wanted>
std::optional<Wanted> lastOf(const Effects &effects)
{
    std::optional<Wanted> last;
    for (const Effect &effect : effects) {
        if (const auto *found = std::get_if<Wanted>(&effect)) {
            last = *found;
        }
    }
    return last;
}

/// An agent whose backend server is free and known to be clean.
struct Fixture
{
    Fixture()
    {
        this->state.instance = "agent-1";
        this->state.service = "desk";
        this->state.times.leaseMs = LeaseMs;
        this->state.times.grantMs = 1'000'000;
        Transient::BackendAnnouncement backend;
        backend.id = "backend-1";
        backend.service = "desk";
        backend.resources.processors = 8;
        backend.resources.memoryMb = 1000;
        backend.startedAtMs = 1;
        backend.sequence = 1;
        backendAnnounced(this->state, backend, at(1));
        grantReceived(this->state, Gateway, 1);
        const auto first = lastOf<CallObserve>(tick(this->state, at(1)));
        REQUIRE(first.has_value());
        this->seen(first->observation, 2);
    }

    Effects seen(std::uint64_t observation, std::int64_t nowMs, std::int64_t startedAtMs = 1)
    {
        Transient::ObserveAnswer answer;
        answer.outcome = ObserveOutcome::Observed;
        answer.seen.clockMs = nowMs;
        answer.seen.startedAtMs = startedAtMs;
        for (const auto &[id, run] : this->state.runs) {
            if (run.phase == RunPhase::Running) {
                answer.seen.active.push_back({run.task, run.number, 10});
            }
        }
        return observeAnswered(this->state, observation, answer, at(nowMs));
    }

    /// An observation comes back that shows nothing at all.
    void answerEmptyObservation(std::uint64_t observation, std::int64_t nowMs)
    {
        Transient::ObserveAnswer answer;
        answer.outcome = ObserveOutcome::Observed;
        answer.seen.clockMs = nowMs;
        answer.seen.startedAtMs = 1;
        observeAnswered(this->state, observation, answer, at(nowMs));
    }

    /// The start that the order leads to.
    CallStart order(const std::string &task, std::int64_t nowMs)
    {
        const Effects effects = this->orderFrom(Gateway, task, nowMs);
        const auto start = lastOf<CallStart>(effects);
        REQUIRE(start.has_value());
        if (const auto observeCall = lastOf<CallObserve>(effects)) {
            this->requested = observeCall->observation;
        }
        return *start;
    }

    Effects orderFrom(const std::string &gateway, const std::string &task, std::int64_t nowMs)
    {
        Schema::TaskOrders orders;
        orders.sequence = ++this->sequence;
        orders.echoMs = nowMs;
        orders.resources.processors = 1;
        orders.expectedRunMs = 5000;
        orders.targetInMs = 10'000;
        orders.deadlineInMs = 20'000;
        orders.tasks.push_back({1, task});
        Effects effects = ordersReceived(this->state, gateway, orders, at(nowMs));
        append(effects, tick(this->state, at(nowMs)));
        return effects;
    }

    /// The observation that followed the last order ends with \a outcome.
    void failLastObservation(ObserveOutcome outcome, std::int64_t nowMs)
    {
        Transient::ObserveAnswer failed;
        failed.outcome = outcome;
        observeAnswered(this->state, this->requested, failed, at(nowMs));
    }

    void answer(const CallStart &start, std::int64_t nowMs)
    {
        startAnswered(this->state, start.run, start.start.number, {StartOutcome::Started, nowMs},
                      at(nowMs));
    }

    bool isKnown(RunId run) const { return this->state.runs.count(run) != 0; }

    RunnerState state;
    std::int64_t sequence = 0;
    std::uint64_t requested = 0;
};

/// Those under way fail, too.
void failPending(Fixture &site, ObserveOutcome outcome, std::int64_t nowMs)
{
    const std::map<std::uint64_t, PendingObservation> pending = site.state.pendingObservations;
    for (const auto &[id, observation] : pending) {
        Transient::ObserveAnswer failed;
        failed.outcome = outcome;
        observeAnswered(site.state, id, failed, at(nowMs));
    }
}

/// Every observation of the time ends with \a outcome. Returns the last lease that was asked for.
std::int64_t failObservations(Fixture &site, ObserveOutcome outcome, std::int64_t fromMs,
                              std::int64_t untilMs)
{
    failPending(site, outcome, fromMs);
    std::int64_t leaseUntilMs = 0;
    for (std::int64_t nowMs = fromMs; nowMs < untilMs; nowMs += 10) {
        const auto call = lastOf<CallObserve>(tick(site.state, at(nowMs)));
        if (call) {
            leaseUntilMs = std::max(leaseUntilMs, call->leaseUntilMs);
            Transient::ObserveAnswer failed;
            failed.outcome = outcome;
            observeAnswered(site.state, call->observation, failed, at(nowMs + 1));
        }
    }
    return leaseUntilMs;
}

} // namespace

TEST_CASE("A start on its way is not given up with what has lapsed")
{
    // The backend server refuses every observation for a while and takes a start all the same. A
    // refusal comes in while the start's answer is on its way. The run before it has lapsed; the
    // new one has not: given up now, its task would run a second time elsewhere.
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
        // The first was under the lease that the second start may have granted, and no later one.
        // The second was never answered: it may be on its way for 12 s.
        failObservations(site, outcome, lapsingMs + 110, lapsingMs + 1700);
        CHECK_FALSE(site.isKnown(first.run));
        CHECK(site.isKnown(second.run));
        failObservations(site, outcome, lapsingMs + 1700, lapsingMs + 12'000);
        CHECK(site.isKnown(second.run));
        failObservations(site, outcome, lapsingMs + 12'000, lapsingMs + 15'000);
        CHECK_FALSE(site.isKnown(second.run));
    }
}

TEST_CASE("What is taken to have lapsed is not renewed")
{
    // The backend server carries observations out and answers none. Each would renew the lease of
    // everything there; the agent gives its runs up in the end, and they must be over by then.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    const std::int64_t leaseUntilMs =
            failObservations(site, ObserveOutcome::Unanswered, 20, 20 + 3 * LeaseMs);
    CHECK_FALSE(site.isKnown(start.run));
    CHECK(leaseUntilMs <= 12 + 2 * (LeaseMs + LeaseMs / 25));
    CHECK_FALSE(site.state.isBackendResponsive);
}

TEST_CASE("A lost answer after a quiet time gives nothing up")
{
    // Callers had every answer in time, and yet one task had two runs at a time. Its agent had had
    // nothing to do, and so nothing to ask, for seconds. It started the task and looked; the answer
    // to that look was lost within 3 ms. The time without an answer counted as silence of the
    // backend server, every run was given up, and the gateway had the task start elsewhere 8 ms
    // after its first start. The log of a play with lost answers and little load showed it:
    //   event=backend_lost why=unanswered answered_ms_ago=7282
    //   event=run_ended attempt=1 waited_ms=4 phase=stopped reason=backend_lost run_ms=0
    //   event=stray_run_stopped run=1 percent=14
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

TEST_CASE("A question that failed before a quiet time is no silence")
{
    // A start and the look after it are refused, and then the agent has nothing to do for seconds.
    // The next look fails, too: the backend server has not been silent meanwhile, it was not asked.
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
    // The backend server carries out a renewal without answering it, and no connection can be made
    // to it for a while after. What runs there lasts for a lease from that renewal on, not from the
    // last answer: given up earlier, it would run a second time elsewhere.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    constexpr std::int64_t RenewedMs = 700;
    const auto renewal = lastOf<CallObserve>(tick(site.state, at(RenewedMs)));
    REQUIRE(renewal.has_value());
    REQUIRE(renewal->leaseUntilMs == RenewedMs + LeaseMs);
    Transient::ObserveAnswer unanswered;
    observeAnswered(site.state, renewal->observation, unanswered, at(RenewedMs + 10));
    failObservations(site, ObserveOutcome::NotConnected, RenewedMs + 20, RenewedMs + LeaseMs);
    CHECK(site.isKnown(start.run));
    failObservations(site, ObserveOutcome::NotConnected, RenewedMs + LeaseMs,
                     RenewedMs + LeaseMs + 100);
    CHECK_FALSE(site.isKnown(start.run));
}

TEST_CASE("A start that was never answered is not given up with the leases")
{
    // A start goes unanswered, and so does everything after it. It may still be on its way and take
    // effect up to 12 s later, with a lease counted from then. Given up when the leases known of
    // are over, its task would go to another agent and run there when the start arrives.
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

TEST_CASE("A late announcement of a former life changes nothing")
{
    // A backend server begins a new life at the same address, and an announcement that the former
    // one had sent arrives only then. Taken for a third life, it would have everything given up
    // that runs in the second, and run elsewhere as well.
    struct Row
    {
        const char *previousId;
        std::int64_t previousStartedAtMs;
    };
    const Row rows[] = {{"backend-1", 1}, {"backend-0", 500}};
    for (const Row &row : rows) {
        CAPTURE(row.previousId);
        Fixture site;
        Transient::BackendAnnouncement previous = *site.state.backend;
        previous.id = row.previousId;
        previous.startedAtMs = row.previousStartedAtMs;
        previous.sequence = 7;
        backendAnnounced(site.state, previous, at(20));
        Transient::BackendAnnouncement next = *site.state.backend;
        next.id = "backend-2";
        next.startedAtMs = 900;
        next.sequence = 1;
        backendAnnounced(site.state, next, at(1000));
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

TEST_CASE("What was asked of a former life tells nothing of the present one")
{
    // A backend server crashes and begins another life under the same id, which announces itself.
    // The answer to an observation of the former life, and to a start there, is taken in only then.
    // The runs of the new life go on, and its clock stays known.
    Fixture site;
    const CallStart previous = site.order("a.0.0", 10);
    const auto requested = lastOf<CallObserve>(tick(site.state, at(40)));
    REQUIRE(requested.has_value());
    Transient::BackendAnnouncement next = *site.state.backend;
    next.startedAtMs = 900;
    next.sequence = 1;
    backendAnnounced(site.state, next, at(1000));
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
    CHECK(leaseUntilMs(site.state, at(1212)) == 1212 + LeaseMs);
}

TEST_CASE("A start that went to a former life is stopped in the present one")
{
    // The backend server begins another life under the same id while a start is unanswered. Orders
    // that are carried out late reach the new life, which knows neither the run's number nor the
    // fence. The task is free only after the new life has confirmed a stop, under a higher fence.
    Fixture site;
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
    REQUIRE(lastOf<CallStop>(tick(site.state, at(423))).has_value());
    stopAnswered(site.state, "a.0.0", start.start.number, true, at(424));
    const auto proof = lastOf<CallObserve>(tick(site.state, at(450)));
    REQUIRE(proof.has_value());
    site.seen(proof->observation, 452, 300);
    CHECK_FALSE(site.isKnown(start.run));
}

TEST_CASE("The announcements of a life that was met in an observation are heard")
{
    // An observation shows that another life has begun; its announcements count from 1 again. It
    // says that it leaves, and must get nothing more.
    Fixture site;
    site.state.backend->sequence = 50;
    const CallStart start = site.order("a.0.0", 10);
    site.answer(start, 12);
    const auto observeCall = lastOf<CallObserve>(tick(site.state, at(40)));
    REQUIRE(observeCall.has_value());
    site.seen(observeCall->observation, 42, 30);
    Transient::BackendAnnouncement leaving = *site.state.backend;
    leaving.sequence = 2;
    leaving.leaving = true;
    backendAnnounced(site.state, leaving, at(60));
    CHECK(site.state.backend->leaving);
}

TEST_CASE("What runs at a backend server that has left is given up with its lease")
{
    // A backend server says that it has left while a task still runs there; it may take some
    // moments to end. Given up at once, the task would run elsewhere beside it.
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
    // A start takes long to be answered. Two observations are sent after it, carried out before it,
    // and answered after it: neither shows the run, and both were asked for later than the start.
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

TEST_CASE("Of stops one in two goes unanswered, and what must end ends before its caller is back")
{
    // The gateway of a run is killed and its caller submits again elsewhere 1.3 s later. Every
    // second order to the backend server is lost. The stop is repeated without a wait for the one
    // that hangs; 300 ms are for the link to come back.
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

TEST_CASE("What must end is not renewed while its stop goes unanswered")
{
    // The gateway of a run is killed and its caller submits again elsewhere 1.3 s later. The
    // backend server answers observations and no stop. Its leases end all that runs there before
    // that: better the tasks of others run again than one runs twice at a time.
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
    // Nothing else is wanted there: not even the first look after the loss renews.
    CHECK(leaseUntilMs <= LinkLostMs + LeaseMs);
    CHECK(leaseUntilMs > LinkLostMs + LeaseMs - 50);
}

TEST_CASE("After an unanswered call nothing sent before it is obeyed")
{
    // A renewal goes unanswered and is carried out seconds later, when it would prolong runs that
    // this agent has given up meanwhile. Every later call has a higher fence: once one of them is
    // answered, the late one does nothing.
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

/// An answer of the life \a startedAtMs that shows \a active.
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

TEST_CASE("A run that a new life has taken goes on when that life is met")
{
    // A backend server restarts under its id while its agent has nothing to ask. It takes the next
    // start before it has announced itself. What shows the new life shows the run, too: given up
    // with the runs of the former life, its task would start elsewhere beside it.
    for (const bool isDetectedByAnnouncement : {false, true}) {
        CAPTURE(isDetectedByAnnouncement);
        Fixture site;
        constexpr std::int64_t NextStartedAtMs = 4900;
        const CallStart start = site.order("a.0.0", 5000);
        site.answer(start, 5003);
        const std::vector<Transient::ActiveRun> active = {{"a.0.0", start.start.number, 1}};
        if (isDetectedByAnnouncement) {
            Transient::BackendAnnouncement next = *site.state.backend;
            next.startedAtMs = NextStartedAtMs;
            next.sequence = 1;
            backendAnnounced(site.state, next, at(5005));
        } else {
            answerObservation(site, site.requested, 5005, NextStartedAtMs, active);
        }
        CHECK(site.isKnown(start.run));
        answerObservation(site, nextObservation(site, 5010), 5050, NextStartedAtMs, active);
        CHECK(site.isKnown(start.run));
        CHECK(site.state.isClean);
    }
}

TEST_CASE("A run that a new life does not have is given up at the first look")
{
    Fixture site;
    const CallStart start = site.order("a.0.0", 5000);
    site.answer(start, 5003);
    answerObservation(site, site.requested, 5005, 4900, {});
    CHECK(site.isKnown(start.run));
    answerObservation(site, nextObservation(site, 5010), 5050, 4900, {});
    CHECK_FALSE(site.isKnown(start.run));
}

TEST_CASE("An announcement of a life that was over before this agent began changes nothing")
{
    // It was held up on its way while its sender crashed and another life took its place. Taken for
    // a newer one, it would have all runs given up, and every later announcement of the life that
    // is there would count as late: the agent would take no work for good.
    for (const char *id : {"backend-0", "backend-1"}) {
        CAPTURE(std::string(id));
        Fixture site;
        Transient::BackendAnnouncement present = *site.state.backend;
        present.startedAtMs = 1000;
        site.state.backend = present;
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

TEST_CASE("A life with an earlier start is met where the present one is gone")
{
    // The time of day was set back before a backend server began another life: its start seems
    // older than that of the life before. It counts as soon as the former one answers no more.
    Fixture site;
    site.state.backend->startedAtMs = 9000;
    Transient::BackendAnnouncement next = *site.state.backend;
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

TEST_CASE("Nothing is started while a stop is not taken")
{
    // A start prolongs the lease of all that runs there, as a renewal does. The gateway of a run is
    // killed, its stops go unanswered, and orders of another gateway wait: started, each would keep
    // the unwanted run at work after its caller has submitted it again.
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

TEST_CASE("An observation of the millisecond in which a stop was taken proves nothing")
{
    // It was asked for before the answer to the stop came in, and may have been carried out before
    // a start that is late.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    site.failLastObservation(ObserveOutcome::Refused, 12);
    Schema::WithdrawTasks withdraw;
    withdraw.tasks.push_back({1, "a.0.0"});
    withdrawReceived(site.state, Gateway, withdraw, at(99));
    const auto observeCall = lastOf<CallObserve>(tick(site.state, at(99)));
    REQUIRE(observeCall.has_value());
    stopAnswered(site.state, "a.0.0", start.start.number, true, at(99));
    answerObservation(site, observeCall->observation, 102, 1, {});
    CHECK(site.isKnown(start.run));
}

TEST_CASE("A start that is settled before its answer counts as unanswered")
{
    // A task is withdrawn while its start is open; the stop is taken and the run is not shown. The
    // start may yet be carried out and prolong what else runs there: it stays counted as a grant,
    // and the fence is above it.
    Fixture site;
    const std::int64_t fence = site.state.fence;
    const CallStart start = site.order("a.0.0", 10);
    Schema::WithdrawTasks withdraw;
    withdraw.tasks.push_back({1, "a.0.0"});
    withdrawReceived(site.state, Gateway, withdraw, at(12));
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
    // until the first is over: the backend server would work on both.
    Fixture site;
    const CallStart first = site.order("a.0.0", 10);
    site.answer(first, 12);
    CHECK_FALSE(lastOf<CallStart>(site.orderFrom("gateway-2", "a.0.0", 20)).has_value());
    gatewayLost(site.state, Gateway, at(30));
    const auto stop = lastOf<CallStop>(tick(site.state, at(30)));
    REQUIRE(stop.has_value());
    CHECK_FALSE(lastOf<CallStart>(tick(site.state, at(31))).has_value());
    stopAnswered(site.state, stop->task, stop->number, true, at(32));
    // What was asked before the stop was taken proves nothing: the answer may be older.
    REQUIRE(site.state.pendingObservations.size() == 1);
    site.seen(site.state.pendingObservations.begin()->first, 34);
    CHECK(site.isKnown(first.run));
    const auto proof = lastOf<CallObserve>(tick(site.state, at(60)));
    REQUIRE(proof.has_value());
    site.seen(proof->observation, 62);
    CHECK_FALSE(site.isKnown(first.run));
    CHECK(lastOf<CallStart>(tick(site.state, at(63))).has_value());
}

TEST_CASE("An agent that has not seen its backend server free starts nothing")
{
    // A new process finds a run of the former one, whose task may be on its way to another
    // agent or back to this one. It gives orders back until the run has been stopped and is
    // gone.
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

TEST_CASE("The end of an earlier run does not end the one that has its task")
{
    // A stopped run is listed as ended only after the task has come back and started here anew.
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

TEST_CASE("A fence that is too low is raised until it is obeyed")
{
    // The time of day was set back before the agent started. Its backend server obeys none of
    // its calls and may still obey late ones of the former process.
    Fixture site;
    site.order("a.0.0", 10);
    const std::int64_t before = site.state.fence;
    failObservations(site, ObserveOutcome::Fenced, 30, 40);
    CHECK(site.state.fence >= before + FenceStepMs);
}

TEST_CASE("An observation that overtook a start does not give the run up")
{
    // The start is slow; an observation that was sent after it is carried out before it and
    // does not show the run. The run is there all the same.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    const auto observeCall = lastOf<CallObserve>(tick(site.state, at(40)));
    REQUIRE(observeCall.has_value());
    site.answer(start, 45);
    site.answerEmptyObservation(observeCall->observation, 46);
    CHECK(site.isKnown(start.run));
}

TEST_CASE("Observations from before a start do not give the run up")
{
    // Answers come late, two of them at once, and after a start that none of them can show.
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

TEST_CASE("A gateway whose grant has lapsed has nothing running any more")
{
    // The gateway lost power, and its link breaks for nobody. Its callers submit again
    // elsewhere 1.3 s later; the agent has to stop what it had ordered without being told.
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

TEST_CASE("A run past its deadline is stopped by its agent alone")
{
    // The gateway's withdrawal is lost with its link. Its caller gives up at the deadline and
    // submits again elsewhere: nothing of the job may run by then.
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
    // It was stopped here with run 1, whose start may still be on its way. Submitted again at
    // another gateway it comes as attempt 1 again: run 1 would be rejected for good, or taken
    // for the one that is on its way.
    Fixture site;
    const CallStart first = site.order("a.0.0", 10);
    Transient::StartAnswer unanswered;
    startAnswered(site.state, first.run, first.start.number, unanswered, at(160));
    REQUIRE(lastOf<CallStop>(tick(site.state, at(160))).has_value());
    // It is not there yet, and nothing bars it: its start may be carried out any time.
    REQUIRE(site.state.pendingObservations.size() == 1);
    site.seen(site.state.pendingObservations.begin()->first, 161);
    CHECK(site.isKnown(first.run));
    stopAnswered(site.state, "a.0.0", first.start.number, true, at(162));
    const auto proof = lastOf<CallObserve>(tick(site.state, at(190)));
    REQUIRE(proof.has_value());
    site.seen(proof->observation, 192);
    REQUIRE_FALSE(site.isKnown(first.run));
    CHECK(site.order("a.0.0", 1500).start.number > first.start.number);
}

TEST_CASE("An answer of a former life changes nothing for the one that has its place")
{
    // An observation was answered by a life that ended then; the agent takes the answer in only
    // after the next life has been announced and has begun a task. It takes the answer for yet
    // another life, which knows nothing of the task, and gives it up while it runs.
    Fixture site;
    site.answer(site.order("a.0.0", 10), 12);
    const auto previous = lastOf<CallObserve>(tick(site.state, at(100)));
    REQUIRE(previous.has_value());
    constexpr std::int64_t NextStartedAtMs = 2000;
    Transient::BackendAnnouncement next = *site.state.backend;
    next.startedAtMs = NextStartedAtMs;
    next.sequence = 1;
    backendAnnounced(site.state, next, at(NextStartedAtMs));
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
    // No observation comes through for most of a lease; then a start does, taken or not, and
    // with it everything there has a lease from then on. What ran before is not over before
    // that ends.
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

TEST_CASE("What a former process left is not renewed while its stops go unanswered")
{
    // An agent's new process finds a run that nobody here wants. Its stops are lost; each look
    // would prolong the lease, and gateways have the task started elsewhere once the former process
    // counts as over.
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
        // The first look is 26 ms after the start; 150 ms are for a stop to be taken.
        CHECK(leaseUntilMs <= (hasOwnRun ? 26 + 150 + 20 + LeaseMs : 0));
        answerObservation(site, nextObservation(site, 3000), 3100, 1, {});
        CHECK(site.state.strays.empty());
    }
}

TEST_CASE("A task waits while a run of it that nobody wants is left")
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

TEST_CASE("An agent looks until what nobody wants is gone")
{
    // A run that nobody wants is shown by the last look that was needed. It ends; without another
    // look the agent would hold all starts back for it, and its callers would wait for good.
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

TEST_CASE("What nobody wanted of a former life holds nothing up in the next")
{
    Fixture site;
    const CallStart own = site.order("z.0.0", 10);
    site.answer(own, 12);
    answerObservation(site, nextObservation(site, 14), 40, 1,
                      {{"z.0.0", own.start.number, 10}, {"a.0.0", 1, 10}});
    REQUIRE_FALSE(site.state.strays.empty());
    Transient::BackendAnnouncement next = *site.state.backend;
    next.id = "backend-2";
    next.startedAtMs = 900;
    next.sequence = 1;
    backendAnnounced(site.state, next, at(1000));
    CHECK(site.state.strays.empty());
}
