#pragma once

#include <string>

#include "Dispatch/GatewayState.h"

/// Handles submissions, status queries and cancellations as the owner of the job. A job is accepted
/// at most once: a known id gets the answer of its job, and a job that an earlier owner may have
/// started is answered but not started. Only a job that was refused before any start, other than by
/// a cancellation, may be submitted again.
namespace Dispatch {

Effects handleSubmit(GatewayState &state, const std::string &requestId, Common::Moment now);
Effects handleGet(GatewayState &state, const std::string &requestId);
Effects handleCancel(GatewayState &state, const std::string &requestId);

} // namespace Dispatch
