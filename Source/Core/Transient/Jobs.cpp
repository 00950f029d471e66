#include "Transient/Jobs.h"

#include <algorithm>
#include <limits>
#include <random>
#include <tuple>

#include "Transient/Learned.h"
#include "Transient/Placement.h"

namespace Transient {

namespace {

using Schema::AttemptPhase;
using Schema::Reason;

constexpr const char *RefusalCounter = "auburntrail_transient_refusals_total";
constexpr const char *RetryCounter = "auburntrail_transient_retries_total";
constexpr const char *EndCounter = "auburntrail_transient_jobs_total";
constexpr const char *AnswerSeconds = "auburntrail_transient_answer_seconds";
constexpr double MsPerSecond = 1000;
constexpr double PercentOfOne = 100;
/// An agent that gave a task back for want of room gets none until its next reports are in.
constexpr std::int64_t RefusedPauseMs = 50;
/// Told to callers where nothing says when a backend server will be there: by then a process that
/// was killed is back.
constexpr std::int64_t RetryMs = 1000;
/// Bounds the work that one round of timers can cost.
constexpr std::int64_t SweepMs = 20;

std::string text(double value)
{
    return std::to_string(static_cast<std::int64_t>(value));
}

/// Attempts to withdraw, by the agent's instance.
using Withdrawals = std::map<std::string, std::vector<Schema::TaskAttempt>>;

void sendWithdrawals(Effects &effects, Withdrawals &withdrawals)
{
    for (auto &[agent, tasks] : withdrawals) {
        Schema::Frame frame;
        frame.type = Schema::FrameType::WithdrawTasks;
        frame.withdrawTasks = Schema::WithdrawTasks{};
        frame.withdrawTasks->tasks = std::move(tasks);
        effects.emplace_back(SendToAgent{agent, std::move(frame)});
    }
}

void answerAll(Effects &effects, JobRecord &job, const JobResult &result)
{
    for (const std::string &token : job.tokens) {
        effects.emplace_back(AnswerCaller{token, job.id, result});
    }
    job.tokens.clear();
}

void forgetIfSettled(GatewayState &state, const std::string &id, Common::Moment now)
{
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end() || !found->second.result || found->second.unsettled > 0) {
        return;
    }
    const JobResult result = *found->second.result;
    const bool isAnswer =
            result.outcome == JobOutcome::Succeeded || result.outcome == JobOutcome::Failed;
    if (isAnswer) {
        state.finished[id] = {result, now.steadyMs + state.times.rememberMs};
    }
    state.jobs.erase(found);
}

/// Decides the job's answer. Its tasks that are with agents are withdrawn; the job is kept until
/// each is over.
Effects endJob(GatewayState &state, JobRecord &job, const JobResult &result, Common::Moment now)
{
    Effects effects;
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
            } else if (task.phase == TaskPhase::Ready || task.phase == TaskPhase::Blocked) {
                task.phase = TaskPhase::Dropped;
            }
        }
    }
    state.readyTasks -= job.ready;
    job.ready = 0;
    job.result = result;
    const double seconds = static_cast<double>(now.steadyMs - job.receivedMs) / MsPerSecond;
    effects.emplace_back(
            Note{"job_ended",
                 {{"job", job.id},
                  {"queue", job.queue.name},
                  {"outcome", std::string(Common::nameOf(JobOutcomeNames, result.outcome))},
                  {"reason", Schema::enumName(result.reason)},
                  {"after_ms", std::to_string(now.steadyMs - job.receivedMs)},
                  {"target_ms", std::to_string(job.targetMs - job.receivedMs)},
                  {"tasks_withdrawn", std::to_string(job.unsettled)}}});
    effects.emplace_back(CountReason{EndCounter, result.reason});
    if (result.outcome == JobOutcome::Succeeded) {
        answerObserved(state.predictionErrors[job.queue.name], job.predictedMs,
                       static_cast<double>(now.steadyMs - job.receivedMs), now.steadyMs);
        effects.emplace_back(ObserveSeconds{AnswerSeconds, job.queue.name, seconds});
    }
    answerAll(effects, job, result);
    sendWithdrawals(effects, withdrawals);
    return effects;
}

struct PlacedTask
{
    int step = 0;
    int index = 0;
    Placement placement;
};

