#include "Dispatch/Jobs/Owner.h"

#include <algorithm>

namespace Dispatch {

using Schema::Reason;
using Schema::TaskPhase;

namespace {

constexpr const char *RefusedCounter = "auburntrail_jobs_refused_total";
constexpr const char *EndedCounter = "auburntrail_jobs_ended_total";
constexpr const char *RetriedCounter = "auburntrail_task_retries_total";
constexpr const char *ReportedCounter = "auburntrail_task_reports_total";

Schema::Frame frameOf(Schema::FrameType type)
{
    Schema::Frame frame;
    frame.type = type;
    return frame;
}

/// Refusals that start nothing and yet cannot say that the id has not run: with other content, or
/// longer ago than anybody remembers.
bool mayHaveRunBefore(Reason reason)
{
    return reason == Reason::IdConflict || reason == Reason::SubmissionTooOld
           || reason == Reason::UnknownJob;
}

Effects answerAll(GatewayState &state, const std::vector<std::string> &requests,
                  const Schema::JobAnswer &answer)
{
    Effects effects;
    for (const std::string &request : requests) {
        append(effects, answerRequest(state, request, answer));
    }
    return effects;
}

bool isKnownTeam(const Schema::Configuration &configuration, const std::string &name)
{
    return std::any_of(configuration.teams.begin(), configuration.teams.end(),
                       [&name](const Schema::Team &team) { return team.name == name; });
}

bool isKnownService(const Schema::Configuration &configuration, const std::string &name)
{
    return std::any_of(configuration.services.begin(), configuration.services.end(),
                       [&name](const Schema::Service &service) { return service.name == name; });
}

JobDemand demandOf(const JobEntry &job)
{
    JobDemand demand;
    demand.id = job.id;
    demand.team = job.submit->team;
    demand.caller = job.submit->caller;
    demand.service = job.submit->service;
    demand.resources = job.submit->resources;
    demand.taskCount = static_cast<int>(job.tasks.size());
    demand.deadlineMs = job.deadlineMs;
    demand.declaredRunMs = job.submit->declaredRunMs.value_or(0);
    demand.idempotent = job.submit->idempotent.value_or(false);
    return demand;
}

Schema::Intent intentOf(const JobEntry &job)
{
    Schema::Intent intent;
    intent.job = job.id;
    intent.digest = job.digest;
    // A job that had ended before it was handed over has an answer in place of its tasks.
    intent.tasks = job.answer ? job.answer->taskCount : static_cast<std::int64_t>(job.tasks.size());
    intent.firstSubmittedMs = job.firstSubmittedMs;
    intent.team = job.team;
    return intent;
}

/// The request waits for the job's end, or for its acceptance.
Effects waitForJob(GatewayState &state, const std::string &requestId, JobEntry &job)
{
    Request *request = findRequest(state.requests, requestId);
    markWaiting(state.requests, *request);
    if (request->wait) {
        job.waiters.push_back(requestId);
        return {};
    }
    if (job.startable) {
        return answerRequest(state, requestId, pendingAnswer(job));
    }
    job.acceptWaiters.push_back(requestId);
    return {};
}

/// An id that an earlier owner may have acted on without trace: it is never started, and every
/// submission of it gets the same answer.
Effects answerUnknowable(GatewayState &state, const std::string &requestId,
                         const Schema::SubmitJob &submit, Reason reason)
{
    JobEntry &job = addRecoveredJob(state.ledger, *submit.id,
                                    static_cast<std::int64_t>(submit.tasks.size()),
                                    submit.firstSubmittedMs.value_or(0));
    adoptSubmission(state.ledger, job, submit);
    job.waiters.push_back(requestId);
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        markLost(job, static_cast<std::int64_t>(index));
    }
    return finishJob(
            state, job,
            givenUpAnswer(job, reason, "an earlier owner of this job may have started it"));
}

Effects acceptJob(GatewayState &state, const std::string &requestId,
                  const Schema::SubmitJob &submit, Common::Moment now)
{
    JobEntry &job = addJob(state.ledger, submit);
    const std::optional<Refusal> refused = admitJob(state.scheduler, demandOf(job), now);
    if (refused) {
        removeJob(state.ledger, job.id);
        return refuseRequest(state, requestId, refused->reason, refused->detail,
                             refused->retryAfterMs);
    }
    addIntent(state.site.journal, intentOf(job), now);
    state.awaitingIntent.insert(job.id);
    return waitForJob(state, requestId, job);
}

/// First sight of the id in this ledger; the journal may still know it.
Effects submitUnseen(GatewayState &state, const std::string &requestId,
                     const Schema::SubmitJob &submit, Common::Moment now)
{
    const std::int64_t shard = shardOf(state.ledger, *submit.id);
    const std::int64_t firstMs = submit.firstSubmittedMs.value_or(now.wallMs);
    const std::optional<JournaledIntent> intent = findIntent(state.site.journal, *submit.id);
    if (intent && !sameContent(*intent, submissionDigest(submit))) {
        return refuseRequest(state, requestId, Reason::IdConflict,
                             "this id was submitted before with other content");
    }
    const JobHistory history = jobHistory(state.site, *submit.id, firstMs);
    if (history == JobHistory::Journaled) {
        const auto proven = state.recovery.provenSinceMs.find(shard);
        const bool isProvedNotStarted = proven != state.recovery.provenSinceMs.end() && intent
                                        && intent->firstSubmittedMs >= proven->second;
        if (!isProvedNotStarted) {
            return answerUnknowable(state, requestId, submit, Reason::TaskLost);
        }
        return acceptJob(state, requestId, submit, now);
    }
    if (history == JobHistory::Unknown) {
        return answerUnknowable(state, requestId, submit, Reason::PredecessorUnlogged);
    }
    const Schema::Configuration &config = configuration(state.site.config);
    if (!isKnownTeam(config, submit.team)) {
        return refuseRequest(state, requestId, Reason::UnknownTeam, "no such team: " + submit.team);
    }
    if (!isKnownService(config, submit.service)) {
        return refuseRequest(state, requestId, Reason::UnknownService,
                             "no such service: " + submit.service);
    }
    return acceptJob(state, requestId, submit, now);
}

/// The content of a job that this owner knew only by its traces.
Effects resumeJob(GatewayState &state, const std::string &requestId, JobEntry &job,
                  const Schema::SubmitJob &submit, Common::Moment now)
{
    if (submit.tasks.size() != job.tasks.size()) {
        return refuseRequest(state, requestId, Reason::IdConflict,
                             "this id was submitted before with other content");
    }
    adoptSubmission(state.ledger, job, submit);
    scheduleJob(state, job, now);
    return waitForJob(state, requestId, job);
}

/// Frees the task's place at the agent, and lets the scheduler learn from how it went.
void releaseSlot(GatewayState &state, const std::string &agent, const TaskKey &task,
                 const Schema::TaskState &report, Common::Moment now)
{
    taskLeft(state.agents, agent, task);
    if (report.phase == TaskPhase::Unknown) {
        taskAbandoned(state.scheduler, task, agent, now);
        return;
    }
    taskEnded(state.scheduler, task, agent, report.phase == TaskPhase::Succeeded,
              report.runMs.value_or(0), now);
}

Effects taskRefused(GatewayState &state, JobEntry &job, const std::string &agent,
                    const TaskKey &task, Reason reason, Common::Moment now, Common::Random &random)
{
    taskLeft(state.agents, agent, task);
    const RetryDecision decision =
            taskNotStarted(state.scheduler, task, agent, reason, now, random);
    Effects effects{CountReason{RetriedCounter, reason}};
    if (decision == RetryDecision::GivenUp && !job.answer) {
        append(effects, finishJob(state, job,
                                  givenUpAnswer(job, reason, "no backend server took the task")));
    }
    return effects;
}

Effects reportApplied(GatewayState &state, JobEntry &job, const std::string &agent,
                      const Schema::TaskState &report, ReportEffect effect, Common::Moment now,
                      Common::Random &random)
{
    const TaskKey task{report.job, static_cast<int>(report.index)};
    switch (effect) {
    case ReportEffect::Nothing:
        return {};
    case ReportEffect::Running:
        taskWith(state.agents, agent, task);
        return {};
    case ReportEffect::NotStarted:
        return taskRefused(state, job, agent, task, report.reason, now, random);
    case ReportEffect::Ended:
    case ReportEffect::Lost:
        releaseSlot(state, agent, task, report, now);
        break;
    }
    Effects effects{CountReason{ReportedCounter, report.reason}};
    append(effects, finishIfDecided(state, job));
    return effects;
}

/// A task of a job that neither the ledger nor the journal knows: it was started unlogged.
JobEntry &addEvidence(GatewayState &state, const Schema::TaskState &report, Common::Moment now)
{
    const std::optional<JournaledIntent> intent = findIntent(state.site.journal, report.job);
    if (intent) {
        return addRecoveredJob(state.ledger, report.job, intent->tasks, intent->firstSubmittedMs);
    }
    JobEntry &job = addRecoveredJob(state.ledger, report.job, 1, now.wallMs);
    endJob(state.ledger, job, givenUpAnswer(job, Reason::PredecessorUnlogged));
    job.answer->outcome = Schema::JobOutcome::Unknown;
    return job;
}

bool takesReports(const GatewayState &state, std::int64_t shard)
{
    const ShardPhase phase = shardPhase(state.site.ownership, shard);
    return phase == ShardPhase::NeedsReports || phase == ShardPhase::Serving;
}

Schema::StartTask startMessage(GatewayState &state, JobEntry &job, const Assignment &assignment)
{
    const auto index = static_cast<std::size_t>(assignment.task.index);
    Schema::StartTask start;
    start.job = job.id;
    start.index = assignment.task.index;
    start.shard = job.shard;
    start.epoch = epochOf(state.site.ownership, job.shard);
    start.attempt = markSent(job, start.index, assignment.agent, start.epoch);
    start.service = job.submit->service;
    start.notAfterMs = job.deadlineMs;
    start.payload = job.submit->tasks[index].payload;
    start.resources = job.submit->resources.value_or(Schema::Resources{});
    start.unlogged = job.unlogged;
    return start;
}

} // namespace

