#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Dispatch/GatewayState.h"

/// Ends jobs. Each job ends with one answer, which is sent to all requests that wait for it.
namespace Dispatch {

/// Sends \a answer to the caller or to the gateway that forwarded the request. Does nothing if the
/// request has already been answered.
Effects answerRequest(GatewayState &state, const std::string &requestId,
                      const Schema::JobAnswer &answer);
Effects answerRequests(GatewayState &state, const std::vector<std::string> &requests,
                       const Schema::JobAnswer &answer);
Effects refuseRequest(GatewayState &state, const std::string &requestId, Schema::Reason reason,
                      const std::string &detail, std::int64_t retryAfterMs = 0);

/// Ends the job with \a answer, answers all requests that wait for it, and cancels its tasks at the
/// agents.
Effects finishJob(GatewayState &state, JobEntry &job, const Schema::JobAnswer &answer);
/// Ends the job if the states of its tasks determine its answer.
Effects finishIfDecided(GatewayState &state, JobEntry &job);
/// Ends jobs whose deadline has passed and jobs that the scheduler can't run in time.
Effects finishOverdueJobs(GatewayState &state, Common::Moment now);

} // namespace Dispatch
