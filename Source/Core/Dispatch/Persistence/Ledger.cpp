#include "Dispatch/Persistence/Ledger.h"

#include <algorithm>
#include <utility>

namespace Dispatch {

using Schema::JobOutcome;
using Schema::Reason;

namespace {

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
                               "the first submission is older than the dedup window");
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

SubmissionStatus lookUpSubmission(const LedgerState &state, const Schema::SubmitJob &submit)
{
    const JobEntry *job = findJob(state, submit.id.value_or(""));
    if (job == nullptr) {
        return SubmissionStatus::New;
    }
    if (!job->digest.empty() && job->digest != submissionDigest(submit)) {
        return SubmissionStatus::Conflict;
    }
    if (job->answer) {
        // A cancelled job stays cancelled. Otherwise a resubmission that crossed the cancellation
        // would start it again.
        const bool mayTryAgain = job->answer->outcome == JobOutcome::Refused
                                 && job->answer->reason != Reason::Cancelled;
        return mayTryAgain ? SubmissionStatus::Refused : SubmissionStatus::Ended;
    }
    return job->submit ? SubmissionStatus::Pending : SubmissionStatus::Recovered;
}

JobEntry &insertJob(LedgerState &state, JobEntry job)
{
    const std::string id = job.id;
    state.expiries.emplace(job.firstSubmittedMs + state.settings.dedupWindowMs, id);
    if (!job.answer) {
        state.deadlines.emplace(job.deadlineMs, id);
    }
    return state.jobs.insert_or_assign(id, std::move(job)).first->second;
}

JobEntry &addJob(LedgerState &state, const Schema::SubmitJob &submit)
{
    JobEntry job;
    job.id = submit.id.value_or("");
    job.digest = submissionDigest(submit);
    setContent(job, submit);
    job.shard = shardOf(state, job.id);
    job.firstSubmittedMs = submit.firstSubmittedMs.value_or(0);
    job.deadlineMs = deadlineOf(state, submit);
    job.tasks.resize(submit.tasks.size());
    Common::invariant(state.jobs.count(job.id) == 0, "an id is added only if it is unknown",
                      job.id);
    return insertJob(state, std::move(job));
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
    return insertJob(state, std::move(job));
}

void adoptSubmission(LedgerState &state, JobEntry &job, const Schema::SubmitJob &submit)
{
    eraseFrom(state.deadlines, job.deadlineMs, job.id);
    setContent(job, submit);
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

std::vector<std::string> endJob(LedgerState &state, JobEntry &job, Schema::JobAnswer answer)
{
    Common::invariant(!job.answer, "a job ends once", job.id);
    Common::invariant(answer.results.has_value() == (answer.outcome == JobOutcome::Completed),
                      "an answer has results if and only if its job completed", job.id);
    Common::invariant(!answer.notRun || countStages(job).started() == 0,
                      "notRun is set only if no task may have started", job.id);
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

std::size_t removeExpiredJobs(LedgerState &state, Common::Moment now)
{
    std::size_t removed = 0;
    while (!state.expiries.empty() && state.expiries.begin()->first <= now.wallMs) {
        const auto job = state.jobs.find(state.expiries.begin()->second);
        if (job != state.jobs.end()) {
            eraseFrom(state.deadlines, job->second.deadlineMs, job->first);
            state.jobs.erase(job);
            ++removed;
        }
        state.expiries.erase(state.expiries.begin());
    }
    return removed;
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

} // namespace Dispatch
