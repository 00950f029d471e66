#include "Dispatch/Jobs/TaskStarts.h"

#include <map>
#include <utility>

#include "Dispatch/Jobs/JobCompletion.h"
#include "Dispatch/Persistence/JobAnswers.h"

namespace Dispatch {

namespace {

Schema::Intent intentOf(const JobEntry &job)
{
    Schema::Intent intent;
    intent.job = job.id;
    intent.digest = job.digest;
    // A job that ended before it was handed over has an answer instead of its tasks.
    intent.tasks = job.answer ? job.answer->taskCount : static_cast<std::int64_t>(job.tasks.size());
    intent.firstSubmittedMs = job.firstSubmittedMs;
    intent.team = job.team;
    return intent;
}

Schema::StartTask startMessage(GatewayState &state, JobEntry &job, const Assignment &assignment)
{
    const auto index = static_cast<std::size_t>(assignment.task.index);
    Schema::StartTask start;
    start.job = job.id;
    start.index = assignment.task.index;
    start.shard = job.shard;
    start.epoch = epochOf(state.site.ownership, job.shard);
    start.attempt = markSent(job, start.index, assignment.agent, start.epoch);
    start.service = job.submit->service;
    start.notAfterMs = job.deadlineMs;
    start.payload = job.submit->tasks[index].payload;
    start.resources = job.submit->resources.value_or(Schema::Resources{});
    start.unlogged = job.unlogged;
    return start;
}

} // namespace

JobDemand demandOf(const JobEntry &job)
{
    JobDemand demand;
    demand.id = job.id;
    demand.team = job.submit->team;
    demand.caller = job.submit->caller;
    demand.service = job.submit->service;
    demand.resources = job.submit->resources;
    demand.taskCount = static_cast<int>(job.tasks.size());
    demand.deadlineMs = job.deadlineMs;
    demand.declaredRunMs = job.submit->declaredRunMs.value_or(0);
    demand.idempotent = job.submit->idempotent.value_or(false);
    return demand;
}

void awaitIntent(GatewayState &state, const JobEntry &job, Common::Moment now)
{
    addIntent(state.site.journal, intentOf(job), now);
    state.awaitingIntent.insert(job.id);
}

void addMissingIntent(GatewayState &state, const JobEntry &job, Common::Moment now)
{
    if (!job.digest.empty() && !findIntent(state.site.journal, job.id)) {
        addIntent(state.site.journal, intentOf(job), now);
    }
}

void scheduleJob(GatewayState &state, JobEntry &job, Common::Moment now)
{
    std::vector<int> queued;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].stage == TaskStage::Waiting) {
            queued.push_back(static_cast<int>(index));
        }
    }
    restoreJob(state.scheduler, demandOf(job), queued, now);
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const TaskEntry &task = job.tasks[index];
        if (task.stage == TaskStage::Sent && !task.agent.empty()) {
            const TaskKey key{job.id, static_cast<int>(index)};
            taskAdopted(state.scheduler, key, task.agent, now);
            addAgentTask(state.agents, task.agent, key);
        }
    }
    if (job.startable) {
        setJobRunnable(state.scheduler, job.id, now);
        return;
    }
    addMissingIntent(state, job, now);
    state.awaitingIntent.insert(job.id);
}

Effects releaseJournaledJobs(GatewayState &state, Common::Moment now)
{
    takeNewlyDurable(state.site.journal);
    Effects effects;
    for (auto id = state.awaitingIntent.begin(); id != state.awaitingIntent.end();) {
        JobEntry *job = findJob(state.ledger, *id);
        const IntentState intent = startAllowed(state.site, *id, now);
        if (job != nullptr && intent == IntentState::Waiting) {
            ++id;
            continue;
        }
        id = state.awaitingIntent.erase(id);
        if (job == nullptr || job->answer) {
            continue;
        }
        job->startable = true;
        job->unlogged = intent == IntentState::Unlogged;
        setJobRunnable(state.scheduler, job->id, now);
        const std::vector<std::string> accepted = std::exchange(job->acceptWaiters, {});
        append(effects, answerRequests(state, accepted, pendingAnswer(*job)));
    }
    return effects;
}

Effects startTasks(GatewayState &state, Common::Moment now, Common::Random &random)
{
    const std::vector<std::int64_t> served = shardsIn(state.site.ownership, ShardPhase::Serving);
    // Without a majority of the roster the agents would refuse the starts, so the tasks keep their
    // position in the queue.
    if (served.empty() || !mayStart(state.site.ownership, served.front(), now)) {
        return {};
    }
    std::map<std::string, Schema::StartTasks> starts;
    for (const Assignment &assignment : assignTasks(state.scheduler, now, random)) {
        JobEntry *job = findJob(state.ledger, assignment.task.job);
        Common::invariant(job != nullptr && job->submit, "a task that is placed belongs to a job",
                          assignment.task.job);
        addAgentTask(state.agents, assignment.agent, assignment.task);
        starts[assignment.agent].tasks.push_back(startMessage(state, *job, assignment));
    }
    Effects effects;
    const std::int64_t demand = totalDemand(state.scheduler);
    for (auto &[agent, batch] : starts) {
        Schema::Frame frame = frameOf(Schema::FrameType::StartTasks);
        batch.demand = demand;
        frame.startTasks = std::move(batch);
        effects.emplace_back(SendToAgent{agent, std::move(frame)});
    }
    return effects;
}

} // namespace Dispatch
