#include "Dispatch/Persistence/Ledger.h"

#include <algorithm>
#include <tuple>

namespace Dispatch {

using Schema::JobOutcome;
using Schema::Reason;
using Schema::TaskPhase;

const Common::NameTable<TaskStage, 6> TaskStageNames{{{TaskStage::Waiting, "waiting"},
                                                      {TaskStage::Sent, "sent"},
                                                      {TaskStage::Succeeded, "succeeded"},
                                                      {TaskStage::Failed, "failed"},
                                                      {TaskStage::Lost, "lost"},
                                                      {TaskStage::Dropped, "dropped"}}};

namespace {

struct StageCounts
{
    std::int64_t waiting = 0;
    std::int64_t sent = 0;
    std::int64_t succeeded = 0;
    std::int64_t failed = 0;
    std::int64_t lost = 0;

    std::int64_t started() const
    {
        return this->sent + this->succeeded + this->failed + this->lost;
    }
    std::int64_t ended() const { return this->succeeded + this->failed; }
};

StageCounts countStages(const JobEntry &job)
{
    StageCounts counts;
    for (const TaskEntry &task : job.tasks) {
        switch (task.stage) {
        case TaskStage::Waiting:
            ++counts.waiting;
            break;
        case TaskStage::Sent:
            ++counts.sent;
            break;
        case TaskStage::Succeeded:
            ++counts.succeeded;
            break;
        case TaskStage::Failed:
            ++counts.failed;
            break;
        case TaskStage::Lost:
            ++counts.lost;
            break;
        case TaskStage::Dropped:
            break;
        }
    }
    return counts;
}

void takeContent(JobEntry &job, const Schema::SubmitJob &submit)
{
    job.submit = submit;
    job.team = submit.team;
    job.caller = submit.caller;
    job.service = submit.service;
}

bool isOpen(TaskStage stage)
{
    return stage == TaskStage::Waiting || stage == TaskStage::Sent;
}

Schema::JobAnswer baseAnswer(const JobEntry &job, JobOutcome outcome, Reason reason)
{
    const StageCounts counts = countStages(job);
    Schema::JobAnswer answer;
    answer.id = job.id;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.taskCount = static_cast<std::int64_t>(job.tasks.size());
    answer.tasksStarted = counts.started();
    answer.tasksEnded = counts.ended();
    answer.firstSubmittedMs = job.firstSubmittedMs;
    answer.notRun = false;
    return answer;
}

void insertJob(LedgerState &state, JobEntry job)
{
    const std::string id = job.id;
    state.expiries.emplace(job.firstSubmittedMs + state.settings.dedupWindowMs, id);
    if (!job.answer) {
        state.deadlines.emplace(job.deadlineMs, id);
    }
    state.jobs.insert_or_assign(id, std::move(job));
}

void eraseFrom(std::multimap<std::int64_t, std::string> &index, std::int64_t key,
               const std::string &id)
{
    const auto range = index.equal_range(key);
    const auto found = std::find_if(range.first, range.second,
                                    [&id](const auto &entry) { return entry.second == id; });
    if (found != range.second) {
        index.erase(found);
    }
}

TaskEntry &taskAt(JobEntry &job, std::int64_t index)
{
    Common::invariant(index >= 0 && index < static_cast<std::int64_t>(job.tasks.size()),
                      "a task index lies within its job", job.id);
    return job.tasks[static_cast<std::size_t>(index)];
}

TaskPhase phaseOf(TaskStage stage)
{
    switch (stage) {
    case TaskStage::Succeeded:
        return TaskPhase::Succeeded;
    case TaskStage::Failed:
        return TaskPhase::Failed;
    case TaskStage::Sent:
        return TaskPhase::Running;
    case TaskStage::Lost:
        return TaskPhase::Unknown;
    case TaskStage::Waiting:
    case TaskStage::Dropped:
        break;
    }
    return TaskPhase::NotStarted;
}

TaskStage stageOf(TaskPhase phase)
{
    switch (phase) {
    case TaskPhase::Succeeded:
        return TaskStage::Succeeded;
    case TaskPhase::Failed:
        return TaskStage::Failed;
    case TaskPhase::Running:
        return TaskStage::Sent;
    case TaskPhase::Unknown:
        return TaskStage::Lost;
    case TaskPhase::NotStarted:
        break;
    }
    return TaskStage::Waiting;
}

} // namespace

std::int64_t shardOf(const LedgerState &state, const std::string &job)
{
    return static_cast<std::int64_t>(Common::hash64(job)
                                     % static_cast<std::uint64_t>(state.settings.shardCount));
}

Common::Outcome<void> checkTimes(const LedgerState &state, const Schema::SubmitJob &submit,
                                 Common::Moment now)
{
    const std::int64_t first = submit.firstSubmittedMs.value_or(now.wallMs);
    if (first > now.wallMs + state.settings.clockSkewMs) {
        return Common::failure(Reason::SubmissionInFuture,
                               "firstSubmittedMs is ahead of the gateway's clock");
    }
    if (first + state.settings.dedupWindowMs <= now.wallMs) {
        return Common::failure(Reason::SubmissionTooOld,
                               "first submitted longer ago than ids are remembered");
    }
    if (deadlineOf(state, submit) <= now.wallMs) {
        return Common::failure(Reason::DeadlinePassed, "the deadline has passed");
    }
    return {};
}

std::string submissionDigest(const Schema::SubmitJob &submit)
{
    Schema::SubmitJob content = submit;
    content.deadlineMs.reset();
    return Common::digest(nlohmann::json(content).dump());
}

std::int64_t deadlineOf(const LedgerState &state, const Schema::SubmitJob &submit)
{
    const std::int64_t first = submit.firstSubmittedMs.value_or(0);
    const std::int64_t latest = first + state.settings.maxDeadlineMs;
    return std::min(submit.deadlineMs.value_or(first + state.settings.defaultDeadlineMs), latest);
}

SubmitVerdict lookUp(const LedgerState &state, const Schema::SubmitJob &submit)
{
    const JobEntry *job = findJob(state, submit.id.value_or(""));
    if (job == nullptr) {
        return SubmitVerdict::New;
    }
    if (!job->digest.empty() && job->digest != submissionDigest(submit)) {
        return SubmitVerdict::Conflict;
    }
    if (job->answer) {
        // A cancelled job stays cancelled: a resubmission that crossed the cancellation would
        // otherwise revive it.
        const bool mayTryAgain = job->answer->outcome == JobOutcome::Refused
                                 && job->answer->reason != Reason::Cancelled;
        return mayTryAgain ? SubmitVerdict::Refused : SubmitVerdict::Ended;
    }
    return job->submit ? SubmitVerdict::Pending : SubmitVerdict::Recovered;
}

JobEntry &addJob(LedgerState &state, const Schema::SubmitJob &submit)
{
    JobEntry job;
    job.id = submit.id.value_or("");
    job.digest = submissionDigest(submit);
    takeContent(job, submit);
    job.shard = shardOf(state, job.id);
    job.firstSubmittedMs = submit.firstSubmittedMs.value_or(0);
    job.deadlineMs = deadlineOf(state, submit);
    job.tasks.resize(submit.tasks.size());
    const std::string id = job.id;
    Common::invariant(state.jobs.count(id) == 0, "a known id is never added again", id);
    insertJob(state, std::move(job));
    return state.jobs.at(id);
}

JobEntry &addRecoveredJob(LedgerState &state, const std::string &id, std::int64_t taskCount,
                          std::int64_t firstSubmittedMs)
{
    JobEntry job;
    job.id = id;
    job.shard = shardOf(state, id);
    job.firstSubmittedMs = firstSubmittedMs;
    job.deadlineMs = firstSubmittedMs + state.settings.maxDeadlineMs;
    job.startable = true;
    job.tasks.resize(static_cast<std::size_t>(taskCount));
    for (TaskEntry &task : job.tasks) {
        task.stage = TaskStage::Sent;
    }
    insertJob(state, std::move(job));
    return state.jobs.at(id);
}

void adoptSubmission(LedgerState &state, JobEntry &job, const Schema::SubmitJob &submit)
{
    eraseFrom(state.deadlines, job.deadlineMs, job.id);
    takeContent(job, submit);
    job.digest = submissionDigest(submit);
    job.deadlineMs = deadlineOf(state, submit);
    state.deadlines.emplace(job.deadlineMs, job.id);
}

JobEntry *findJob(LedgerState &state, const std::string &job)
{
    const auto found = state.jobs.find(job);
    return found == state.jobs.end() ? nullptr : &found->second;
}

const JobEntry *findJob(const LedgerState &state, const std::string &job)
{
    const auto found = state.jobs.find(job);
    return found == state.jobs.end() ? nullptr : &found->second;
}

std::int64_t markSent(JobEntry &job, std::int64_t index, const std::string &agent,
                      std::int64_t epoch)
{
    TaskEntry &task = taskAt(job, index);
    Common::invariant(task.stage == TaskStage::Waiting,
                      "a task is sent only while it has not started", job.id);
    Common::invariant(job.startable, "no task is sent before its job's intent", job.id);
    Common::invariant(!job.answer, "no task is sent after its job's answer", job.id);
    task.stage = TaskStage::Sent;
    task.agent = agent;
    task.attempt = task.epoch == epoch ? task.attempt + 1 : 1;
    task.epoch = epoch;
    return task.attempt;
}

void markNotStarted(JobEntry &job, std::int64_t index)
{
    TaskEntry &task = taskAt(job, index);
    if (task.stage == TaskStage::Sent) {
        task.stage = job.answer ? TaskStage::Dropped : TaskStage::Waiting;
        task.agent.clear();
    }
}

ReportEffect applyReport(JobEntry &job, const Schema::TaskState &report, const std::string &agent)
{
    if (report.index < 0 || report.index >= static_cast<std::int64_t>(job.tasks.size())) {
        return ReportEffect::Nothing;
    }
    TaskEntry &task = taskAt(job, report.index);
    if (report.phase == TaskPhase::NotStarted) {
        // A late refusal of an earlier start may cross a newer start to the same agent.
        const bool coversLastStart =
                std::tie(report.epoch, report.attempt) >= std::tie(task.epoch, task.attempt);
        const bool answersLastStart = task.stage == TaskStage::Sent && task.agent == agent;
        if (!answersLastStart || !coversLastStart) {
            return ReportEffect::Nothing;
        }
        markNotStarted(job, report.index);
        return ReportEffect::NotStarted;
    }
    const bool mayLearn = isOpen(task.stage) || task.stage == TaskStage::Lost;
    const TaskStage reported = stageOf(report.phase);
    if (!mayLearn || (reported == task.stage && task.agent == agent)) {
        return ReportEffect::Nothing;
    }
    task.stage = reported;
    task.agent = agent;
    task.result = report.result.value_or("");
    switch (reported) {
    case TaskStage::Sent:
        return ReportEffect::Running;
    case TaskStage::Lost:
        return ReportEffect::Lost;
    default:
        return ReportEffect::Ended;
    }
}

void markLost(JobEntry &job, std::int64_t index)
{
    TaskEntry &task = taskAt(job, index);
    if (isOpen(task.stage)) {
        task.stage = TaskStage::Lost;
    }
}

std::optional<Schema::JobAnswer> decidedAnswer(const JobEntry &job)
{
    const StageCounts counts = countStages(job);
    if (counts.failed > 0) {
        return baseAnswer(job, JobOutcome::Failed, Reason::TaskFailed);
    }
    if (counts.lost > 0 && counts.sent == 0) {
        return baseAnswer(job, JobOutcome::Unknown, Reason::TaskLost);
    }
    if (counts.succeeded != static_cast<std::int64_t>(job.tasks.size())) {
        return std::nullopt;
    }
    Schema::JobAnswer answer = baseAnswer(job, JobOutcome::Completed, Reason::None);
    answer.results.emplace();
    for (const TaskEntry &task : job.tasks) {
        answer.results->push_back(task.result);
    }
    return answer;
}

Schema::JobAnswer givenUpAnswer(const JobEntry &job, Reason reason, std::string detail)
{
    const StageCounts counts = countStages(job);
    const bool nothingStarted = counts.started() == 0;
    JobOutcome outcome = nothingStarted ? JobOutcome::Refused : JobOutcome::Failed;
    if (counts.lost > 0) {
        outcome = JobOutcome::Unknown;
    }
    Schema::JobAnswer answer = baseAnswer(job, outcome, reason);
    answer.notRun = nothingStarted;
    if (!detail.empty()) {
        answer.detail = std::move(detail);
    }
    return answer;
}

Schema::JobAnswer pendingAnswer(const JobEntry &job)
{
    return baseAnswer(job, JobOutcome::Pending, Reason::None);
}

std::vector<std::string> endJob(LedgerState &state, JobEntry &job, Schema::JobAnswer answer)
{
    Common::invariant(!job.answer, "a job ends once", job.id);
    Common::invariant(answer.results.has_value() == (answer.outcome == JobOutcome::Completed),
                      "an answer is whole or has no results", job.id);
    Common::invariant(!answer.notRun || countStages(job).started() == 0,
                      "not run is said only when no task may have started", job.id);
    eraseFrom(state.deadlines, job.deadlineMs, job.id);
    for (TaskEntry &task : job.tasks) {
        if (task.stage == TaskStage::Waiting) {
            task.stage = TaskStage::Dropped;
        }
        task.result.clear();
    }
    job.submit.reset();
    job.answer = std::move(answer);
    std::vector<std::string> waiters = std::exchange(job.waiters, {});
    waiters.insert(waiters.end(), job.acceptWaiters.begin(), job.acceptWaiters.end());
    job.acceptWaiters.clear();
    return waiters;
}

std::vector<std::string> pastDeadline(const LedgerState &state, Common::Moment now)
{
    std::vector<std::string> jobs;
    for (auto entry = state.deadlines.begin();
         entry != state.deadlines.end() && entry->first <= now.wallMs; ++entry) {
        jobs.push_back(entry->second);
    }
    return jobs;
}

std::size_t forgetExpired(LedgerState &state, Common::Moment now)
{
    std::size_t forgotten = 0;
    while (!state.expiries.empty() && state.expiries.begin()->first <= now.wallMs) {
        const auto job = state.jobs.find(state.expiries.begin()->second);
        if (job != state.jobs.end()) {
            eraseFrom(state.deadlines, job->second.deadlineMs, job->first);
            state.jobs.erase(job);
            ++forgotten;
        }
        state.expiries.erase(state.expiries.begin());
    }
    return forgotten;
}

Schema::JobAnswer refusal(const std::string &id, std::size_t taskCount, Reason reason,
                          std::string detail, std::int64_t retryAfterMs)
{
    Schema::JobAnswer answer;
    answer.id = id;
    answer.outcome = JobOutcome::Refused;
    answer.notRun = true;
    answer.reason = reason;
    answer.taskCount = static_cast<std::int64_t>(taskCount);
    answer.detail = std::move(detail);
    if (retryAfterMs > 0) {
        answer.retryAfterMs = retryAfterMs;
    }
    return answer;
}

std::vector<std::string> jobsOfShard(const LedgerState &state, std::int64_t shard)
{
    std::vector<std::string> jobs;
    for (const auto &[id, job] : state.jobs) {
        if (job.shard == shard) {
            jobs.push_back(id);
        }
    }
    return jobs;
}

Schema::JobSnapshot snapshotOf(const JobEntry &job)
{
    Schema::JobSnapshot snapshot;
    snapshot.id = job.id;
    snapshot.digest = job.digest;
    snapshot.answer = job.answer ? *job.answer : pendingAnswer(job);
    if (job.answer) {
        return snapshot;
    }
    snapshot.submit = job.submit;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const TaskEntry &task = job.tasks[index];
        Schema::TaskSnapshot row;
        row.index = static_cast<std::int64_t>(index);
        row.phase = phaseOf(task.stage);
        row.sent = task.stage != TaskStage::Waiting;
        row.agent = task.agent;
        row.epoch = task.epoch;
        row.attempt = task.attempt;
        if (!task.result.empty()) {
            row.result = task.result;
        }
        snapshot.tasks.push_back(std::move(row));
    }
    return snapshot;
}

