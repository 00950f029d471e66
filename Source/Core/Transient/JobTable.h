#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Dispatch/Scheduling/Estimates.h"
#include "Transient/Job.h"

/// Records of the transient jobs of one gateway and of their tasks.
namespace Transient {

enum class TaskPhase {
    /// A step before it has not succeeded yet.
    Blocked,
    /// Waits for an agent.
    Ready,
    /// Sent to an agent, which has not reported its end.
    Ordered,
    /// No longer wanted; the agent has not reported yet that it is over.
    Withdrawn,
    /// Not at an agent while its job is being displaced.
    Held,
    Succeeded,
    /// Failed, stopped or never started, and not to be tried again.
    Dropped
};

/// Whether an admitted job yields to others; see Displacement.h.
enum class DisplacementPhase {
    None,
    /// Its tasks are withdrawn, and not all of them have been returned.
    Pending,
    /// It goes on, since a task may have run, and is not displaced again.
    Over
};

struct TaskRecord
{
    TaskPhase phase = TaskPhase::Blocked;
    /// Incremented with each order.
    std::int64_t attempt = 0;
    /// Name and instance of the agent that the task was sent to last.
    std::string agent;
    std::string agentInstance;
    int failures = 0;
    /// Number of times that an agent has returned the task because of its wait.
    int returns = 0;
    /// Names of agents that the task should not be sent to again.
    std::vector<std::string> avoided;
    /// Expected run time at the agent.
    double expectedMs = 0;
    /// Wait at the agent that was predicted when the task was sent to it.
    double predictedWaitMs = 0;
    /// Steady clock: expected start there, when it was ordered.
    std::int64_t expectedStartMs = 0;
    /// The backend server has answered the start, so that no start of it is still on the way there.
    bool isStartAnswered = false;
};

struct StepRecord
{
    StepRequest request;
    Dispatch::ProfileId profile = 0;
    std::vector<TaskRecord> tasks;
    int succeeded = 0;
    /// Number of tasks that are placed at an agent, by its name.
    std::map<std::string, int> tasksByAgent;
};

struct JobRecord
{
    std::string id;
    Schema::JobQueue queue;
    std::string payload;
    std::vector<StepRecord> steps;
    /// Requests that wait for the answer: a job may be submitted again while it runs.
    std::vector<std::string> tokens;
    /// Steady clock.
    std::int64_t arrivedMs = 0;
    /// When it was admitted.
    std::int64_t receivedMs = 0;
    std::int64_t targetMs = 0;
    /// A job of which no task is ordered by then is refused: it would end too late to be of use.
    std::int64_t lastStartMs = 0;
    std::int64_t deadlineMs = 0;
    /// Time from arrival to end, as predicted on admission.
    double predictedMs = 0;
    /// The same with the corrections that admission made, and the part of it that is this gateway's
    /// own delay.
    double correctedMs = 0;
    double ownDelayMs = 0;
    /// Estimate of the time that the caller had waited before the job arrived here; see
    /// RemainingTimeout.h.
    std::int64_t waitedBeforeMs = 0;
    bool anyOrdered = false;
    /// One of its tasks may have run.
    bool hasBegun = false;
    DisplacementPhase displacement = DisplacementPhase::None;
    /// Expected duration of the backlog when it was displaced.
    double backlogMs = 0;
    /// Expected duration of the longest chain of its steps, and processor time of all its tasks.
    double chainMs = 0;
    double workMs = 0;
    /// Number of tasks that are Ordered or Withdrawn.
    int unsettled = 0;
    /// Number of tasks that are Ready.
    int ready = 0;
    /// Set once the answer is decided; the record stays until all tasks are over.
    std::optional<JobResult> result;
};

struct TaskRef
{
    std::string job;
    int step = 0;
    int index = 0;
};

/// Name of a task: the job's id, step and index, separated by dots.
std::string taskName(const JobRecord &job, int step, int index);
std::optional<TaskRef> parseTaskName(const std::string &name);

/// Null if the job has no such task.
TaskRecord *findTask(JobRecord &job, const TaskRef &task);

/// Makes Blocked tasks Ready if all steps before them have succeeded. Returns their number.
int openSteps(JobRecord &job);
bool allSucceeded(const JobRecord &job);

/// Duration of the longest chain of dependent steps. \a stepMs holds the duration of each step.
double longestChainMs(const std::vector<StepRecord> &steps, const std::vector<double> &stepMs);

} // namespace Transient
