#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// The owner's record of a job and of each of its tasks.
namespace Dispatch {

/// Progress of a task as known to the owner of its job.
enum class TaskStage {
    /// Not sent to any agent, or proved not to have started at the agent that it was sent to.
    Waiting,
    /// Sent to an agent: it may have started.
    Sent,
    Succeeded,
    Failed,
    /// It may have run, and no report of its outcome is expected any more.
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
    /// Epoch and attempt of the last start sent. A report that the task has not started counts only
    /// if it covers this start.
    std::int64_t epoch = 0;
    std::int64_t attempt = 0;
    std::string result;
};

struct JobEntry
{
    std::string id;
    /// Empty while the content is not known.
    std::string digest;
    /// Absent while the job is known only from the journal or from agents' reports, and after it
    /// has ended.
    std::optional<Schema::SubmitJob> submit;
    /// Kept for operators' queries after the content has been removed.
    std::string team;
    std::string caller;
    std::string service;
    std::int64_t shard = 0;
    std::int64_t firstSubmittedMs = 0;
    std::int64_t deadlineMs = 0;
    /// True once the intent is durable or starts without a durable intent are allowed.
    bool startable = false;
    bool unlogged = false;
    std::vector<TaskEntry> tasks;
    /// Requests to be answered when the job ends (waiters) or once it is accepted (acceptWaiters).
    std::vector<std::string> waiters;
    std::vector<std::string> acceptWaiters;
    /// Set once, when the job ends; every later request gets the same answer.
    std::optional<Schema::JobAnswer> answer;
};

/// Copies the submission into the job.
void setContent(JobEntry &job, const Schema::SubmitJob &submit);

/// Number of tasks of a job at each stage.
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

/// Convert between a stage and its representation in messages between processes.
Schema::TaskPhase phaseOf(TaskStage stage);
TaskStage stageOf(Schema::TaskPhase phase);

/// Records that the task is sent to \a agent under \a epoch and may start there from now on.
/// Returns the attempt, which is counted for each epoch. Violates an invariant if the task may
/// already have started elsewhere.
std::int64_t markSent(JobEntry &job, std::int64_t index, const std::string &agent,
                      std::int64_t epoch);
/// Records that a task that was sent has not started and will not start from that message.
void markNotStarted(JobEntry &job, std::int64_t index);

/// Change that a report made to a task.
enum class ReportEffect { Nothing, Running, Ended, Lost, NotStarted };
/// Applies what an agent reports about one task.
ReportEffect applyReport(JobEntry &job, const Schema::TaskState &report, const std::string &agent);
/// Marks a task that has not ended as lost: no report of its outcome is expected any more.
void markLost(JobEntry &job, std::int64_t index);

} // namespace Dispatch
