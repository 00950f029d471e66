#pragma once

#include <doctest/doctest.h>
#include <optional>
#include <ostream>
#include <string>

#include "Runner/Observation.h"
#include "Runner/Runner.h"
#include "Runner/Runs.h"

/// An agent whose calls a test answers one by one.
namespace RunnerSite {

using namespace Runner;
using Transient::ObserveOutcome;
using Transient::StartOutcome;

constexpr std::int64_t LeaseMs = 700;
constexpr const char *Gateway = "gateway-1";

inline Common::Moment at(std::int64_t ms)
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

/// An agent whose backend server has no runs, as an observation has shown.
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

    /// What the present incarnation of the backend server has announced last.
    Transient::BackendAnnouncement announced() const { return *this->state.backend->announced; }

    /// Announces \a next. If that is another incarnation, the present one does not answer any more.
    void replaceBackend(const Transient::BackendAnnouncement &next, std::int64_t nowMs)
    {
        backendAnnounced(this->state, next, at(nowMs));
        if (!this->state.claim) {
            return;
        }
        const auto call = lastOf<CallObserve>(observeIfDue(this->state, at(nowMs)));
        REQUIRE(call.has_value());
        Transient::ObserveAnswer gone;
        gone.outcome = ObserveOutcome::NotConnected;
        observeAnswered(this->state, call->observation, gone, at(nowMs));
        REQUIRE(this->announced().id == next.id);
    }

    /// Answers an observation that shows all runs that the agent counts as running.
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

    /// Answers an observation without any runs.
    void answerEmptyObservation(std::uint64_t observation, std::int64_t nowMs)
    {
        Transient::ObserveAnswer answer;
        answer.outcome = ObserveOutcome::Observed;
        answer.seen.clockMs = nowMs;
        answer.seen.startedAtMs = 1;
        observeAnswered(this->state, observation, answer, at(nowMs));
    }

    /// Orders a task and returns the start that follows.
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

    void withdraw(const std::string &task, std::int64_t nowMs)
    {
        Schema::WithdrawTasks withdraw;
        withdraw.tasks.push_back({1, task});
        withdrawReceived(this->state, Gateway, withdraw, at(nowMs));
    }

    /// Ends the observation that followed the last order with \a outcome.
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

/// Ends all pending observations with \a outcome.
void failPending(Fixture &site, ObserveOutcome outcome, std::int64_t nowMs);
/// Ends every observation between \a fromMs and \a untilMs with \a outcome. Returns the latest
/// lease end that they requested; 0 if none requested a lease.
std::int64_t failObservations(Fixture &site, ObserveOutcome outcome, std::int64_t fromMs,
                              std::int64_t untilMs);

} // namespace RunnerSite