/// Finds agents for the job's ready tasks, without ordering anything yet.
std::vector<PlacedTask> placeReady(GatewayState &state, JobRecord &job, Common::Moment now,
                                   Common::Random &random)
{
    std::vector<PlacedTask> placed;
    for (std::size_t stepIndex = 0; stepIndex < job.steps.size(); ++stepIndex) {
        StepRecord &step = job.steps[stepIndex];
        PlacementQuery query;
        query.service = job.queue.service;
        query.step = &step.request;
        query.runMs = Dispatch::meanRunMs(state.fleet.estimates, step.profile);
        query.tasksThere = &step.tasksThere;
        for (std::size_t index = 0; index < step.tasks.size(); ++index) {
            const TaskRecord &task = step.tasks[index];
            if (task.phase != TaskPhase::Ready) {
                continue;
            }
            query.avoided = &task.avoided;
            const auto placement = placeTask(state.fleet, query, now.steadyMs, random);
            if (!placement) {
                continue;
            }
            state.fleet.agents.at(placement->agent).tentativeProcessors +=
                    step.request.resources.processors;
            ++step.tasksThere[placement->agent];
            placed.push_back({static_cast<int>(stepIndex), static_cast<int>(index), *placement});
        }
    }
    return placed;
}

void undoPlacing(GatewayState &state, JobRecord &job, const std::vector<PlacedTask> &placed)
{
    for (const PlacedTask &one : placed) {
        StepRecord &step = job.steps[static_cast<std::size_t>(one.step)];
        state.fleet.agents.at(one.placement.agent).tentativeProcessors = 0;
        --step.tasksThere[one.placement.agent];
    }
}

Schema::TaskOrders makeOrders(const JobRecord &job, const StepRecord &step, double runMs,
                              Common::Moment now)
{
    Schema::TaskOrders orders;
    orders.payload = job.payload;
    orders.resources = step.request.resources;
    orders.priority = job.queue.priority;
    orders.expectedRunMs = static_cast<std::int64_t>(runMs);
    orders.targetInMs = job.targetMs - now.steadyMs;
    orders.deadlineInMs = job.deadlineMs - now.steadyMs;
    return orders;
}

/// Sends the placed tasks to their agents, those of one step and agent in one message.
Effects orderTasks(GatewayState &state, JobRecord &job, const std::vector<PlacedTask> &placed,
                   Common::Moment now)
{
    Effects effects;
    std::map<std::pair<std::string, int>, Schema::TaskOrders> byAgent;
    for (const PlacedTask &one : placed) {
        StepRecord &step = job.steps[static_cast<std::size_t>(one.step)];
        TaskRecord &task = step.tasks[static_cast<std::size_t>(one.index)];
        AgentView &agent = state.fleet.agents.at(one.placement.agent);
        agent.tentativeProcessors = 0;
        Common::invariant(task.phase == TaskPhase::Ready, "only a task that waits is ordered");
        task.phase = TaskPhase::Ordered;
        task.attempt += 1;
        task.isStartAnswered = false;
        task.agent = one.placement.agent;
        task.agentInstance = agent.announced.instance;
        task.expectedMs = one.placement.runMs;
        const auto [entry, isNew] = byAgent.try_emplace({one.placement.agent, one.step});
        if (isNew) {
            entry->second = makeOrders(job, step, one.placement.runMs, now);
        }
        entry->second.tasks.push_back({task.attempt, taskName(job, one.step, one.index)});
    }
    const int count = static_cast<int>(placed.size());
    job.unsettled += count;
    job.ready -= count;
    state.readyTasks -= count;
    job.anyOrdered = job.anyOrdered || count > 0;
    for (auto &[key, orders] : byAgent) {
        AgentView &agent = state.fleet.agents.at(key.first);
        const auto tasks = static_cast<std::int64_t>(orders.tasks.size());
        orders.sequence =
                ordered(agent, orders.resources.processors * static_cast<double>(tasks), tasks);
        orders.echoMs = agent.load.sentMs;
        Schema::Frame frame;
        frame.type = Schema::FrameType::TaskOrders;
        frame.taskOrders = std::move(orders);
        effects.emplace_back(SendToAgent{agent.announced.instance, std::move(frame)});
    }
    return effects;
}

Effects placeAndOrder(GatewayState &state, JobRecord &job, Common::Moment now,
                      Common::Random &random)
{
    return orderTasks(state, job, placeReady(state, job, now, random), now);
}

std::vector<double> stepRunsMs(const GatewayState &state, const JobRecord &job)
{
    std::vector<double> runs;
    for (const StepRecord &step : job.steps) {
        runs.push_back(Dispatch::meanRunMs(state.fleet.estimates, step.profile));
    }
    return runs;
}