Effects answerRequest(GatewayState &state, const std::string &requestId,
                      const Schema::JobAnswer &answer)
{
    const std::optional<Request> request = takeRequest(state.requests, requestId);
    if (!request) {
        return {};
    }
    if (request->fromGateway.empty()) {
        return {AnswerRequest{request->remoteId, answer}};
    }
    Schema::Frame frame = frameOf(Schema::FrameType::ForwardAnswer);
    frame.forwardAnswer.emplace();
    frame.forwardAnswer->requestId = request->remoteId;
    frame.forwardAnswer->answer = answer;
    return {SendToGateway{request->fromGateway, std::move(frame)}};
}

Effects refuseRequest(GatewayState &state, const std::string &requestId, Reason reason,
                      const std::string &detail, std::int64_t retryAfterMs)
{
    const Request *request = findRequest(state.requests, requestId);
    if (request == nullptr) {
        return {};
    }
    const std::size_t taskCount = request->submit ? request->submit->tasks.size() : 0;
    Schema::JobAnswer answer = refusal(request->job, taskCount, reason, detail, retryAfterMs);
    answer.notRun = !mayHaveRunBefore(reason);
    Effects effects{CountReason{RefusedCounter, reason}};
    append(effects, answerRequest(state, requestId, answer));
    return effects;
}

