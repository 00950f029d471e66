#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// What the owner of a job knows of it and of each of its tasks.
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

/// The job takes over what its caller has submitted.
void setContent(JobEntry &job, const Schema::SubmitJob &submit);

/// How many tasks of a job are at each stage.
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
StageCounts countStages(const JobEntry &job);

/// A stage as messages between processes put it, and back.
Schema::TaskPhase phaseOf(TaskStage stage);
TaskStage stageOf(Schema::TaskPhase phase);

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

} // namespace Dispatch