JobRecord makeJob(GatewayState &state, Submission &submission, Common::Moment now)
{
    JobRecord job;
    job.id = submission.request.id;
    job.queue = submission.queue;
    job.payload = std::move(submission.request.payload);
    job.tokens.push_back(submission.token);
    job.receivedMs = now.steadyMs;
    for (StepRequest &request : submission.request.steps) {
        StepRecord step;
        step.profile =
                Dispatch::findProfile(state.fleet.estimates, job.queue.name, request.expectedRunMs);
        step.tasks.resize(static_cast<std::size_t>(request.taskCount));
        step.request = std::move(request);
        job.steps.push_back(std::move(step));
    }
    const double chainMs = longestChainMs(job.steps, stepRunsMs(state, job));
    UsualPatience &usual = state.patiences[job.queue.name];
    if (state.limits.countsWaiting) {
        job.waitedBeforeMs = waitedBeforeMs(usual, submission.patienceMs);
    }
    patienceSeen(usual, submission.patienceMs);
    job.targetMs = now.steadyMs + static_cast<std::int64_t>(job.queue.latencyFactor * chainMs)
                   + job.queue.targetLatencyMs - job.waitedBeforeMs;
    const double usefulMs =
            static_cast<double>(job.targetMs - now.steadyMs) * state.limits.mostLateness;
    job.lastStartMs = now.steadyMs + static_cast<std::int64_t>(usefulMs - chainMs);
    job.deadlineMs = now.steadyMs + submission.patienceMs;
    return job;
}

AdmissionQuery admissionQuery(const GatewayState &state, const JobRecord &job,
                              const std::vector<PlacedTask> &placed, Common::Moment now,
                              Common::Random &random)
{
    std::vector<double> stepMs = stepRunsMs(state, job);
    AdmissionQuery query;
    for (const PlacedTask &one : placed) {
        double &longest = stepMs[static_cast<std::size_t>(one.step)];
        longest = std::max(longest, one.placement.waitMs + one.placement.runMs);
        query.waitMs = std::max(query.waitMs, one.placement.waitMs);
    }
    query.predictedMs = longestChainMs(job.steps, stepMs) + state.times.overheadMs;
    const auto error = state.predictionErrors.find(job.queue.name);
    if (state.limits.correctsPredictions && error != state.predictionErrors.end()) {
        query.stretch = expectedStretch(error->second, now.steadyMs);
    }
    query.targetMs = static_cast<double>(job.targetMs - now.steadyMs);
    query.deadlineMs = static_cast<double>(job.deadlineMs - now.steadyMs);
    query.spread = std::uniform_real_distribution<double>(0, 1)(random);
    return query;
}

Effects refuse(const std::string &token, const std::string &job, const JobResult &result,
               std::vector<std::pair<std::string, std::string>> inputs)
{
    Effects effects;
    inputs.insert(inputs.begin(), {{"job", job}, {"reason", Schema::enumName(result.reason)}});
    inputs.emplace_back("retry_after_ms", std::to_string(result.retryAfterMs));
    effects.emplace_back(Note{"job_refused", std::move(inputs)});
    effects.emplace_back(CountReason{RefusalCounter, result.reason});
    effects.emplace_back(AnswerCaller{token, job, result});
    return effects;
}

std::optional<JobResult> refusalForStop(const GatewayState &state, const AdmissionQuery &query,
                                        Common::Moment now)
{
    const double leftMs = static_cast<double>(state.stopDeadlineMs - now.steadyMs);
    if (!state.isStopping || query.predictedMs <= leftMs) {
        return std::nullopt;
    }
    return JobResult{JobOutcome::Refused, Reason::Stopping, RetryMs};
}

/// Nobody could run the job, and gateways that have just started have had time to hear of agents.
std::optional<JobResult> refusalForLackOfBackends(const GatewayState &state, const JobRecord &job,
                                                  Common::Moment now)
{
    const bool allAble =
            std::all_of(job.steps.begin(), job.steps.end(), [&state, &job](const StepRecord &step) {
                return anyAble(state.fleet, job.queue.service, step.request);
            });
    if (allAble || now.steadyMs < state.startedMs + state.times.gatherMs) {
        return std::nullopt;
    }
    return JobResult{JobOutcome::Refused, Reason::NoBackend, RetryMs};
}