Effects ownerSubmit(GatewayState &state, const std::string &requestId, Common::Moment now)
{
    const Schema::SubmitJob submit = *findRequest(state.requests, requestId)->submit;
    std::optional<Common::Failure> wrongTime;
    Common::handle([&] { return checkTimes(state.ledger, submit, now); },
                   [&](const Common::Failure &failure) { wrongTime = failure; });
    JobEntry *job = findJob(state.ledger, *submit.id);
    const SubmitVerdict verdict = lookUp(state.ledger, submit);
    const bool isNew = verdict == SubmitVerdict::New || verdict == SubmitVerdict::Refused;
    // A deadline that has passed does not take back the answer of a job that has ended.
    if (wrongTime && isNew) {
        const bool mayHaveRun =
                wrongTime->reason == Reason::DeadlinePassed && verdict == SubmitVerdict::New
                && jobHistory(state.site, *submit.id, submit.firstSubmittedMs.value_or(0))
                           != JobHistory::NeverStarted;
        if (mayHaveRun) {
            return answerUnknowable(state, requestId, submit, Reason::TaskLost);
        }
        return refuseRequest(state, requestId, wrongTime->reason, wrongTime->detail);
    }
    switch (verdict) {
    case SubmitVerdict::New:
        return submitUnseen(state, requestId, submit, now);
    case SubmitVerdict::Refused:
        removeJob(state.ledger, *submit.id);
        return acceptJob(state, requestId, submit, now);
    case SubmitVerdict::Ended:
        return answerRequest(state, requestId, *job->answer);
    case SubmitVerdict::Conflict:
        return refuseRequest(state, requestId, Reason::IdConflict,
                             "this id was submitted before with other content");
    case SubmitVerdict::Pending:
        return waitForJob(state, requestId, *job);
    case SubmitVerdict::Recovered:
        break;
    }
    return resumeJob(state, requestId, *job, submit, now);
}

