#pragma once

#include <string>

#include "Dispatch/GatewayState.h"

/// What a gateway does as the owner of a job: accept or refuse it, start its tasks, take in what
/// the agents report, and end it with one answer.
namespace Dispatch {

/// Sends \a answer to whoever asked; does nothing for a request that has been answered.
Effects answerRequest(GatewayState &state, const std::string &requestId,
                      const Schema::JobAnswer &answer);
Effects refuseRequest(GatewayState &state, const std::string &requestId, Schema::Reason reason,
                      const std::string &detail, std::int64_t retryAfterMs = 0);

/// A submission, question or cancellation for a shard that this gateway serves.
Effects ownerSubmit(GatewayState &state, const std::string &requestId, Common::Moment now);
Effects ownerGet(GatewayState &state, const std::string &requestId);
Effects ownerCancel(GatewayState &state, const std::string &requestId);

/// Ends the job with \a answer, tells all who wait for it, and recalls its tasks from the agents.
Effects finishJob(GatewayState &state, JobEntry &job, const Schema::JobAnswer &answer);
/// Ends the job if its tasks decide it.
Effects finishIfDecided(GatewayState &state, JobEntry &job);

/// Jobs whose intents have become durable, or may start without.
Effects releaseJournaled(GatewayState &state, Common::Moment now);
/// Adds the job's intent to the journal where it has none: an earlier owner may have started the
/// job while the log was away.
void journalIfMissing(GatewayState &state, const JobEntry &job, Common::Moment now);
/// Gives the scheduler the job's tasks that have not started, once its intent allows it.
void scheduleJob(GatewayState &state, JobEntry &job, Common::Moment now);
/// Sends waiting tasks to agents with room.
Effects startTasks(GatewayState &state, Common::Moment now, Common::Random &random);

Effects tasksReported(GatewayState &state, const std::string &agent,
                      const Schema::TaskStates &report, Common::Moment now, Common::Random &random);
/// The tasks of an agent that is gone for good: their outcomes will not be learned.
Effects agentGone(GatewayState &state, const std::string &agent, Common::Moment now);
/// Deadlines passed and jobs that can't be served in time.
Effects endOverdueJobs(GatewayState &state, Common::Moment now);

} // namespace Dispatch
