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
        this->seen(first->watch, 2);
    }

    Effects seen(std::uint64_t watch, std::int64_t nowMs, std::int64_t startedAtMs = 1)
    {
        Transient::ObserveAnswer answer;
        answer.outcome = ObserveOutcome::Seen;
        answer.seen.clockMs = nowMs;
        answer.seen.startedAtMs = startedAtMs;
        for (const auto &[id, run] : this->state.runs) {
            if (run.phase == RunPhase::Running) {
                answer.seen.active.push_back({run.task, run.number, 10});
            }
        }
        return observed(this->state, watch, answer, at(nowMs));
    }

    /// The start that the order leads to.
    CallStart order(const std::string &task, std::int64_t nowMs)
    {
        Schema::TaskOrders orders;
        orders.sequence = ++this->sequence;
        orders.echoMs = nowMs;
        orders.resources.processors = 1;
        orders.expectedRunMs = 5000;
        orders.targetInMs = 10'000;
        orders.deadlineInMs = 20'000;
        orders.tasks.push_back({1, task});
        Effects effects = ordersReceived(this->state, Gateway, orders, at(nowMs));
        append(effects, tick(this->state, at(nowMs)));
        const auto start = lastOf<CallStart>(effects);
        REQUIRE(start.has_value());
        if (const auto look = lastOf<CallObserve>(effects)) {
            this->asked = look->watch;
        }
        return *start;
    }

    /// The observation that followed the last order ends with \a outcome.
    void lookFails(ObserveOutcome outcome, std::int64_t nowMs)
    {
        Transient::ObserveAnswer failed;
        failed.outcome = outcome;
        observed(this->state, this->asked, failed, at(nowMs));
    }

    void answer(const CallStart &start, std::int64_t nowMs)
    {
        startAnswered(this->state, start.run, start.start.number, {StartOutcome::Started, nowMs},
                      at(nowMs));
    }

    bool isKnown(RunId run) const { return this->state.runs.count(run) != 0; }

    RunnerState state;
    std::int64_t sequence = 0;
    std::uint64_t asked = 0;
};