Effects ownerGet(GatewayState &state, const std::string &requestId)
{
    const Request *request = findRequest(state.requests, requestId);
    JobEntry *job = findJob(state.ledger, request->job);
    if (job == nullptr) {
        return refuseRequest(state, requestId, Reason::UnknownJob,
                             "no job with this id is remembered");
    }
    if (job->answer) {
        return answerRequest(state, requestId, *job->answer);
    }
    if (request->wait) {
        return waitForJob(state, requestId, *job);
    }
    return answerRequest(state, requestId, pendingAnswer(*job));
}

Effects ownerCancel(GatewayState &state, const std::string &requestId)
{
    JobEntry *job = findJob(state.ledger, findRequest(state.requests, requestId)->job);
    if (job != nullptr && !job->answer) {
        job->waiters.push_back(requestId);
        return finishJob(state, *job, givenUpAnswer(*job, Reason::Cancelled));
    }
    return ownerGet(state, requestId);
}

Effects finishJob(GatewayState &state, JobEntry &job, const Schema::JobAnswer &answer)
{
    std::map<std::string, Schema::TaskRefs> recalled;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const TaskEntry &task = job.tasks[index];
        if (task.stage == TaskStage::Sent && !task.agent.empty()) {
            Schema::TaskRef ref;
            ref.job = job.id;
            ref.index = static_cast<std::int64_t>(index);
            recalled[task.agent].tasks.push_back(std::move(ref));
        }
    }
    Effects effects{CountReason{EndedCounter, answer.reason}};
    append(effects, answerAll(state, endJob(state.ledger, job, answer), answer));
    dropJob(state.scheduler, job.id);
    state.awaitingIntent.erase(job.id);
    for (auto &[agent, refs] : recalled) {
        Schema::Frame frame = frameOf(Schema::FrameType::CancelTasks);
        frame.cancelTasks = std::move(refs);
        effects.emplace_back(SendToAgent{agent, std::move(frame)});
    }
    return effects;
}

Effects finishIfDecided(GatewayState &state, JobEntry &job)
{
    if (job.answer) {
        return {};
    }
    const std::optional<Schema::JobAnswer> answer = decidedAnswer(job);
    return answer ? finishJob(state, job, *answer) : Effects{};
}

Effects releaseJournaled(GatewayState &state, Common::Moment now)
{
    takeNewlyDurable(state.site.journal);
    Effects effects;
    for (auto id = state.awaitingIntent.begin(); id != state.awaitingIntent.end();) {
        JobEntry *job = findJob(state.ledger, *id);
        const IntentState intent = startAllowed(state.site, *id, now);
        if (job != nullptr && intent == IntentState::Waiting) {
            ++id;
            continue;
        }
        id = state.awaitingIntent.erase(id);
        if (job == nullptr || job->answer) {
            continue;
        }
        job->startable = true;
        job->unlogged = intent == IntentState::Unlogged;
        jobRunnable(state.scheduler, job->id, now);
        const std::vector<std::string> accepted = std::exchange(job->acceptWaiters, {});
        append(effects, answerAll(state, accepted, pendingAnswer(*job)));
    }
    return effects;
}

void journalIfMissing(GatewayState &state, const JobEntry &job, Common::Moment now)
{
    if (!job.digest.empty() && !findIntent(state.site.journal, job.id)) {
        addIntent(state.site.journal, intentOf(job), now);
    }
}

void scheduleJob(GatewayState &state, JobEntry &job, Common::Moment now)
{
    std::vector<int> queued;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].stage == TaskStage::Waiting) {
            queued.push_back(static_cast<int>(index));
        }
    }
    restoreJob(state.scheduler, demandOf(job), queued, now);
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const TaskEntry &task = job.tasks[index];
        if (task.stage == TaskStage::Sent && !task.agent.empty()) {
            const TaskKey key{job.id, static_cast<int>(index)};
            taskAdopted(state.scheduler, key, task.agent, now);
            taskWith(state.agents, task.agent, key);
        }
    }
    if (job.startable) {
        jobRunnable(state.scheduler, job.id, now);
        return;
    }
    journalIfMissing(state, job, now);
    state.awaitingIntent.insert(job.id);
}

