#pragma once

#include "Dispatch/GatewayState.h"

/// Takes an accepted job to its start messages: waits until its intent is durable, queues its tasks
/// and sends those that the scheduler assigns to agents.
namespace Dispatch {

JobDemand demandOf(const JobEntry &job);

/// Adds the job's intent to the journal. The tasks start when the intent is durable, or without
/// that while this gateway is allowed to start tasks unlogged.
void awaitIntent(GatewayState &state, const JobEntry &job, Common::Moment now);
/// Adds the job's intent to the journal if it isn't there: an earlier owner may have started the
/// job while the log was unavailable.
void addMissingIntent(GatewayState &state, const JobEntry &job, Common::Moment now);
/// Passes the job's unstarted tasks to the scheduler and registers those that were already sent to
/// agents. A job that is not startable yet waits for its intent.
void scheduleJob(GatewayState &state, JobEntry &job, Common::Moment now);
/// Lets the scheduler place the tasks of jobs whose intents have become durable or that may start
/// without, and answers the requests that waited for their acceptance.
Effects releaseJournaledJobs(GatewayState &state, Common::Moment now);
/// Sends waiting tasks to agents with free slots.
Effects startTasks(GatewayState &state, Common::Moment now, Common::Random &random);

} // namespace Dispatch
