#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <vector>

#include "Runner/Load.h"
#include "RunnerFixture.h"

using namespace RunnerSite;

namespace {

constexpr std::int64_t FirstStartMs = 1;
constexpr std::int64_t NextStartMs = 900;

Transient::BackendAnnouncement kind(std::int64_t startedAtMs, std::int64_t sequence,
                                    const std::string &label, double processors = 8)
{
    Transient::BackendAnnouncement announcement;
    announcement.id = "backend-1";
    announcement.service = "desk";
    announcement.resources.processors = processors;
    announcement.resources.memoryMb = 1000;
    announcement.labels = {label, "rack-1"};
    announcement.startedAtMs = startedAtMs;
    announcement.sequence = sequence;
    return announcement;
}

/// A backend server of kind "a", its agent, and what the agent has told its gateway.
struct Site
{
    Site() { this->announce(kind(FirstStartMs, 2, "a")); }

    void announce(const Transient::BackendAnnouncement &announcement)
    {
        this->nowMs += 10;
        this->take(backendAnnounced(this->runner.state, announcement, at(this->nowMs)));
        if (this->runner.state.claim) {
            this->tickFor(300, announcement.startedAtMs);
        }
    }

    /// The backend server crashes while a task runs, and the next observation is answered by the
    /// incarnation that started at \a startedAtMs.
    void observeAfterCrash(std::int64_t startedAtMs)
    {
        const auto start = lastOf<CallStart>(this->order("crash.0.0", {}));
        REQUIRE(start.has_value());
        this->runner.answer(*start, this->nowMs + 1);
        this->nowMs += 5;
        this->tickFor(200, startedAtMs);
    }

    /// Lets time pass, in which the incarnation that started at \a startedAtMs answers and lists
    /// \a active runs.
    void tickFor(std::int64_t ms, std::int64_t startedAtMs,
                 const std::vector<Transient::ActiveRun> &active = {})
    {
        for (const std::int64_t untilMs = this->nowMs + ms; this->nowMs < untilMs;
             this->nowMs += 5) {
            const auto pending = this->runner.state.pendingObservations;
            for (const auto &[number, observation] : pending) {
                Transient::ObserveAnswer answer;
                answer.outcome = ObserveOutcome::Observed;
                answer.seen.clockMs = this->nowMs;
                answer.seen.startedAtMs = startedAtMs;
                answer.seen.active = active;
                this->take(observeAnswered(this->runner.state, number, answer, at(this->nowMs)));
            }
            grantReceived(this->runner.state, Gateway, this->nowMs);
            const Effects effects = tick(this->runner.state, at(this->nowMs));
            for (const Effect &effect : effects) {
                if (const auto *stop = std::get_if<CallStop>(&effect)) {
                    stopAnswered(this->runner.state, stop->task, stop->number, true,
                                 at(this->nowMs));
                }
            }
            this->take(effects);
        }
    }

    Effects order(const std::string &task, const std::function<void(Schema::TaskOrders &)> &change)
    {
        Schema::TaskOrders orders;
        orders.sequence = ++this->runner.sequence;
        orders.echoMs = this->nowMs;
        orders.resources.processors = 1;
        orders.expectedRunMs = 5000;
        orders.targetInMs = 10'000;
        orders.deadlineInMs = 20'000;
        orders.tasks.push_back({1, task});
        if (change) {
            change(orders);
        }
        Effects effects = ordersReceived(this->runner.state, Gateway, orders, at(this->nowMs));
        append(effects, tick(this->runner.state, at(this->nowMs)));
        this->take(effects);
        return effects;
    }

    void take(const Effects &effects)
    {
        append(this->taken, effects);
        if (lastOf<Announce>(effects)) {
            this->told = announcementFor(this->runner.state, Gateway, at(this->nowMs));
        }
    }

    Fixture runner;
    std::int64_t nowMs = 100;
    Schema::AgentAnnouncement told;
    Effects taken;
};

bool starts(const Effects &effects, const std::string &task)
{
    return std::any_of(effects.begin(), effects.end(), [&task](const Effect &effect) {
        const auto *start = std::get_if<CallStart>(&effect);
        return start != nullptr && start->start.task == task;
    });
}

bool returnsUnstarted(const Effects &effects, const std::string &task)
{
    return std::any_of(effects.begin(), effects.end(), [&task](const Effect &effect) {
        const auto *report = std::get_if<ReportAttempt>(&effect);
        return report != nullptr && report->state.task == task
               && report->state.phase == Schema::AttemptPhase::NotStarted;
    });
}

} // namespace

TEST_CASE("Gateways are told whatever the present incarnation announces, however it was noticed")
{
    // Guards against tasks that require one kind of backend server and are sent to another kind,
    // which has started in its place.
    struct Row
    {
        const char *what;
        std::function<void(Site &)> events;
        std::string label;
        double processors = 8;
        std::string service = "desk";
    };
    const Row rows[] = {
            {"an observation shows the next incarnation, which then announces itself",
             [](Site &site) {
                 site.observeAfterCrash(NextStartMs);
                 site.announce(kind(NextStartMs, 1, "b"));
             },
             "b"},
            {"the next incarnation announces itself first",
             [](Site &site) { site.announce(kind(NextStartMs, 1, "b")); }, "b"},
            {"the next incarnation has less room",
             [](Site &site) {
                 site.observeAfterCrash(NextStartMs);
                 site.announce(kind(NextStartMs, 1, "a", 2));
             },
             "a", 2},
            {"the same incarnation announces another label",
             [](Site &site) { site.announce(kind(FirstStartMs, 3, "b")); }, "b"},
            {"the same incarnation announces less room",
             [](Site &site) { site.announce(kind(FirstStartMs, 3, "a", 2)); }, "a", 2},
            {"the same incarnation announces another service",
             [](Site &site) {
                 Transient::BackendAnnouncement announcement = kind(FirstStartMs, 3, "a");
                 announcement.service = "office";
                 site.announce(announcement);
             },
             "a", 8, "office"},
            {"the next incarnation is of the same kind",
             [](Site &site) {
                 site.observeAfterCrash(NextStartMs);
                 site.announce(kind(NextStartMs, 1, "a"));
             },
             "a"},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        Site site;
        REQUIRE(site.told.labels.front() == "a");
        row.events(site);
        CHECK(site.told.labels == std::vector<std::string>{row.label, "rack-1"});
        CHECK(site.told.resources.processors == row.processors);
        CHECK(site.told.service == row.service);
    }
}

