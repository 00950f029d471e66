#pragma once

#include "Dispatch/GatewayState.h"

/// From an accepted job to start messages: the owner waits for the job's intent, queues its tasks
/// and sends those whose turn has come.
namespace Dispatch {

JobDemand demandOf(const JobEntry &job);

/// Adds the job's intent to the journal; its tasks start when the intent is durable.
void awaitIntent(GatewayState &state, const JobEntry &job, Common::Moment now);
/// Adds the job's intent to the journal where it has none: an earlier owner may have started the
/// job while the log was away.
void addMissingIntent(GatewayState &state, const JobEntry &job, Common::Moment now);
/// Gives the scheduler the job's tasks that have not started, once its intent allows it.
void scheduleJob(GatewayState &state, JobEntry &job, Common::Moment now);
/// Jobs whose intents have become durable, or may start without.
Effects releaseJournaledJobs(GatewayState &state, Common::Moment now);
/// Sends waiting tasks to agents with room.
Effects startTasks(GatewayState &state, Common::Moment now, Common::Random &random);

} // namespace Dispatch