Effects admit(GatewayState &state, Submission submission, Common::Moment now,
              Common::Random &random)
{
    JobRecord job = makeJob(state, submission, now);
    if (const auto refused = refusalForLackOfBackends(state, job, now)) {
        return refuse(
                submission.token, job.id, *refused,
                {{"queue", job.queue.name}, {"agents", std::to_string(state.fleet.agents.size())}});
    }
    openSteps(job);
    const std::vector<PlacedTask> placed = placeReady(state, job, now, random);
    const AdmissionQuery query = admissionQuery(state, job, placed, now, random);
    std::optional<JobResult> refused = refusalForStop(state, query, now);
    if (!refused) {
        refused = decideAdmission(state.limits, query);
    }
    std::vector<std::pair<std::string, std::string>> inputs{
            {"queue", job.queue.name},
            {"predicted_ms", text(query.predictedMs)},
            {"wait_ms", text(query.waitMs)},
            {"waited_before_ms", std::to_string(job.waitedBeforeMs)},
            {"stretch_percent", text(query.stretch * PercentOfOne)},
            {"target_ms", text(query.targetMs)},
            {"deadline_ms", text(query.deadlineMs)}};
    if (refused) {
        undoPlacing(state, job, placed);
        return refuse(submission.token, job.id, *refused, std::move(inputs));
    }
    inputs.insert(inputs.begin(), {"job", job.id});
    inputs.emplace_back("tasks_placed", std::to_string(placed.size()));
    inputs.emplace_back("tasks_waiting",
                        std::to_string(job.ready - static_cast<int>(placed.size())));
    job.predictedMs = query.predictedMs;
    Effects effects;
    effects.emplace_back(Note{"job_accepted", std::move(inputs)});
    state.readyTasks += job.ready;
    const std::string id = job.id;
    JobRecord &kept = state.jobs.emplace(id, std::move(job)).first->second;
    append(effects, orderTasks(state, kept, placed, now));
    return effects;
}

/// Lets a submission in that had to wait until its id's last life was over.
Effects admitParked(GatewayState &state, const std::string &id, Common::Moment now,
                    Common::Random &random)
{
    Effects effects;
    const auto found = state.parked.find(id);
    if (found == state.parked.end() || state.jobs.count(id) != 0) {
        return effects;
    }
    std::vector<Submission> waiting = std::move(found->second);
    state.parked.erase(found);
    for (Submission &submission : waiting) {
        append(effects, jobSubmitted(state, std::move(submission), now, random));
    }
    return effects;
}

void releaseTask(GatewayState &state, JobRecord &job, StepRecord &step, TaskRecord &task)
{
    --job.unsettled;
    const auto agent = state.fleet.agents.find(task.agent);
    if (agent != state.fleet.agents.end()) {
        agent->second.inFlight = std::max<std::int64_t>(0, agent->second.inFlight - 1);
    }
    const auto there = step.tasksThere.find(task.agent);
    if (there != step.tasksThere.end() && there->second > 0) {
        --there->second;
    }
}

/// The task is over where it was and still wanted: it waits for another agent.
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

Note retryNote(const JobRecord &job, const TaskRecord &task, const Schema::AttemptState &reported)
{
    return Note{"task_retried",
                {{"job", job.id},
                 {"task", reported.task},
                 {"attempt", std::to_string(reported.attempt)},
                 {"agent", task.agent},
                 {"phase", Schema::enumName(reported.phase)},
                 {"reason", Schema::enumName(reported.reason)},
                 {"run_ms", std::to_string(reported.runMs)},
                 {"failures", std::to_string(task.failures)}}};
}

