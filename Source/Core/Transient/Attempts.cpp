#include <algorithm>

#include "Transient/Displacement.h"
#include "Transient/JobsInternal.h"

/// Handles reports of agents about attempts, and their consequences for tasks and jobs.
namespace Transient {

namespace {

using Schema::AttemptPhase;
using Schema::Reason;

constexpr const char *ReturnCounter = "auburntrail_transient_returns_total";
constexpr const char *RetryCounter = "auburntrail_transient_retries_total";
/// How long an agent that returned a task for lack of room gets no others; its next reports arrive
/// within this time.
constexpr std::int64_t RefusedPauseMs = 50;

void releaseTask(GatewayState &state, JobRecord &job, StepRecord &step, TaskRecord &task)
{
    --job.unsettled;
    const auto agent = state.fleet.agents.find(task.agent);
    if (agent != state.fleet.agents.end()) {
        agent->second.inFlight = std::max<std::int64_t>(0, agent->second.inFlight - 1);
    }
    const auto tasksAtAgent = step.tasksByAgent.find(task.agent);
    if (tasksAtAgent != step.tasksByAgent.end() && tasksAtAgent->second > 0) {
        --tasksAtAgent->second;
    }
}

/// Makes a task ready again whose last attempt is over. With \a avoidsAgent, the agent of that
/// attempt is used again only if there is no other.
void retryTask(GatewayState &state, JobRecord &job, TaskRecord &task, bool avoidsAgent)
{
    task.phase = TaskPhase::Ready;
    ++job.ready;
    ++state.readyTasks;
    const bool isKnown =
            std::find(task.avoided.begin(), task.avoided.end(), task.agent) != task.avoided.end();
    if (avoidsAgent && !isKnown) {
        task.avoided.push_back(task.agent);
    }
}

LogLine retryLogLine(const JobRecord &job, const TaskRecord &task,
                     const Schema::AttemptState &reported)
{
    return LogLine{"task_retried",
                   {{"job", job.id},
                    {"task", reported.task},
                    {"attempt", std::to_string(reported.attempt)},
                    {"agent", task.agent},
                    {"phase", Schema::enumName(reported.phase)},
                    {"reason", Schema::enumName(reported.reason)},
                    {"run_ms", std::to_string(reported.runMs)},
                    {"failures", std::to_string(task.failures)}}};
}

void learnFromAttempt(GatewayState &state, Effects &effects, const StepRecord &step,
                      const TaskRecord &task, const Schema::AttemptState &reported,
                      Common::Moment now)
{
    const auto agent = state.fleet.agents.find(task.agent);
    const bool isInformative = reported.phase == AttemptPhase::Succeeded
                               || reported.phase == AttemptPhase::Failed
                               || reported.reason == Reason::BackendRefused;
    if (agent == state.fleet.agents.end() || !isInformative) {
        return;
    }
    RunOutcome outcome;
    outcome.succeeded = reported.phase == AttemptPhase::Succeeded;
    outcome.expectedMs = task.expectedMs;
    outcome.runMs = reported.runMs;
    if (recordRunOutcome(state.fleet, agent->second, step.profile, outcome, now.steadyMs)) {
        effects.emplace_back(LogLine{
                "backend_ejected",
                {{"agent", task.agent},
                 {"task", reported.task},
                 {"for_ms", std::to_string(agent->second.health.ejectedUntilMs - now.steadyMs)}}});
    }
}

/// Agents of older builds do not report waits.
void learnWait(GatewayState &state, const JobRecord &job, const TaskRecord &task,
               const Schema::AttemptState &reported, Common::Moment now)
{
    if (includesWaitErrors(state) && reported.waitedMs) {
        observeWait(state.waitErrors[{job.queue.name, job.queue.priority}], task.predictedWaitMs,
                    static_cast<double>(*reported.waitedMs), now.steadyMs);
    }
}

void taskSucceeded(GatewayState &state, Effects &effects, JobRecord &job, StepRecord &step,
                   TaskRecord &task, Common::Moment now)
{
    task.phase = TaskPhase::Succeeded;
    ++step.succeeded;
    if (job.result) {
        return;
    }
    if (allSucceeded(job)) {
        append(effects, endJob(state, job, {JobOutcome::Succeeded, Reason::None, 0}, now));
    } else {
        state.readyTasks += openSteps(job);
    }
}

void taskFailed(GatewayState &state, Effects &effects, JobRecord &job, TaskRecord &task,
                const Schema::AttemptState &reported, Common::Moment now)
{
    task.failures += 1;
    if (task.failures >= job.queue.attemptLimit) {
        task.phase = TaskPhase::Dropped;
        append(effects,
               endJob(state, job, {JobOutcome::Failed, Reason::AttemptsExhausted, 0}, now));
        return;
    }
    effects.emplace_back(retryLogLine(job, task, reported));
    effects.emplace_back(CountReason{RetryCounter, Reason::TaskFailed});
    retryTask(state, job, task, true);
}

void handleReturnedTask(GatewayState &state, Effects &effects, JobRecord &job, TaskRecord &task,
                        const Schema::AttemptState &reported, Common::Moment now)
{
    effects.emplace_back(retryLogLine(job, task, reported));
    effects.emplace_back(CountReason{RetryCounter, reported.reason});
    if (reported.reason == Reason::BackendBusy) {
        ++task.returns;
        effects.emplace_back(CountReason{ReturnCounter, reported.reason});
    }
    const bool isFull = reported.reason == Reason::NoRoom;
    if (isFull) {
        const auto agent = state.fleet.agents.find(task.agent);
        if (agent != state.fleet.agents.end()) {
            agent->second.pausedUntilMs = now.steadyMs + RefusedPauseMs;
        }
    }
    // An agent that returned a withdrawn task is as good as any other.
    retryTask(state, job, task, !isFull && reported.reason != Reason::Withdrawn);
}

} // namespace

Effects handleAttemptState(GatewayState &state, const std::string &instance,
                           const Schema::AttemptState &reported, Common::Moment now,
                           Common::Random &random)
{
    Effects effects;
    const auto ref = parseTaskName(reported.task);
    const auto found = ref ? state.jobs.find(ref->job) : state.jobs.end();
    if (found == state.jobs.end()) {
        return effects;
    }
    JobRecord &job = found->second;
    TaskRecord *task = findTask(job, *ref);
    const bool isCurrent =
            task != nullptr && task->attempt == reported.attempt && task->agentInstance == instance
            && (task->phase == TaskPhase::Ordered || task->phase == TaskPhase::Withdrawn);
    if (!isCurrent) {
        return effects;
    }
    if (!provesNotRun(reported)) {
        job.hasBegun = true;
        if (!job.result) {
            resumeDisplaced(state, effects, job);
        }
    }
    if (reported.phase == AttemptPhase::Running) {
        task->isStartAnswered = true;
        if (!job.result && job.displacement == DisplacementPhase::Over && job.ready > 0) {
            append(effects, placeAndOrder(state, job, now, random));
        }
        return effects;
    }
    StepRecord &step = job.steps[static_cast<std::size_t>(ref->step)];
    learnFromAttempt(state, effects, step, *task, reported, now);
    learnWait(state, job, *task, reported, now);
    releaseTask(state, job, step, *task);
    if (reported.phase == AttemptPhase::Succeeded) {
        taskSucceeded(state, effects, job, step, *task, now);
    } else if (job.result) {
        task->phase = TaskPhase::Dropped;
    } else if (job.displacement == DisplacementPhase::Pending) {
        task->phase = TaskPhase::Held;
        refuseIfReturned(state, effects, job, now, random);
    } else if (reported.phase == AttemptPhase::Failed) {
        taskFailed(state, effects, job, *task, reported, now);
    } else {
        handleReturnedTask(state, effects, job, *task, reported, now);
    }
    // Tasks returned in one report are placed together when all of its states are handled.
    if (!job.result && job.ready > 0 && reported.reason != Reason::BackendBusy) {
        append(effects, placeAndOrder(state, job, now, random));
    }
    const std::string id = job.id;
    removeIfSettled(state, id, now);
    append(effects, admitParked(state, id, now, random));
    return effects;
}

} // namespace Transient
