#include "Dispatch/Jobs/TaskReports.h"

#include <optional>

#include "Dispatch/Jobs/JobCompletion.h"
#include "Dispatch/Persistence/JobAnswers.h"

namespace Dispatch {

using Schema::Reason;
using Schema::TaskPhase;

namespace {

constexpr const char *RetriedCounter = "auburntrail_task_retries_total";
constexpr const char *ReportedCounter = "auburntrail_task_reports_total";

/// Frees the task's slot at the agent and reports the outcome to the scheduler, which learns from
/// it.
void releaseSlot(GatewayState &state, const std::string &agent, const TaskKey &task,
                 const Schema::TaskState &report, Common::Moment now)
{
    removeAgentTask(state.agents, agent, task);
    if (report.phase == TaskPhase::Unknown) {
        taskAbandoned(state.scheduler, task, agent, now);
        return;
    }
    taskEnded(state.scheduler, task, agent, report.phase == TaskPhase::Succeeded,
              report.runMs.value_or(0), now);
}

Effects handleRefusedTask(GatewayState &state, JobEntry &job, const std::string &agent,
                          const TaskKey &task, Reason reason, Common::Moment now,
                          Common::Random &random)
{
    removeAgentTask(state.agents, agent, task);
    const RetryDecision decision =
            taskNotStarted(state.scheduler, task, agent, reason, now, random);
    Effects effects{CountReason{RetriedCounter, reason}};
    if (decision == RetryDecision::AttemptsExhausted && !job.answer) {
        append(effects,
               finishJob(state, job,
                         abortedAnswer(job, reason, "no backend server accepted the task")));
    }
    return effects;
}

Effects handleReportEffect(GatewayState &state, JobEntry &job, const std::string &agent,
                           const Schema::TaskState &report, ReportEffect effect, Common::Moment now,
                           Common::Random &random)
{
    const TaskKey task{report.job, static_cast<int>(report.index)};
    switch (effect) {
    case ReportEffect::Nothing:
        return {};
    case ReportEffect::Running:
        addAgentTask(state.agents, agent, task);
        return {};
    case ReportEffect::NotStarted:
        return handleRefusedTask(state, job, agent, task, report.reason, now, random);
    case ReportEffect::Ended:
    case ReportEffect::Lost:
        releaseSlot(state, agent, task, report, now);
        break;
    }
    Effects effects{CountReason{ReportedCounter, report.reason}};
    append(effects, finishIfDecided(state, job));
    return effects;
}

/// Adds the job of a reported task that is not in the ledger. If the journal doesn't contain the
/// job either, it was started without a durable intent and is added as ended with an unknown
/// outcome.
JobEntry &addReportedJob(GatewayState &state, const Schema::TaskState &report, Common::Moment now)
{
    const std::optional<JournaledIntent> intent = findIntent(state.site.journal, report.job);
    if (intent) {
        return addRecoveredJob(state.ledger, report.job, intent->tasks, intent->firstSubmittedMs);
    }
    JobEntry &job = addRecoveredJob(state.ledger, report.job, 1, now.wallMs);
    endJob(state.ledger, job, abortedAnswer(job, Reason::PredecessorUnlogged));
    job.answer->outcome = Schema::JobOutcome::Unknown;
    return job;
}

bool acceptsReports(const GatewayState &state, std::int64_t shard)
{
    const ShardPhase phase = shardPhase(state.site.ownership, shard);
    return phase == ShardPhase::NeedsReports || phase == ShardPhase::Serving;
}

} // namespace

Effects handleTaskReports(GatewayState &state, const std::string &agent,
                          const Schema::TaskStates &report, Common::Moment now,
                          Common::Random &random)
{
    Effects effects;
    Schema::TaskRefs acknowledged;
    for (const Schema::TaskState &task : report.states) {
        const std::int64_t shard = shardOf(state.ledger, task.job);
        if (!acceptsReports(state, shard)) {
            continue;
        }
        JobEntry *job = findJob(state.ledger, task.job);
        if (job == nullptr && task.phase != TaskPhase::NotStarted) {
            job = &addReportedJob(state, task, now);
        }
        if (job != nullptr) {
            const ReportEffect effect = applyReport(*job, task, agent);
            append(effects, handleReportEffect(state, *job, agent, task, effect, now, random));
        }
        if (task.phase != TaskPhase::Running) {
            Schema::TaskRef ref;
            ref.job = task.job;
            ref.index = task.index;
            ref.attempt = task.attempt;
            acknowledged.tasks.push_back(std::move(ref));
        }
    }
    if (!acknowledged.tasks.empty()) {
        Schema::Frame frame = frameOf(Schema::FrameType::AcknowledgeTasks);
        frame.acknowledgeTasks = std::move(acknowledged);
        effects.emplace_back(SendToAgent{agent, std::move(frame)});
    }
    return effects;
}

Effects removeLostAgent(GatewayState &state, const std::string &agent, Common::Moment now)
{
    Effects effects{LogLine{"agent_gone", {{"agent", agent}}}};
    for (const TaskKey &task : removeAgent(state.agents, agent, now)) {
        taskAbandoned(state.scheduler, task, agent, now);
        JobEntry *job = findJob(state.ledger, task.job);
        if (job != nullptr) {
            markLost(*job, task.index);
            append(effects, finishIfDecided(state, *job));
        }
    }
    return effects;
}

} // namespace Dispatch
