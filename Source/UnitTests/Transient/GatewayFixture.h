#pragma once

#include <string>
#include <vector>

#include "TestAgents.h"
#include "Transient/Transient.h"

/// A gateway for tests of single decisions, and what its effects contain.
namespace GatewayTests {

using namespace Transient;

inline Common::Moment at(std::int64_t ms)
{
    return {ms, ms};
}

/// A gateway with one agent whose backend server has \a processors.
struct Fixture
{
    explicit Fixture(double processors = 8) { this->announce("agent", 0, processors); }

    /// Announces the agent \a name, without runs.
    Effects announce(const std::string &name, std::int64_t nowMs, double processors = 8)
    {
        return agentAnnounced(this->state, TestAgents::idleAgent(name, name + "-1", processors),
                              at(nowMs), this->random);
    }

    Submission submission(const std::string &id, std::vector<StepRequest> steps)
    {
        Submission made;
        made.token = id + "-token" + std::to_string(++this->tokens);
        made.queue.name = "checks";
        made.queue.service = "desk";
        made.queue.attemptLimit = 2;
        made.queue.latencyFactor = 1.6;
        made.queue.targetLatencyMs = 60;
        made.remainingTimeoutMs = 2000;
        made.request.id = id;
        made.request.steps = std::move(steps);
        return made;
    }

    Effects report(const std::string &task, std::int64_t attempt, Schema::AttemptPhase phase,
                   std::int64_t nowMs)
    {
        Schema::AgentReport report;
        report.load.lastOrder = 1000;
        report.states.push_back({});
        report.states.back().task = task;
        report.states.back().attempt = attempt;
        report.states.back().phase = phase;
        report.states.back().reason = phase == Schema::AttemptPhase::Failed
                                              ? Schema::Reason::TaskFailed
                                              : Schema::Reason::None;
        report.states.back().runMs = 50;
        return agentReported(this->state, "agent-1", report, at(nowMs), this->random);
    }

    GatewayState state;
    Common::Random random{1};
    int tokens = 0;
};

inline StepRequest stepOf(int tasks, std::vector<int> after = {}, double processors = 1)
{
    StepRequest step;
    step.taskCount = tasks;
    step.resources.processors = processors;
    step.expectedRunMs = 100;
    step.after = std::move(after);
    return step;
}

inline std::vector<std::string> orderedTasks(const Effects &effects)
{
    std::vector<std::string> tasks;
    for (const Effect &effect : effects) {
        const auto *sent = std::get_if<SendToAgent>(&effect);
        if (sent != nullptr && sent->frame.taskOrders) {
            for (const Schema::TaskAttempt &attempt : sent->frame.taskOrders->tasks) {
                tasks.push_back(attempt.task + '#' + std::to_string(attempt.attempt));
            }
        }
    }
    return tasks;
}

inline std::vector<std::string> withdrawnTasks(const Effects &effects)
{
    std::vector<std::string> tasks;
    for (const Effect &effect : effects) {
        const auto *sent = std::get_if<SendToAgent>(&effect);
        if (sent != nullptr && sent->frame.withdrawTasks) {
            for (const Schema::TaskAttempt &attempt : sent->frame.withdrawTasks->tasks) {
                tasks.push_back(attempt.task);
            }
        }
    }
    return tasks;
}

inline std::vector<JobResult> answers(const Effects &effects)
{
    std::vector<JobResult> results;
    for (const Effect &effect : effects) {
        const auto *answer = std::get_if<AnswerCaller>(&effect);
        if (answer != nullptr) {
            results.push_back(answer->result);
        }
    }
    return results;
}

} // namespace GatewayTests