void learn(GatewayState &state, Effects &effects, const StepRecord &step, const TaskRecord &task,
           const Schema::AttemptState &reported, Common::Moment now)
{
    const auto agent = state.fleet.agents.find(task.agent);
    const bool tells = reported.phase == AttemptPhase::Succeeded
                       || reported.phase == AttemptPhase::Failed
                       || reported.reason == Reason::BackendRefused;
    if (agent == state.fleet.agents.end() || !tells) {
        return;
    }
    RunOutcome outcome;
    outcome.succeeded = reported.phase == AttemptPhase::Succeeded;
    outcome.expectedMs = task.expectedMs;
    outcome.runMs = reported.runMs;
    if (runEnded(state.fleet, agent->second, step.profile, outcome, now.steadyMs)) {
        effects.emplace_back(Note{
                "backend_ejected",
                {{"agent", task.agent},
                 {"task", reported.task},
                 {"for_ms", std::to_string(agent->second.health.ejectedUntilMs - now.steadyMs)}}});
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
    effects.emplace_back(retryNote(job, task, reported));
    effects.emplace_back(CountReason{RetryCounter, Reason::TaskFailed});
    retryTask(state, job, task, true);
}

void taskGivenBack(GatewayState &state, Effects &effects, JobRecord &job, TaskRecord &task,
                   const Schema::AttemptState &reported, Common::Moment now)
{
    effects.emplace_back(retryNote(job, task, reported));
    effects.emplace_back(CountReason{RetryCounter, reported.reason});
    const bool isFull = reported.reason == Reason::NoRoom;
    if (isFull) {
        const auto agent = state.fleet.agents.find(task.agent);
        if (agent != state.fleet.agents.end()) {
            agent->second.pausedUntilMs = now.steadyMs + RefusedPauseMs;
        }
    }
    retryTask(state, job, task, !isFull);
}

/// An attempt is over.
Effects attemptEnded(GatewayState &state, const std::string &instance,
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
    if (reported.phase == AttemptPhase::Running) {
        task->isStartAnswered = true;
        return effects;
    }
    StepRecord &step = job.steps[static_cast<std::size_t>(ref->step)];
    learn(state, effects, step, *task, reported, now);
    releaseTask(state, job, step, *task);
    if (reported.phase == AttemptPhase::Succeeded) {
        taskSucceeded(state, effects, job, step, *task, now);
    } else if (job.result) {
        task->phase = TaskPhase::Dropped;
    } else if (reported.phase == AttemptPhase::Failed) {
        taskFailed(state, effects, job, *task, reported, now);
    } else {
        taskGivenBack(state, effects, job, *task, reported, now);
    }
    if (!job.result && job.ready > 0) {
        append(effects, placeAndOrder(state, job, now, random));
    }
    const std::string id = job.id;
    forgetIfSettled(state, id, now);
    append(effects, admitParked(state, id, now, random));
    return effects;
}

struct HeldTask
{
    std::string task;
    std::int64_t attempt = 0;
    bool isStartAnswered = false;
};

/// What this gateway believes to be at the agent's instance.
std::vector<HeldTask> tasksAt(const GatewayState &state, const std::string &instance)
{
    std::vector<HeldTask> held;
    for (const auto &[id, job] : state.jobs) {
        for (std::size_t step = 0; step < job.steps.size(); ++step) {
            const std::vector<TaskRecord> &tasks = job.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                const TaskRecord &task = tasks[index];
                const bool isThere =
                        task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Withdrawn;
                if (isThere && task.agentInstance == instance) {
                    held.push_back({taskName(job, static_cast<int>(step), static_cast<int>(index)),
                                    task.attempt, task.isStartAnswered});
                }
            }
        }
    }
    // In a fixed order, so that a seed replays.
    std::sort(held.begin(), held.end(),
              [](const HeldTask &left, const HeldTask &right) { return left.task < right.task; });
    return held;
}

Effects settleAttempt(GatewayState &state, const std::string &instance, const HeldTask &held,
                      AttemptPhase phase, Common::Moment now, Common::Random &random)
{
    Schema::AttemptState ended;
    ended.task = held.task;
    ended.attempt = held.attempt;
    ended.phase = phase;
    ended.reason = Reason::AgentLost;
    return attemptEnded(state, instance, ended, now, random);
}

/// Ends all attempts at an instance that \a stillHeld does not name.
Effects settleAttempts(GatewayState &state, const std::string &instance,
                       const std::vector<Schema::TaskAttempt> &stillHeld, AttemptPhase phase,
                       Common::Moment now, Common::Random &random)
{
    Effects effects;
    for (const HeldTask &held : tasksAt(state, instance)) {
        const bool isHeld = std::any_of(
                stillHeld.begin(), stillHeld.end(), [&held](const Schema::TaskAttempt &attempt) {
                    return attempt.task == held.task && attempt.attempt == held.attempt;
                });
        if (isHeld) {
            continue;
        }
        append(effects, settleAttempt(state, instance, held, phase, now, random));
    }
    return effects;
}

