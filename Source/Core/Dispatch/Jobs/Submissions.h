#pragma once

#include <string>

#include "Dispatch/GatewayState.h"

/// What the owner of a job says to a submission, question or cancellation. A job is accepted at
/// most once: an id that has been seen gets the answer of its job, and one that an earlier owner
/// may have started is answered, not started.
namespace Dispatch {

Effects handleSubmit(GatewayState &state, const std::string &requestId, Common::Moment now);
Effects handleGet(GatewayState &state, const std::string &requestId);
Effects handleCancel(GatewayState &state, const std::string &requestId);

} // namespace Dispatch
