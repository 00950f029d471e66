#include "Dispatch/Persistence/JobEntry.h"

#include <tuple>

namespace Dispatch {

using Schema::TaskPhase;

const Common::NameTable<TaskStage, 6> TaskStageNames{{{TaskStage::Waiting, "waiting"},
                                                      {TaskStage::Sent, "sent"},
                                                      {TaskStage::Succeeded, "succeeded"},
                                                      {TaskStage::Failed, "failed"},
                                                      {TaskStage::Lost, "lost"},
                                                      {TaskStage::Dropped, "dropped"}}};

namespace {

bool isOpen(TaskStage stage)
{
    return stage == TaskStage::Waiting || stage == TaskStage::Sent;
}

TaskEntry &taskAt(JobEntry &job, std::int64_t index)
{
    Common::invariant(index >= 0 && index < static_cast<std::int64_t>(job.tasks.size()),
                      "a task index is in the range of its job", job.id);
    return job.tasks[static_cast<std::size_t>(index)];
}

} // namespace

void setContent(JobEntry &job, const Schema::SubmitJob &submit)
{
    job.submit = submit;
    job.team = submit.team;
    job.caller = submit.caller;
    job.service = submit.service;
}

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

std::int64_t markSent(JobEntry &job, std::int64_t index, const std::string &agent,
                      std::int64_t epoch)
{
    TaskEntry &task = taskAt(job, index);
    Common::invariant(task.stage == TaskStage::Waiting, "only a waiting task is sent", job.id);
    Common::invariant(job.startable, "no task is sent before its job is startable", job.id);
    Common::invariant(!job.answer, "no task is sent after its job has ended", job.id);
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
        // A late refusal of an earlier start may arrive after a newer start has been sent to the
        // same agent.
        const bool coversLastStart =
                std::tie(report.epoch, report.attempt) >= std::tie(task.epoch, task.attempt);
        const bool answersLastStart = task.stage == TaskStage::Sent && task.agent == agent;
        if (!answersLastStart || !coversLastStart) {
            return ReportEffect::Nothing;
        }
        markNotStarted(job, report.index);
        return ReportEffect::NotStarted;
    }
    const bool canUpdate = isOpen(task.stage) || task.stage == TaskStage::Lost;
    const TaskStage reported = stageOf(report.phase);
    if (!canUpdate || (reported == task.stage && task.agent == agent)) {
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

} // namespace Dispatch
