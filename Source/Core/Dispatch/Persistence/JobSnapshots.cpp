#include "Dispatch/Persistence/JobSnapshots.h"

#include <utility>

#include "Dispatch/Persistence/JobAnswers.h"

namespace Dispatch {

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

JobEntry *importJob(LedgerState &state, const Schema::JobSnapshot &snapshot)
{
    if (state.jobs.count(snapshot.id) != 0) {
        return nullptr;
    }
    JobEntry job;
    job.id = snapshot.id;
    job.digest = snapshot.digest;
    if (snapshot.submit) {
        setContent(job, *snapshot.submit);
    }
    job.shard = shardOf(state, job.id);
    job.firstSubmittedMs = snapshot.answer.firstSubmittedMs.value_or(0);
    job.deadlineMs = job.submit ? deadlineOf(state, *job.submit)
                                : job.firstSubmittedMs + state.settings.maxDeadlineMs;
    // The predecessor may have handed the job over before its intent was durable. The successor
    // writes the intent to the journal again; otherwise the next successor would not know of the
    // job.
    job.startable = !job.submit;
    if (snapshot.answer.outcome != Schema::JobOutcome::Pending) {
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
    return &insertJob(state, std::move(job));
}

} // namespace Dispatch