Effects startTasks(GatewayState &state, Common::Moment now, Common::Random &random)
{
    const std::vector<std::int64_t> served = shardsIn(state.site.ownership, ShardPhase::Serving);
    // Without a majority of the roster the agents would refuse: tasks keep their place in the
    // queue.
    if (served.empty() || !mayStart(state.site.ownership, served.front(), now)) {
        return {};
    }
    std::map<std::string, Schema::StartTasks> starts;
    for (const Assignment &assignment : assignTasks(state.scheduler, now, random)) {
        JobEntry *job = findJob(state.ledger, assignment.task.job);
        Common::invariant(job != nullptr && job->submit, "a task that is placed belongs to a job",
                          assignment.task.job);
        taskWith(state.agents, assignment.agent, assignment.task);
        starts[assignment.agent].tasks.push_back(startMessage(state, *job, assignment));
    }
    Effects effects;
    const std::int64_t demand = totalDemand(state.scheduler);
    for (auto &[agent, batch] : starts) {
        Schema::Frame frame = frameOf(Schema::FrameType::StartTasks);
        batch.demand = demand;
        frame.startTasks = std::move(batch);
        effects.emplace_back(SendToAgent{agent, std::move(frame)});
    }
    return effects;
}

Effects tasksReported(GatewayState &state, const std::string &agent,
                      const Schema::TaskStates &report, Common::Moment now, Common::Random &random)
{
    Effects effects;
    Schema::TaskRefs acknowledged;
    for (const Schema::TaskState &task : report.states) {
        const std::int64_t shard = shardOf(state.ledger, task.job);
        if (!takesReports(state, shard)) {
            continue;
        }
        JobEntry *job = findJob(state.ledger, task.job);
        if (job == nullptr && task.phase != TaskPhase::NotStarted) {
            job = &addEvidence(state, task, now);
        }
        if (job != nullptr) {
            const ReportEffect effect = applyReport(*job, task, agent);
            append(effects, reportApplied(state, *job, agent, task, effect, now, random));
        }
        if (task.phase != TaskPhase::Running) {
            Schema::TaskRef ref;
            ref.job = task.job;
            ref.index = task.index;
            ref.attempt = task.attempt;
            acknowledged.tasks.push_back(std::move(ref));
        }
    }
    if (!acknowledged.tasks.empty()) {
        Schema::Frame frame = frameOf(Schema::FrameType::AcknowledgeTasks);
        frame.acknowledgeTasks = std::move(acknowledged);
        effects.emplace_back(SendToAgent{agent, std::move(frame)});
    }
    return effects;
}

Effects agentGone(GatewayState &state, const std::string &agent, Common::Moment now)
{
    Effects effects{Note{"agent_gone", {{"agent", agent}}}};
    for (const TaskKey &task : removeAgent(state.agents, agent, now)) {
        taskAbandoned(state.scheduler, task, agent, now);
        JobEntry *job = findJob(state.ledger, task.job);
        if (job != nullptr) {
            markLost(*job, task.index);
            append(effects, finishIfDecided(state, *job));
        }
    }
    return effects;
}

Effects endOverdueJobs(GatewayState &state, Common::Moment now)
{
    Effects effects;
    for (const ExpiredJob &expired : expiredJobs(state.scheduler, now)) {
        JobEntry *job = findJob(state.ledger, expired.job);
        if (job != nullptr && !job->answer) {
            Schema::JobAnswer answer =
                    givenUpAnswer(*job, expired.refusal.reason, expired.refusal.detail);
            if (expired.refusal.retryAfterMs > 0) {
                answer.retryAfterMs = expired.refusal.retryAfterMs;
            }
            append(effects, finishJob(state, *job, answer));
        }
    }
    for (const std::string &id : pastDeadline(state.ledger, now)) {
        JobEntry *job = findJob(state.ledger, id);
        if (job != nullptr && !job->answer) {
            append(effects, finishJob(state, *job, givenUpAnswer(*job, Reason::DeadlinePassed)));
        }
    }
    return effects;
}

} // namespace Dispatch
