#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Dispatch/GatewayState.h"

/// How a job ends: with one answer, the same for all who wait for it.
namespace Dispatch {

/// Sends \a answer to whoever asked; does nothing for a request that has been answered.
Effects answerRequest(GatewayState &state, const std::string &requestId,
                      const Schema::JobAnswer &answer);
Effects answerRequests(GatewayState &state, const std::vector<std::string> &requests,
                       const Schema::JobAnswer &answer);
Effects refuseRequest(GatewayState &state, const std::string &requestId, Schema::Reason reason,
                      const std::string &detail, std::int64_t retryAfterMs = 0);

/// Ends the job with \a answer, tells all who wait for it, and recalls its tasks from the agents.
Effects finishJob(GatewayState &state, JobEntry &job, const Schema::JobAnswer &answer);
/// Ends the job if its tasks decide it.
Effects finishIfDecided(GatewayState &state, JobEntry &job);
/// Deadlines passed and jobs that can't be served in time.
Effects finishOverdueJobs(GatewayState &state, Common::Moment now);

} // namespace Dispatch
