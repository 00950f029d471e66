#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <ostream>
#include <random>
#include <string>

#include "TestAgents.h"
#include "Transient/Transient.h"

using namespace Transient;

namespace {

/// Processor time that a gateway takes for a request, by what becomes of it.
constexpr double AdmitCostMs = 0.7;
constexpr double ForwardCostMs = 0.35;
constexpr double RefuseCostMs = 0.15;
constexpr double OtherWorkPerS = 0.012;
constexpr double Processors = 0.12;
/// An answer that leaves later is of no use to callers whose jobs take some 100 ms.
constexpr std::int64_t UsefulAgeMs = 100;
constexpr std::int64_t TimeoutMs = 1500;

struct Load
{
    double requestsPerS = 0;
    /// Share of the processors that the machine gives to the process.
    double speed = 1;
    std::int64_t durationMs = 0;
};

struct Outcome
{
    int submitted = 0;
    int served = 0;
    int forwarded = 0;
    int refused = 0;
    /// Not handled before the caller's timeout.
    int unanswered = 0;
    std::int64_t oldestRefusedMs = 0;
};

struct Arrival
{
    std::string id;
    std::int64_t arrivedMs = 0;
};

/// A gateway with little processor time, its agent, and a strong gateway that takes what is
/// forwarded to it. Requests are handled one at a time and take the processor time of what the
/// decisions made of them; nothing else limits how many are served.
class SlowGateway
{
public:
    explicit SlowGateway(bool refusesWaited, bool hasPeer)
        : refusesWaited(refusesWaited)
        , hasPeer(hasPeer)
    {
        this->state.shared.knownGateways = this->state.shared.fromGateways;
        this->state.capacity.processors = Processors;
        agentAnnounced(this->state, TestAgents::idleAgent("agent", "agent-1", 100'000), this->now(),
                       this->random);
    }

    Outcome offer(const Load &load)
    {
        this->speed = load.speed;
        Outcome outcome;
        const auto endMs = this->nowMs + static_cast<double>(load.durationMs);
        std::exponential_distribution<double> gap(load.requestsPerS / 1000);
        double nextMs = this->nowMs + gap(this->random);
        while (this->nowMs < endMs) {
            for (; nextMs <= this->nowMs; nextMs += gap(this->random)) {
                this->waiting.push_back({"job-" + std::to_string(++this->lastId),
                                         static_cast<std::int64_t>(nextMs)});
                ++outcome.submitted;
            }
            this->runTimers();
            if (this->waiting.empty()) {
                this->nowMs = std::min(endMs, nextMs);
                continue;
            }
            const Arrival arrival = this->waiting.front();
            this->waiting.pop_front();
            this->handle(arrival, outcome);
        }
        return outcome;
    }

private:
    Common::Moment now() const
    {
        const auto ms = static_cast<std::int64_t>(this->nowMs);
        return {ms, ms};
    }

    void spend(double costMs)
    {
        this->cpuMs += costMs;
        this->nowMs += costMs / (Processors * this->speed - OtherWorkPerS);
    }

    void runTimers()
    {
        ProcessorUse &use = this->state.forwarding.use;
        if (this->now().steadyMs < nextProcessorSampleMs(use)) {
            return;
        }
        const double otherMs = OtherWorkPerS * (this->nowMs - this->startMs);
        const bool isSaturated = wasStandingSince(this->state.requestQueue, use.sampledMs);
        observeProcessorUse(use, (this->cpuMs + otherMs) / 1000, Processors, isSaturated,
                            this->now());
        if (this->hasPeer) {
            Schema::GatewayAnnouncement announcement;
            announcement.sentMs = this->now().steadyMs;
            announcement.spareProcessors = 0.25;
            spareAnnounced(this->state, "peer", announcement, this->now());
        }
    }

    void handle(const Arrival &arrival, Outcome &outcome)
    {
        const std::int64_t ageMs = this->now().steadyMs - arrival.arrivedMs;
        if (this->refusesWaited
            && refuseWaited(this->state, arrival.id, arrival.id, arrival.arrivedMs, this->now(),
                            this->random)) {
            ++outcome.refused;
            outcome.oldestRefusedMs = std::max(outcome.oldestRefusedMs, ageMs);
            this->spend(RefuseCostMs);
            return;
        }
        if (ageMs >= TimeoutMs) {
            ++outcome.unanswered;
        }
        outcome.served += ageMs <= UsefulAgeMs ? 1 : 0;
        const Effects effects =
                jobSubmitted(this->state, submissionOf(arrival), this->now(), this->random);
        const bool isForwarded =
                std::any_of(effects.begin(), effects.end(), [](const Effect &effect) {
                    return std::holds_alternative<SendToGateway>(effect);
                });
        outcome.forwarded += isForwarded ? 1 : 0;
        this->end(arrival.id, isForwarded);
        this->spend(isForwarded ? ForwardCostMs : AdmitCostMs);
    }

    Submission submissionOf(const Arrival &arrival) const
    {
        Submission made;
        made.token = arrival.id;
        made.queue.service = "desk";
        made.queue.latencyFactor = 2;
        made.queue.targetLatencyMs = 60;
        made.remainingTimeoutMs = TimeoutMs;
        made.arrivedMs = arrival.arrivedMs;
        made.request.id = arrival.id;
        made.request.steps = {StepRequest{1, {}, 100, {}, "", "", 0}};
        return made;
    }

    /// Ends the job, so that the records of jobs do not grow.
    void end(const std::string &id, bool isForwarded)
    {
        if (isForwarded) {
            this->state.forwarding.out.erase(id);
        } else {
            this->state.jobs.erase(id);
        }
    }

    const bool refusesWaited;
    const bool hasPeer;
    GatewayState state;
    Common::Random random{1};
    const double startMs = 100'000;
    double nowMs = this->startMs;
    double speed = 1;
    double cpuMs = 0;
    int lastId = 0;
    std::deque<Arrival> waiting;
};

/// Requests a second that the gateway handles at this speed without help.
double capacityPerS(double speed)
{
    return (Processors * speed - OtherWorkPerS) * 1000 / AdmitCostMs;
}

} // namespace

TEST_CASE("A gateway short of processor time serves as much as it can, and no less beyond that")
{
    // Guards against congestion collapse: what waits becomes too old to be of use and is worked on
    // all the same, so that nothing is served. Callers learn of it at their timeout.
    struct Row
    {
        const char *what;
        double speed;
        /// Times what the gateway handles at full speed.
        double load;
        bool hasPeer;
        /// Least share of what it can handle at this speed, or of the load if that is less.
        double minShare;
    };
    constexpr double UsualLoad = 0.7;
    const Row rows[] = {{"full speed, usual load", 1, UsualLoad, false, 0.95},
                        {"full speed, twice its capacity", 1, 2, false, 0.48},
                        {"half speed, usual load", 0.5, UsualLoad, false, 0.48},
                        {"half speed, usual load, a peer", 0.5, UsualLoad, true, 0.8},
                        {"a third, usual load, a peer", 1.0 / 3, UsualLoad, true, 0.8}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        constexpr std::int64_t DurationMs = 20'000;
        const Load load{capacityPerS(1) * row.load, row.speed, DurationMs};
        const Outcome with = SlowGateway(true, row.hasPeer).offer(load);
        const Outcome without = SlowGateway(false, row.hasPeer).offer(load);
        const double possible = std::min(capacityPerS(row.speed) * DurationMs / 1000,
                                         static_cast<double>(with.submitted));
        MESSAGE(row.what << ": of " << with.submitted << " served " << with.served << ", forwarded "
                         << with.forwarded << ", refused " << with.refused
                         << " at an age of at most " << with.oldestRefusedMs
                         << " ms; without: served " << without.served << ", unanswered "
                         << without.unanswered);
        CHECK(with.served >= row.minShare * possible);
        CHECK(with.unanswered == 0);
        CHECK(with.oldestRefusedMs <= 250);
        if (load.requestsPerS > capacityPerS(row.speed) && !row.hasPeer) {
            CHECK(without.served < row.minShare * possible);
        }
    }
}

TEST_CASE("A gateway at a quarter of its speed serves in proportion" * doctest::skip())
{
    // Guards against processor time that goes into refusals where jobs could be served.
    constexpr double Speed = 0.25;
    const Outcome outcome = SlowGateway(true, true).offer({capacityPerS(1) * 0.7, Speed, 20'000});
    CHECK(outcome.served >= Speed * outcome.submitted);
    CHECK(outcome.unanswered == 0);
}

TEST_CASE("A gateway serves all again within two seconds after its processors are back")
{
    // Guards against a state that outlives its trigger.
    for (const bool hasPeer : {false, true}) {
        CAPTURE(hasPeer);
        SlowGateway gateway(true, hasPeer);
        const double perS = capacityPerS(1) * 0.6;
        gateway.offer({perS, 0.25, 10'000});
        gateway.offer({perS, 1, 2000});
        const Outcome after = gateway.offer({perS, 1, 5000});
        CHECK(after.served >= 0.98 * after.submitted);
        CHECK(after.refused == 0);
    }
}