/// Ends the attempts at a lost instance whose leases have lapsed. A start that was not answered may
/// still be on its way to the backend server and take effect with a fresh lease; where its task had
/// gone elsewhere meanwhile, it would run twice at a time. It stays until a new process of the
/// agent has raised the fence, or until it is too late for any start to arrive.
Effects settleAnswered(GatewayState &state, const std::string &instance, Common::Moment now,
                       Common::Random &random)
{
    Effects effects;
    std::size_t uncertain = 0;
    for (const HeldTask &held : tasksAt(state, instance)) {
        if (held.isStartAnswered) {
            append(effects,
                   settleAttempt(state, instance, held, AttemptPhase::Stopped, now, random));
        } else {
            ++uncertain;
        }
    }
    effects.emplace_back(
            Note{"agent_settled", {{"agent", instance}, {"uncertain", std::to_string(uncertain)}}});
    return effects;
}

/// An agent that had been silent for too long may still hold what this gateway has withdrawn or
/// given up meanwhile.
void withdrawUnknown(GatewayState &state, Effects &effects,
                     const Schema::AgentAnnouncement &announcement)
{
    Withdrawals withdrawals;
    for (const Schema::TaskAttempt &held : announcement.held) {
        const auto ref = parseTaskName(held.task);
        const auto found = ref ? state.jobs.find(ref->job) : state.jobs.end();
        const TaskRecord *task =
                found == state.jobs.end() ? nullptr : findTask(found->second, *ref);
        const bool isWanted = task != nullptr && task->attempt == held.attempt
                              && task->phase == TaskPhase::Ordered
                              && task->agentInstance == announcement.instance;
        if (!isWanted) {
            withdrawals[announcement.instance].push_back(held);
        }
    }
    sendWithdrawals(effects, withdrawals);
}

Effects placeWaiting(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects;
    if (state.readyTasks == 0) {
        return effects;
    }
    std::vector<JobRecord *> waiting;
    for (auto &[id, job] : state.jobs) {
        if (job.ready > 0 && !job.result) {
            waiting.push_back(&job);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const JobRecord *left, const JobRecord *right) {
        return std::tie(left->queue.priority, left->targetMs, left->id)
               < std::tie(right->queue.priority, right->targetMs, right->id);
    });
    for (JobRecord *job : waiting) {
        append(effects, placeAndOrder(state, *job, now, random));
    }
    return effects;
}

/// Jobs past their time, or of which nothing could be placed in time to be of use.
Effects endOverdue(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects;
    std::vector<std::string> overdue;
    for (const auto &[id, job] : state.jobs) {
        const bool isHopeless = !job.anyOrdered && now.steadyMs >= job.lastStartMs;
        if (!job.result && (now.steadyMs >= job.deadlineMs || isHopeless)) {
            overdue.push_back(id);
        }
    }
    std::sort(overdue.begin(), overdue.end());
    for (const std::string &id : overdue) {
        JobRecord &job = state.jobs.at(id);
        const Reason reason =
                state.fleet.agents.empty() ? Reason::NoBackend : Reason::DeadlineUnreachable;
        const JobResult result = job.anyOrdered
                                         ? JobResult{JobOutcome::GaveUp, Reason::DeadlinePassed, 0}
                                         : JobResult{JobOutcome::Refused, reason, RetryMs};
        append(effects, endJob(state, job, result, now));
        forgetIfSettled(state, id, now);
        append(effects, admitParked(state, id, now, random));
    }
    return effects;
}

template <typename Test>
void forgetFormers(GatewayState &state, Test isOver)
{
    std::vector<FormerAgent> &formers = state.fleet.formers;
    formers.erase(std::remove_if(formers.begin(), formers.end(), isOver), formers.end());
}

FormerAgent makeFormer(const GatewayState &state, const AgentView &agent)
{
    FormerAgent former;
    former.instance = agent.announced.instance;
    former.name = agent.announced.name;
    former.settledAtMs = agent.loadAtMs + state.times.settleMs;
    former.lateStartsOverMs = agent.loadAtMs + state.times.lateStartMs;
    return former;
}

void forgetLost(GatewayState &state, Effects &effects, Common::Moment now)
{
    for (auto entry = state.fleet.agents.begin(); entry != state.fleet.agents.end();) {
        const AgentView &agent = entry->second;
        if (agent.isLinked || now.steadyMs < agent.settledAtMs) {
            ++entry;
            continue;
        }
        effects.emplace_back(Note{"agent_forgotten", {{"agent", agent.announced.instance}}});
        state.fleet.formers.push_back(makeFormer(state, agent));
        entry = state.fleet.agents.erase(entry);
    }
}

