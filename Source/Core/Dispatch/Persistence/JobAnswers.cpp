#include "Dispatch/Persistence/JobAnswers.h"

#include <utility>

namespace Dispatch {

using Schema::JobOutcome;
using Schema::Reason;

namespace {

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

} // namespace

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

Schema::JobAnswer abortedAnswer(const JobEntry &job, Reason reason, std::string detail)
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

} // namespace Dispatch