TEST_CASE("An incarnation that has not announced itself is offered to no gateway")
{
    // Guards against tasks that start on a backend server of unknown kind, and against a gateway
    // that connects in the meantime and is told of the previous incarnation.
    Site site;
    site.observeAfterCrash(NextStartMs);
    const Schema::AgentAnnouncement onNewLink =
            announcementFor(site.runner.state, "gateway-2", at(site.nowMs));
    for (const Schema::AgentAnnouncement &told : {site.told, onNewLink}) {
        CHECK_FALSE(told.accepting);
        CHECK(told.labels.empty());
        CHECK(told.resources.processors == 0);
    }
    const Effects effects = site.order("late.0.0", {});
    CHECK(returnsUnstarted(effects, "late.0.0"));
    site.tickFor(200, NextStartMs);
    CHECK_FALSE(starts(site.taken, "late.0.0"));
    site.announce(kind(NextStartMs, 1, "a"));
    CHECK(site.told.accepting);
    CHECK(starts(site.order("next.0.0", {}), "next.0.0"));
}

TEST_CASE("A waiting task starts only on an incarnation that can run it")
{
    // Guards against a task that was placed by what the previous incarnation had announced, waits
    // at the agent, and starts on one that lacks its label, serves something else or is too small.
    struct Row
    {
        const char *what;
        std::function<void(Schema::TaskOrders &)> change;
        std::function<void(Transient::BackendAnnouncement &)> next;
        bool starts;
    };
    const auto requiresA = [](Schema::TaskOrders &orders) { orders.requiredLabel = "a"; };
    const auto ofDesk = [](Schema::TaskOrders &orders) { orders.service = "desk"; };
    const Row rows[] = {
            {"nothing is required", {}, [](auto &next) { next.labels = {"b"}; }, true},
            {"the label is there", requiresA,
             [](auto &next) {
                 next.labels = {"b", "a"};
             },
             true},
            {"the label is gone", requiresA, [](auto &next) { next.labels = {"b"}; }, false},
            {"the service is the same", ofDesk, [](auto &) {}, true},
            {"the service is another", ofDesk, [](auto &next) { next.service = "office"; }, false},
            {"it never fits", [](auto &orders) { orders.resources.processors = 4; },
             [](auto &next) { next.resources.processors = 2; }, false},
            {"it just fits", [](auto &orders) { orders.resources.processors = 4; },
             [](auto &next) { next.resources.processors = 4; }, true},
    };
    for (const bool isObservedFirst : {false, true}) {
        for (const Row &row : rows) {
            CAPTURE(isObservedFirst);
            CAPTURE(std::string(row.what));
            Site site;
            const auto fillAll = [](Schema::TaskOrders &orders) {
                orders.resources.processors = 8;
            };
            const Effects filling = site.order("full.0.0", fillAll);
            const auto start = lastOf<CallStart>(filling);
            REQUIRE(start.has_value());
            site.runner.answer(*start, site.nowMs + 1);
            CHECK_FALSE(starts(site.order("waiting.0.0", row.change), "waiting.0.0"));
            if (isObservedFirst) {
                site.tickFor(100, NextStartMs);
                CHECK(returnsUnstarted(site.taken, "waiting.0.0"));
                continue;
            }
            Transient::BackendAnnouncement next = kind(NextStartMs, 1, "a");
            row.next(next);
            site.announce(next);
            site.tickFor(200, NextStartMs);
            CHECK(starts(site.taken, "waiting.0.0") == row.starts);
            CHECK(returnsUnstarted(site.taken, "waiting.0.0") == !row.starts);
        }
    }
}

TEST_CASE("A start that the next incarnation took is stopped if it may not run there")
{
    // Guards against a task that goes on at a backend server without its label, since the backend
    // server was replaced between the last observation and the start.
    struct Row
    {
        const char *label;
        bool goesOn;
    };
    for (const Row &row : {Row{"a", true}, Row{"b", false}}) {
        CAPTURE(row.label);
        Site site;
        const Effects effects =
                site.order("a.0.0", [](Schema::TaskOrders &orders) { orders.requiredLabel = "a"; });
        const auto start = lastOf<CallStart>(effects);
        REQUIRE(start.has_value());
        site.runner.answer(*start, site.nowMs + 1);
        const std::vector<Transient::ActiveRun> active = {{"a.0.0", start->start.number, 1}};
        site.tickFor(60, NextStartMs, active);
        site.announce(kind(NextStartMs, 1, row.label));
        CHECK_FALSE(lastOf<CallStop>(site.taken).has_value());
        site.tickFor(60, NextStartMs, active);
        CHECK(lastOf<CallStop>(site.taken).has_value() != row.goesOn);
        CHECK(site.runner.isKnown(start->run));
    }
}
