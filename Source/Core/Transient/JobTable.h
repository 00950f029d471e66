#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Dispatch/Scheduling/Estimates.h"
#include "Transient/Job.h"

/// The transient jobs of one gateway and where their tasks are.
namespace Transient {

enum class TaskPhase {
    /// A step before it has not ended.
    Blocked,
    /// Waits for an agent.
    Ready,
    /// With an agent, which has not told of its end.
    Ordered,
    /// Not wanted any more; the agent has not yet told that it is over.
    Withdrawn,
    Succeeded,
    /// Over, and not to be tried again.
    Dropped
};

struct TaskRecord
{
    TaskPhase phase = TaskPhase::Blocked;
    /// Rises with each order.
    std::int64_t attempt = 0;
    /// Name and instance of the agent that has it.
    std::string agent;
    std::string agentInstance;
    int failures = 0;
    /// Agents that it should not go back to.
    std::vector<std::string> avoided;
    double expectedMs = 0;
    /// The backend server has answered its start: nothing of it can still be on the way there.
    bool isStartAnswered = false;
};

struct StepRecord
{
    StepRequest request;
    Dispatch::ProfileId profile = 0;
    std::vector<TaskRecord> tasks;
    int succeeded = 0;
    /// Tasks that are with an agent, by its name.
    std::map<std::string, int> tasksByAgent;
};

struct JobRecord
{
    std::string id;
    Schema::JobQueue queue;
    std::string payload;
    std::vector<StepRecord> steps;
    /// Requests that wait for the answer: the same job may be submitted again while it runs.
    std::vector<std::string> tokens;
    /// Steady clock.
    std::int64_t receivedMs = 0;
    std::int64_t targetMs = 0;
    /// A job of which nothing is ordered by then is refused: it would end too late to be of use.
    std::int64_t lastStartMs = 0;
    std::int64_t deadlineMs = 0;
    /// From its arrival to its end, as it was expected when it was let in.
    double predictedMs = 0;
    /// By its caller before it came here, as far as can be told.
    std::int64_t waitedBeforeMs = 0;
    bool anyOrdered = false;
    /// Tasks ordered or withdrawn.
    int unsettled = 0;
    int ready = 0;
    /// Its answer is decided; it stays until all its tasks are over.
    std::optional<JobResult> result;
};

struct TaskRef
{
    std::string job;
    int step = 0;
    int index = 0;
};

std::string taskName(const JobRecord &job, int step, int index);
std::optional<TaskRef> parseTaskName(const std::string &name);

/// Null where the task is not known.
TaskRecord *findTask(JobRecord &job, const TaskRef &task);

/// Makes tasks Ready whose earlier steps have succeeded. Returns how many.
int openSteps(JobRecord &job);
bool allSucceeded(const JobRecord &job);

/// Longest chain of steps, each of which takes \a stepMs of its position.
double longestChainMs(const std::vector<StepRecord> &steps, const std::vector<double> &stepMs);

} // namespace Transient