/// Lost processes of agents, as far as time tells what became of their tasks.
Effects settleFormers(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects;
    std::vector<std::string> over;
    std::vector<std::string> lapsed;
    for (FormerAgent &former : state.fleet.formers) {
        if (now.steadyMs >= former.lateStartsOverMs) {
            over.push_back(former.instance);
        } else if (!former.isSettled && now.steadyMs >= former.settledAtMs) {
            former.isSettled = true;
            lapsed.push_back(former.instance);
        }
    }
    forgetFormers(state, [now](const FormerAgent &former) {
        return now.steadyMs >= former.lateStartsOverMs;
    });
    for (const std::string &instance : lapsed) {
        append(effects, settleAnswered(state, instance, now, random));
    }
    for (const std::string &instance : over) {
        append(effects, settleAttempts(state, instance, {}, AttemptPhase::Stopped, now, random));
    }
    return effects;
}

/// The agent \a name has told that nothing is left of its earlier processes, and that none of their
/// orders is obeyed any more.
Effects settleEarlier(GatewayState &state, const std::string &name, Common::Moment now,
                      Common::Random &random)
{
    Effects effects;
    std::vector<std::string> over;
    for (const FormerAgent &former : state.fleet.formers) {
        if (former.name == name) {
            over.push_back(former.instance);
        }
    }
    forgetFormers(state, [&](const FormerAgent &former) { return former.name == name; });
    for (const std::string &earlier : over) {
        append(effects, settleAttempts(state, earlier, {}, AttemptPhase::Stopped, now, random));
    }
    return effects;
}

void forgetFinished(GatewayState &state, Common::Moment now)
{
    for (auto entry = state.finished.begin(); entry != state.finished.end();) {
        entry = now.steadyMs >= entry->second.forgetMs ? state.finished.erase(entry)
                                                       : std::next(entry);
    }
}

} // namespace

Effects jobSubmitted(GatewayState &state, Submission submission, Common::Moment now,
                     Common::Random &random)
{
    Effects effects;
    const std::string id = submission.request.id;
    const auto finished = state.finished.find(id);
    if (finished != state.finished.end()) {
        effects.emplace_back(Note{"job_answered_again", {{"job", id}}});
        effects.emplace_back(AnswerCaller{submission.token, id, finished->second.result});
        return effects;
    }
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end()) {
        return admit(state, std::move(submission), now, random);
    }
    JobRecord &job = found->second;
    if (!job.result) {
        effects.emplace_back(Note{"job_joined",
                                  {{"job", id},
                                   {"requests", std::to_string(job.tokens.size() + 1)},
                                   {"age_ms", std::to_string(now.steadyMs - job.receivedMs)}}});
        job.tokens.push_back(submission.token);
        return effects;
    }
    if (job.result->outcome == JobOutcome::Failed) {
        effects.emplace_back(AnswerCaller{submission.token, id, *job.result});
        return effects;
    }
    effects.emplace_back(
            Note{"job_parked", {{"job", id}, {"unsettled", std::to_string(job.unsettled)}}});
    state.parked[id].push_back(std::move(submission));
    return effects;
}

Effects callerGone(GatewayState &state, const std::string &token, Common::Moment now)
{
    for (auto &[id, waiting] : state.parked) {
        waiting.erase(
                std::remove_if(waiting.begin(), waiting.end(),
                               [&token](const Submission &one) { return one.token == token; }),
                waiting.end());
    }
    for (auto &[id, job] : state.jobs) {
        const auto found = std::find(job.tokens.begin(), job.tokens.end(), token);
        if (found == job.tokens.end()) {
            continue;
        }
        job.tokens.erase(found);
        if (!job.tokens.empty() || job.result) {
            return {};
        }
        const std::string key = id;
        Effects effects = endJob(state, job, {JobOutcome::GaveUp, Reason::CallerGone, 0}, now);
        forgetIfSettled(state, key, now);
        return effects;
    }
    return {};
}

Effects jobCancelled(GatewayState &state, const std::string &id, Common::Moment now)
{
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end() || found->second.result) {
        return {};
    }
    Effects effects = endJob(state, found->second, {JobOutcome::GaveUp, Reason::Cancelled, 0}, now);
    forgetIfSettled(state, id, now);
    return effects;
}

