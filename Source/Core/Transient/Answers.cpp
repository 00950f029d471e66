#include <algorithm>
#include <string>

#include "Transient/JobsInternal.h"

/// Ends jobs: answers their callers, withdraws their tasks and keeps results for repeated requests.
namespace Transient {

namespace {

constexpr const char *EndCounter = "auburntrail_transient_jobs_total";
constexpr const char *AnswerSeconds = "auburntrail_transient_answer_seconds";
constexpr const char *PredictionCounter = "auburntrail_transient_predictions_total";
constexpr double MsPerSecond = 1000;

void answerAll(Effects &effects, JobRecord &job, const JobResult &result)
{
    for (const std::string &token : job.tokens) {
        effects.emplace_back(AnswerCaller{token, job.id, result});
    }
    job.tokens.clear();
}

std::int64_t highestAttempt(const JobRecord &job)
{
    std::int64_t highest = 0;
    for (const StepRecord &step : job.steps) {
        for (const TaskRecord &task : step.tasks) {
            highest = std::max(highest, task.attempt);
        }
    }
    return highest;
}

/// The predicted share of the time until the job's target, as a label.
const char *predictedShare(const JobRecord &job)
{
    struct Range
    {
        double below;
        const char *label;
    };
    constexpr Range Ranges[] = {{0.5, "below_0.5"}, {0.8, "below_0.8"}, {1, "below_1.0"}};
    const auto targetMs = static_cast<double>(job.targetMs - job.receivedMs);
    for (const Range &range : Ranges) {
        if (job.correctedMs < range.below * targetMs) {
            return range.label;
        }
    }
    return "above";
}

} // namespace

Withdrawals withdrawOrdered(JobRecord &job)
{
    Withdrawals withdrawals;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        std::vector<TaskRecord> &tasks = job.steps[step].tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            TaskRecord &task = tasks[index];
            if (task.phase == TaskPhase::Ordered) {
                task.phase = TaskPhase::Withdrawn;
                withdrawals[task.agentInstance].push_back(
                        {task.attempt,
                         taskName(job, static_cast<int>(step), static_cast<int>(index))});
            }
        }
    }
    return withdrawals;
}

void sendWithdrawals(Effects &effects, Withdrawals &withdrawals)
{
    for (auto &[agent, tasks] : withdrawals) {
        Schema::Frame frame = frameOf(Schema::FrameType::WithdrawTasks);
        frame.withdrawTasks = Schema::WithdrawTasks{};
        frame.withdrawTasks->tasks = std::move(tasks);
        effects.emplace_back(SendToAgent{agent, std::move(frame)});
    }
}

void removeIfSettled(GatewayState &state, const std::string &id, Common::Moment now)
{
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end() || !found->second.result || found->second.unsettled > 0) {
        return;
    }
    const JobResult result = *found->second.result;
    const bool isAnswer =
            result.outcome == JobOutcome::Succeeded || result.outcome == JobOutcome::Failed;
    if (isAnswer) {
        state.finished[id] = {result, now.steadyMs + state.times.retentionMs,
                              std::move(found->second.queue)};
    } else {
        state.formerAttempts[id] = {highestAttempt(found->second),
                                    now.steadyMs + state.times.retentionMs};
    }
    state.jobs.erase(found);
}

Effects endJob(GatewayState &state, JobRecord &job, const JobResult &result, Common::Moment now)
{
    Effects effects;
    Withdrawals withdrawals = withdrawOrdered(job);
    for (StepRecord &step : job.steps) {
        for (TaskRecord &task : step.tasks) {
            if (task.phase == TaskPhase::Ready || task.phase == TaskPhase::Blocked
                || task.phase == TaskPhase::Held) {
                task.phase = TaskPhase::Dropped;
            }
        }
    }
    state.readyTasks -= job.ready;
    job.ready = 0;
    job.result = result;
    const double seconds = static_cast<double>(now.steadyMs - job.receivedMs) / MsPerSecond;
    effects.emplace_back(
            LogLine{"job_ended",
                    {{"job", job.id},
                     {"queue", job.queue.name},
                     {"outcome", std::string(Common::nameOf(JobOutcomeNames, result.outcome))},
                     {"reason", Schema::enumName(result.reason)},
                     {"after_ms", std::to_string(now.steadyMs - job.receivedMs)},
                     {"target_ms", std::to_string(job.targetMs - job.receivedMs)},
                     {"tasks_withdrawn", std::to_string(job.unsettled)}}});
    effects.emplace_back(CountReason{EndCounter, result.reason});
    if (result.outcome == JobOutcome::Succeeded) {
        observeAnswer(state.predictionErrors[job.queue.name], job.predictedMs,
                      static_cast<double>(now.steadyMs - job.receivedMs) - job.ownDelayMs,
                      now.steadyMs);
        effects.emplace_back(ObserveSeconds{AnswerSeconds, seconds, {{"queue", job.queue.name}}});
    }
    if (isShared(state.shared)) {
        const bool isInTime =
                result.outcome == JobOutcome::Succeeded && now.steadyMs <= job.targetMs;
        effects.emplace_back(CountLabels{PredictionCounter,
                                         {{"queue", job.queue.name},
                                          {"predicted", predictedShare(job)},
                                          {"in_time", isInTime ? "true" : "false"}}});
    }
    answerAll(effects, job, result);
    sendWithdrawals(effects, withdrawals);
    return effects;
}

} // namespace Transient
