#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// The owner's memory of jobs: what was submitted, how far each task is, and what callers were
/// told. It answers the question on which "at most once" rests: has this id been seen, and with the
/// same content? It knows nothing of queues, agents' load or the log.
namespace Dispatch {

/// How far a task is, as far as its owner can know.
enum class TaskStage {
    /// Not sent to any agent, or proved not to have started where it was sent.
    Waiting,
    /// Sent to an agent: it may have started.
    Sent,
    Succeeded,
    Failed,
    /// It may have run and its outcome will not be learned.
    Lost,
    /// Dropped before any start.
    Dropped,
};
extern const Common::NameTable<TaskStage, 6> TaskStageNames;

struct TaskEntry
{
    TaskStage stage = TaskStage::Waiting;
    /// Instance of the agent it was last sent to.
    std::string agent;
    /// Of the last start sent: a promise of non-start counts only when it covers this start.
    std::int64_t epoch = 0;
    std::int64_t attempt = 0;
    std::string result;
};

struct JobEntry
{
    std::string id;
    /// Empty while the content is not known.
    std::string digest;
    /// Absent while the job is known only from the journal or from agents' reports.
    std::optional<Schema::SubmitJob> submit;
    /// Kept for operators' questions when the content is gone.
    std::string team;
    std::string caller;
    std::string service;
    std::int64_t shard = 0;
    std::int64_t firstSubmittedMs = 0;
    std::int64_t deadlineMs = 0;
    /// False until the intent is durable, or starts without it are allowed.
    bool startable = false;
    bool unlogged = false;
    std::vector<TaskEntry> tasks;
    /// Requests to be answered when the job ends, and those to be answered once it is accepted.
    std::vector<std::string> waiters;
    std::vector<std::string> acceptWaiters;
    /// Set once, when the job ends; every later question gets the same answer.
    std::optional<Schema::JobAnswer> answer;
};

struct LedgerSettings
{
    std::int64_t shardCount = 64;
    std::int64_t dedupWindowMs = 600'000;
    std::int64_t defaultDeadlineMs = 30'000;
    std::int64_t maxDeadlineMs = 300'000;
    /// How far a first-submission time may lie ahead of this gateway's clock.
    std::int64_t clockSkewMs = 5'000;
};

struct LedgerState
{
    LedgerSettings settings;
    std::unordered_map<std::string, JobEntry> jobs;
    /// Ids by the time at which they leave the dedup window.
    std::multimap<std::int64_t, std::string> expiries;
    /// Jobs that have not ended, by deadline.
    std::multimap<std::int64_t, std::string> deadlines;
};

std::int64_t shardOf(const LedgerState &state, const std::string &job);

/// What the ledger says to a submission.
enum class SubmitVerdict {
    New,
    Pending,
    Ended,
    Conflict,
    /// Known only from the journal or from reports; adoptSubmission() may give it its content.
    Recovered,
    /// Refused before any start, and not by its caller's own wish: it may be submitted again.
    Refused
};

/// Refuses submissions that lie outside the dedup window or past their deadline.
Common::Outcome<void> checkTimes(const LedgerState &state, const Schema::SubmitJob &submit,
                                 Common::Moment now);

/// Looks the id up.
SubmitVerdict lookUp(const LedgerState &state, const Schema::SubmitJob &submit);

/// Hash of what makes a submission the same submission: all but the deadline.
std::string submissionDigest(const Schema::SubmitJob &submit);

std::int64_t deadlineOf(const LedgerState &state, const Schema::SubmitJob &submit);

JobEntry &addJob(LedgerState &state, const Schema::SubmitJob &submit);
/// A job known only from the journal or an agent's report: each of its tasks may have started. Its
/// content is not known until a resubmission brings it.
JobEntry &addRecoveredJob(LedgerState &state, const std::string &id, std::int64_t taskCount,
                          std::int64_t firstSubmittedMs);
void adoptSubmission(LedgerState &state, JobEntry &job, const Schema::SubmitJob &submit);

JobEntry *findJob(LedgerState &state, const std::string &job);
const JobEntry *findJob(const LedgerState &state, const std::string &job);

/// The task is handed to \a agent under \a epoch and may start there from now on; returns the
/// attempt. Breaks an invariant when the task may already have started elsewhere.
std::int64_t markSent(JobEntry &job, std::int64_t index, const std::string &agent,
                      std::int64_t epoch);
/// The agent promised that it has not started the task and will not.
void markNotStarted(JobEntry &job, std::int64_t index);

/// What a report changed.
enum class ReportEffect { Nothing, Running, Ended, Lost, NotStarted };
/// Takes over what an agent reports of one task.
ReportEffect applyReport(JobEntry &job, const Schema::TaskState &report, const std::string &agent);
/// No outcome of the task will be learned any more.
void markLost(JobEntry &job, std::int64_t index);

/// The answer if the job's tasks decide it: all succeeded, one failed, or one lost and none open.
std::optional<Schema::JobAnswer> decidedAnswer(const JobEntry &job);
/// The answer when the job is given up for \a reason, from what is known now.
Schema::JobAnswer givenUpAnswer(const JobEntry &job, Schema::Reason reason,
                                std::string detail = {});
/// What a job's state is while it is running.
Schema::JobAnswer pendingAnswer(const JobEntry &job);
/// Ends the job: waiting tasks are dropped and all waiters are returned, each owed \a answer.
std::vector<std::string> endJob(LedgerState &state, JobEntry &job, Schema::JobAnswer answer);

/// Jobs not ended whose deadline has passed.
std::vector<std::string> pastDeadline(const LedgerState &state, Common::Moment now);
/// Forgets ended jobs whose dedup window is over.
std::size_t forgetExpired(LedgerState &state, Common::Moment now);

/// A refusal that started nothing.
Schema::JobAnswer refusal(const std::string &id, std::size_t taskCount, Schema::Reason reason,
                          std::string detail, std::int64_t retryAfterMs = 0);

std::vector<std::string> jobsOfShard(const LedgerState &state, std::int64_t shard);
Schema::JobSnapshot snapshotOf(const JobEntry &job);
/// Takes the job out: its shard has another owner. Its waiters must have been dealt with.
void removeJob(LedgerState &state, const std::string &job);
/// A predecessor's job; null where it is known already.
JobEntry *importJob(LedgerState &state, const Schema::JobSnapshot &snapshot);

} // namespace Dispatch