Effects agentAnnounced(GatewayState &state, const Schema::AgentAnnouncement &announcement,
                       Common::Moment now, Common::Random &random)
{
    Effects effects;
    const auto [entry, isNew] = state.fleet.agents.try_emplace(announcement.name);
    AgentView &agent = entry->second;
    const bool isRestarted = !isNew && agent.announced.instance != announcement.instance;
    const bool isLink = !agent.isLinked || isRestarted;
    if (isLink || agent.announced.accepting != announcement.accepting) {
        effects.emplace_back(Note{"agent_announced",
                                  {{"agent", announcement.instance},
                                   {"accepting", announcement.accepting ? "true" : "false"},
                                   {"processors", text(announcement.resources.processors)},
                                   {"held", std::to_string(announcement.held.size())}}});
    }
    if (isRestarted) {
        state.fleet.formers.push_back(makeFormer(state, agent));
        agent.inFlight = 0;
        agent.unreported.clear();
        agent.unreportedProcessors = 0;
    }
    // It was only out of reach: it tells itself what it still holds.
    forgetFormers(state, [&announcement](const FormerAgent &former) {
        return former.instance == announcement.instance;
    });
    agent.announced = announcement;
    agent.isLinked = true;
    recallSpeedOf(state.fleet, agent);
    loadReported(agent, announcement.load, now.steadyMs);
    if (isLink) {
        append(effects, settleAttempts(state, announcement.instance, announcement.held,
                                       AttemptPhase::NotStarted, now, random));
        withdrawUnknown(state, effects, announcement);
    }
    if (announcement.clean) {
        append(effects, settleEarlier(state, announcement.name, now, random));
    }
    append(effects, placeWaiting(state, now, random));
    return effects;
}

Effects agentReported(GatewayState &state, const std::string &instance,
                      const Schema::AgentReport &report, Common::Moment now, Common::Random &random)
{
    Effects effects;
    AgentView *agent = findAgent(state.fleet, instance);
    if (agent == nullptr) {
        return effects;
    }
    loadReported(*agent, report.load, now.steadyMs);
    for (const Schema::AttemptState &reported : report.states) {
        append(effects, attemptEnded(state, instance, reported, now, random));
    }
    append(effects, placeWaiting(state, now, random));
    return effects;
}

Effects agentLinkLost(GatewayState &state, const std::string &instance, Common::Moment now)
{
    Effects effects;
    AgentView *agent = findAgent(state.fleet, instance);
    if (agent == nullptr || !agent->isLinked) {
        return effects;
    }
    agent->isLinked = false;
    agent->settledAtMs = agent->loadAtMs + state.times.settleMs;
    effects.emplace_back(
            Note{"agent_lost",
                 {{"agent", instance},
                  {"in_flight", std::to_string(agent->inFlight)},
                  {"settled_in_ms", std::to_string(agent->settledAtMs - now.steadyMs)}}});
    return effects;
}

void beginStop(GatewayState &state, std::int64_t timeoutMs, Common::Moment now)
{
    state.isStopping = true;
    state.stopDeadlineMs = now.steadyMs + timeoutMs;
}

Effects tick(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects;
    if (now.steadyMs < state.sweptMs + SweepMs) {
        return effects;
    }
    state.sweptMs = now.steadyMs;
    advanceFleet(state.fleet, now.steadyMs);
    forgetLost(state, effects, now);
    append(effects, settleFormers(state, now, random));
    append(effects, endOverdue(state, now, random));
    append(effects, placeWaiting(state, now, random));
    forgetFinished(state, now);
    return effects;
}

std::int64_t nextWakeMs(const GatewayState &state, Common::Moment now)
{
    std::int64_t next = std::numeric_limits<std::int64_t>::max();
    for (const auto &[id, job] : state.jobs) {
        if (!job.result) {
            next = std::min(next, job.anyOrdered ? job.deadlineMs
                                                 : std::min(job.deadlineMs, job.lastStartMs));
        }
    }
    for (const auto &[name, agent] : state.fleet.agents) {
        if (!agent.isLinked) {
            next = std::min(next, agent.settledAtMs);
        }
    }
    if (state.readyTasks > 0) {
        next = std::min(next, now.steadyMs + SweepMs);
    }
    return std::max(next, state.sweptMs + SweepMs);
}

std::int64_t waitingJobs(const GatewayState &state, const std::string &queue)
{
    return std::count_if(state.jobs.begin(), state.jobs.end(), [&queue](const auto &entry) {
        return entry.second.queue.name == queue && !entry.second.anyOrdered && !entry.second.result;
    });
}

} // namespace Transient