void removeJob(LedgerState &state, const std::string &job)
{
    const auto found = state.jobs.find(job);
    if (found == state.jobs.end()) {
        return;
    }
    eraseFrom(state.expiries, found->second.firstSubmittedMs + state.settings.dedupWindowMs, job);
    eraseFrom(state.deadlines, found->second.deadlineMs, job);
    state.jobs.erase(found);
}

JobEntry *importJob(LedgerState &state, const Schema::JobSnapshot &snapshot)
{
    if (state.jobs.count(snapshot.id) != 0) {
        return nullptr;
    }
    JobEntry job;
    job.id = snapshot.id;
    job.digest = snapshot.digest;
    if (snapshot.submit) {
        takeContent(job, *snapshot.submit);
    }
    job.shard = shardOf(state, job.id);
    job.firstSubmittedMs = snapshot.answer.firstSubmittedMs.value_or(0);
    job.deadlineMs = job.submit ? deadlineOf(state, *job.submit)
                                : job.firstSubmittedMs + state.settings.maxDeadlineMs;
    // The predecessor may have handed the job over before its intent was durable; its successor
    // journals it again, or the next successor would not know of it.
    job.startable = !job.submit;
    if (snapshot.answer.outcome != JobOutcome::Pending) {
        job.answer = snapshot.answer;
    }
    for (const Schema::TaskSnapshot &row : snapshot.tasks) {
        TaskEntry task;
        task.stage = stageOf(row.phase);
        task.agent = row.agent.value_or("");
        task.epoch = row.epoch;
        task.attempt = row.attempt;
        task.result = row.result.value_or("");
        job.tasks.push_back(std::move(task));
    }
    insertJob(state, std::move(job));
    return findJob(state, snapshot.id);
}

} // namespace Dispatch