/// Every observation of the time ends with \a outcome. Returns the last lease that was asked for.
std::int64_t observeInVain(Fixture &site, ObserveOutcome outcome, std::int64_t fromMs,
                           std::int64_t untilMs)
{
    std::int64_t leaseUntilMs = 0;
    for (std::int64_t nowMs = fromMs; nowMs < untilMs; nowMs += 10) {
        const auto call = lastOf<CallObserve>(tick(site.state, at(nowMs)));
        if (call) {
            leaseUntilMs = std::max(leaseUntilMs, call->leaseUntilMs);
            Transient::ObserveAnswer failed;
            failed.outcome = outcome;
            observed(site.state, call->watch, failed, at(nowMs + 1));
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
        observeInVain(site, outcome, 20, lapsingMs);
        CHECK(site.isKnown(first.run));
        const CallStart second = site.order("b.0.0", lapsingMs);
        observeInVain(site, outcome, lapsingMs + 10, lapsingMs + 100);
        CHECK(site.isKnown(second.run));
        CHECK(site.isKnown(first.run));
        // The first was under the lease that the second start may have granted, and no later one.
        // The second was never answered: it may be on its way for 12 s.
        observeInVain(site, outcome, lapsingMs + 110, lapsingMs + 1700);
        CHECK_FALSE(site.isKnown(first.run));
        CHECK(site.isKnown(second.run));
        observeInVain(site, outcome, lapsingMs + 1700, lapsingMs + 12'000);
        CHECK(site.isKnown(second.run));
        observeInVain(site, outcome, lapsingMs + 12'000, lapsingMs + 15'000);
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
            observeInVain(site, ObserveOutcome::Unanswered, 20, 20 + 3 * LeaseMs);
    CHECK_FALSE(site.isKnown(start.run));
    CHECK(leaseUntilMs <= 12 + 2 * (LeaseMs + LeaseMs / 25));
    CHECK_FALSE(site.state.isAlive);
}

TEST_CASE("A lost answer after a quiet time gives nothing up")
{
    // Callers had every answer in time, and yet one task ran three times at once. Its agent had had
    // nothing to do, and so nothing to ask, for seconds. It started the task and looked; the answer
    // to that look was lost within 3 ms. The time without an answer counted as silence of the
    // backend server, every run was given up, and the gateway had the task start elsewhere 8 ms
    // after its first start. The log of a play with lost answers and little load showed it:
    //   event=backend_lost why=unanswered answered_ms_ago=7282
    //   event=run_ended attempt=1 waited_ms=4 phase=stopped reason=backend_lost run_ms=0
    //   event=stray_run_stopped run=1 percent=14
    constexpr std::int64_t QuietMs = 7282;
    for (const bool isStartAnswered : {false, true}) {
        CAPTURE(isStartAnswered);
        Fixture site;
        const CallStart start = site.order("a.0.0", QuietMs);
        if (isStartAnswered) {
            site.answer(start, QuietMs + 1);
        }
        site.lookFails(ObserveOutcome::Unanswered, QuietMs + 3);
        CHECK(site.isKnown(start.run));
        observeInVain(site, ObserveOutcome::Unanswered, QuietMs + 4, QuietMs + 100);
        CHECK(site.isKnown(start.run));
        CHECK(site.state.isAlive);
    }
}

TEST_CASE("A question that failed before a quiet time is no silence")
{
    // A start and the look after it are refused, and then the agent has nothing to do for seconds.
    // The next look fails, too: the backend server has not been silent meanwhile, it was not asked.
    constexpr std::int64_t QuietMs = 7000;
    Fixture site;
    const CallStart refused = site.order("a.0.0", 10);
    site.lookFails(ObserveOutcome::Refused, 12);
    startAnswered(site.state, refused.run, refused.start.number, {StartOutcome::Refused, {}},
                  at(31));
    REQUIRE_FALSE(site.isKnown(refused.run));
    tick(site.state, at(100));
    const CallStart start = site.order("b.0.0", QuietMs);
    site.lookFails(ObserveOutcome::Refused, QuietMs + 2);
    observeInVain(site, ObserveOutcome::Refused, QuietMs + 10, QuietMs + 100);
    CHECK(site.isKnown(start.run));
    CHECK(site.state.isAlive);
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
    Transient::ObserveAnswer lost;
    observed(site.state, renewal->watch, lost, at(RenewedMs + 10));
    observeInVain(site, ObserveOutcome::NotConnected, RenewedMs + 20, RenewedMs + LeaseMs);
    CHECK(site.isKnown(start.run));
    observeInVain(site, ObserveOutcome::NotConnected, RenewedMs + LeaseMs,
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
    observeInVain(site, ObserveOutcome::Unanswered, 170, 12'000);
    CHECK_FALSE(site.state.isAlive);
    CHECK(site.isKnown(start.run));
    observeInVain(site, ObserveOutcome::Unanswered, 12'000, 15'000);
    CHECK_FALSE(site.isKnown(start.run));
}

TEST_CASE("A late announcement of a former life changes nothing")
{
    // A backend server begins a new life at the same address, and an announcement that the former
    // one had sent arrives only then. Taken for a third life, it would have everything given up
    // that runs in the second, and run elsewhere as well.
    struct Row
    {
        const char *formerId;
        std::int64_t formerStartedAtMs;
    };
    const Row rows[] = {{"backend-1", 1}, {"backend-0", 500}};
    for (const Row &row : rows) {
        CAPTURE(row.formerId);
        Fixture site;
        Transient::BackendAnnouncement former = *site.state.backend;
        former.id = row.formerId;
        former.startedAtMs = row.formerStartedAtMs;
        former.sequence = 7;
        backendAnnounced(site.state, former, at(20));
        Transient::BackendAnnouncement next = *site.state.backend;
        next.id = "backend-2";
        next.startedAtMs = 900;
        next.sequence = 1;
        backendAnnounced(site.state, next, at(1000));
        const auto look = lastOf<CallObserve>(tick(site.state, at(1100)));
        REQUIRE(look.has_value());
        site.seen(look->watch, 1101, next.startedAtMs);
        const CallStart start = site.order("a.0.0", 1200);
        site.answer(start, 1202);
        former.sequence = 8;
        backendAnnounced(site.state, former, at(1250));
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
    const CallStart former = site.order("a.0.0", 10);
    const auto asked = lastOf<CallObserve>(tick(site.state, at(40)));
    REQUIRE(asked.has_value());
    Transient::BackendAnnouncement next = *site.state.backend;
    next.startedAtMs = 900;
    next.sequence = 1;
    backendAnnounced(site.state, next, at(1000));
    const auto look = lastOf<CallObserve>(tick(site.state, at(1100)));
    REQUIRE(look.has_value());
    stopAnswered(site.state, "a.0.0", former.start.number, true, at(1100));
    site.seen(look->watch, 1101, next.startedAtMs);
    const CallStart start = site.order("b.0.0", 1200);
    site.answer(start, 1202);
    site.seen(asked->watch, 1210, 1);
    startAnswered(site.state, former.run, former.start.number, {StartOutcome::Started, 77'000},
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
    const auto look = lastOf<CallObserve>(tick(site.state, at(420)));
    REQUIRE(look.has_value());
    site.seen(look->watch, 422, 300);
    CHECK(site.isKnown(start.run));
    CHECK(site.state.fence > fence);
    REQUIRE(lastOf<CallStop>(tick(site.state, at(423))).has_value());
    stopAnswered(site.state, "a.0.0", start.start.number, true, at(424));
    const auto proof = lastOf<CallObserve>(tick(site.state, at(450)));
    REQUIRE(proof.has_value());
    site.seen(proof->watch, 452, 300);
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
    const auto look = lastOf<CallObserve>(tick(site.state, at(40)));
    REQUIRE(look.has_value());
    site.seen(look->watch, 42, 30);
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
    observeInVain(site, ObserveOutcome::NotConnected, 110, 1500);
    CHECK_FALSE(site.isKnown(start.run));
}

TEST_CASE("Observations that were made before a start took effect do not end it")
{
    // A start takes long to be answered. Two observations are sent after it, carried out before it,
    // and answered after it: neither shows the run, and both were asked for later than the start.
    Fixture site;
    const CallStart start = site.order("a.0.0", 10);
    Transient::ObserveAnswer empty;
    empty.outcome = ObserveOutcome::Seen;
    empty.seen.startedAtMs = 1;
    std::vector<std::uint64_t> asked;
    for (std::int64_t nowMs = 11; asked.size() < 2 && nowMs < 1000; ++nowMs) {
        if (const auto call = lastOf<CallObserve>(tick(site.state, at(nowMs)))) {
            asked.push_back(call->watch);
        }
    }
    REQUIRE(asked.size() == 2);
    site.answer(start, 1000);
    for (const std::uint64_t watch : asked) {
        observed(site.state, watch, empty, at(1001));
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
    constexpr int FewestTries = 9;
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
    CHECK(stops >= FewestTries);
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
            answer.outcome = ObserveOutcome::Seen;
            answer.seen.clockMs = nowMs + 1;
            answer.seen.startedAtMs = 1;
            answer.seen.active.push_back({"a.0.0", start.start.number, 10});
            observed(site.state, call->watch, answer, at(nowMs + 1));
        }
    }
    CHECK(leaseUntilMs < ResubmittedMs);
    CHECK(leaseUntilMs > LinkLostMs + LeaseMs);
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
    observed(site.state, call->watch, {}, at(400));
    CHECK(site.state.fence > fence);
    const std::int64_t raised = site.state.fence;
    const CallStart next = site.order("b.0.0", 410);
    CHECK(next.start.fence == raised);
    startAnswered(site.state, next.run, next.start.number, {StartOutcome::Unanswered, {}}, at(560));
    CHECK(site.state.fence > raised);
}

namespace {

/// An answer of the life \a startedAtMs that shows \a active.
Effects shows(Fixture &site, std::uint64_t watch, std::int64_t nowMs, std::int64_t startedAtMs,
              const std::vector<Transient::ActiveRun> &active)
{
    Transient::ObserveAnswer answer;
    answer.outcome = ObserveOutcome::Seen;
    answer.seen.clockMs = nowMs;
    answer.seen.startedAtMs = startedAtMs;
    answer.seen.active = active;
    return observed(site.state, watch, answer, at(nowMs));
}

std::uint64_t nextLook(Fixture &site, std::int64_t fromMs)
{
    for (std::int64_t nowMs = fromMs; nowMs < fromMs + 1000; ++nowMs) {
        if (const auto call = lastOf<CallObserve>(tick(site.state, at(nowMs)))) {
            return call->watch;
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
    for (const bool isMetInAnnouncement : {false, true}) {
        CAPTURE(isMetInAnnouncement);
        Fixture site;
        constexpr std::int64_t BornMs = 4900;
        const CallStart start = site.order("a.0.0", 5000);
        site.answer(start, 5003);
        const std::vector<Transient::ActiveRun> active = {{"a.0.0", start.start.number, 1}};
        if (isMetInAnnouncement) {
            Transient::BackendAnnouncement next = *site.state.backend;
            next.startedAtMs = BornMs;
            next.sequence = 1;
            backendAnnounced(site.state, next, at(5005));
        } else {
            shows(site, site.asked, 5005, BornMs, active);
        }
        CHECK(site.isKnown(start.run));
        shows(site, nextLook(site, 5010), 5050, BornMs, active);
        CHECK(site.isKnown(start.run));
        CHECK(site.state.isClean);
    }
}

TEST_CASE("A run that a new life does not have is given up at the first look")
{
    Fixture site;
    const CallStart start = site.order("a.0.0", 5000);
    site.answer(start, 5003);
    shows(site, site.asked, 5005, 4900, {});
    CHECK(site.isKnown(start.run));
    shows(site, nextLook(site, 5010), 5050, 4900, {});
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
        Transient::BackendAnnouncement dead = present;
        dead.id = id;
        dead.startedAtMs = 500;
        dead.sequence = 3;
        backendAnnounced(site.state, dead, at(1250));
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
    site.lookFails(ObserveOutcome::OtherLife, 112);
    observeInVain(site, ObserveOutcome::OtherLife, 120, 2000);
    REQUIRE_FALSE(site.state.isAlive);
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
        if (const auto made = lastOf<CallStart>(effects)) {
            lastLeaseMs = std::max(lastLeaseMs, made->start.leaseUntilMs);
            site.answer(*made, nowMs + 2);
        }
        if (const auto call = lastOf<CallObserve>(effects)) {
            site.seen(call->watch, nowMs + 3);
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
    site.lookFails(ObserveOutcome::Refused, 12);
    Schema::WithdrawTasks withdraw;
    withdraw.tasks.push_back({1, "a.0.0"});
    withdrawReceived(site.state, Gateway, withdraw, at(99));
    const auto look = lastOf<CallObserve>(tick(site.state, at(99)));
    REQUIRE(look.has_value());
    stopAnswered(site.state, "a.0.0", start.start.number, true, at(99));
    shows(site, look->watch, 102, 1, {});
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
    site.lookFails(ObserveOutcome::Refused, 13);
    stopAnswered(site.state, "a.0.0", start.start.number, true, at(15));
    shows(site, nextLook(site, 16), 121, 1, {});
    CHECK_FALSE(site.isKnown(start.run));
    CHECK(site.state.fence > fence);
    CHECK(site.state.grantedMs >= 10);
}
