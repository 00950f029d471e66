#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "TestAgents.h"
#include "Transient/Transient.h"

namespace ForwardingFixture {

using namespace Transient;

/// A weak gateway whose processor is fully used, and a strong one, with an agent. Frames that they
/// send to each other are passed on by hand.
struct TwoGateways
{
    TwoGateways()
    {
        for (GatewayState *state : {&this->weak, &this->strong}) {
            state->shared.knownGateways = state->shared.fromGateways;
            agentAnnounced(*state, TestAgents::idleAgent("agent", "agent-1"), this->now(),
                           this->random);
        }
        this->weak.capacity.processors = 0.12;
        this->weak.forwarding.use.usedShare = 1;
        this->strong.capacity.processors = 0.5;
        this->announce();
    }

    Common::Moment now() const { return {this->nowMs, this->nowMs}; }

    void announce()
    {
        Schema::GatewayAnnouncement announcement;
        addSpare(announcement, this->strong, "weak", this->now());
        spareAnnounced(this->weak, "strong", announcement, this->now());
    }

    /// Keeps the frames and answers of \a effects.
    void carryOut(GatewayState &state, const Effects &effects)
    {
        for (const Effect &effect : effects) {
            if (const auto *answer = std::get_if<AnswerCaller>(&effect)) {
                if (const auto forwarded = answerForwarded(state, *answer)) {
                    this->carryOut(state, *forwarded);
                } else {
                    this->answers.push_back(*answer);
                }
            } else if (const auto *sent = std::get_if<SendToGateway>(&effect)) {
                (&state == &this->weak ? this->toStrong : this->toWeak).push_back(sent->frame);
            }
        }
    }

    void submit(const std::string &token)
    {
        Submission made;
        made.token = token;
        made.queue.service = "desk";
        made.remainingTimeoutMs = 2000;
        made.request.id = "job";
        made.request.steps = {StepRequest{1, {}, 100, {}, "", "", 0}};
        this->carryOut(this->weak,
                       jobSubmitted(this->weak, std::move(made), this->now(), this->random));
    }

    /// Delivers all frames.
    void exchange()
    {
        while (!this->toStrong.empty() || !this->toWeak.empty()) {
            for (const Schema::Frame &frame : std::exchange(this->toStrong, {})) {
                this->carryOut(
                        this->strong,
                        frame.forwardedJob
                                ? forwardedJobReceived(this->strong, "weak", *frame.forwardedJob,
                                                       this->now(), this->random)
                                : forwardedCancelReceived(this->strong, "weak",
                                                          *frame.forwardedCancel, this->now()));
            }
            for (const Schema::Frame &frame : std::exchange(this->toWeak, {})) {
                this->carryOut(this->weak,
                               forwardedResultReceived(this->weak, "strong", *frame.forwardedResult,
                                                       this->now(), this->random));
            }
        }
    }

    /// The agent reports the end of the only task.
    void report(Schema::AttemptPhase phase)
    {
        Schema::AgentReport report;
        report.states.resize(1);
        report.states[0].task = "job.0.0";
        report.states[0].attempt = 1;
        report.states[0].phase = phase;
        this->carryOut(this->strong,
                       agentReported(this->strong, "agent-1", report, this->now(), this->random));
    }

    void tickAt(std::int64_t ms)
    {
        this->nowMs = ms;
        this->carryOut(this->strong, tick(this->strong, this->now(), this->random));
        this->carryOut(this->weak, tick(this->weak, this->now(), this->random));
    }

    std::int64_t nowMs = 100'000;
    Common::Random random{1};
    GatewayState weak;
    GatewayState strong;
    std::vector<Schema::Frame> toStrong;
    std::vector<Schema::Frame> toWeak;
    std::vector<AnswerCaller> answers;
};

} // namespace ForwardingFixture
