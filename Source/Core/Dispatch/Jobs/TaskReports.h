#pragma once

#include <string>

#include "Dispatch/GatewayState.h"

/// What the owner learns of tasks that it has sent: outcomes, refusals, and agents that are gone.
namespace Dispatch {

Effects handleTaskReports(GatewayState &state, const std::string &agent,
                          const Schema::TaskStates &report, Common::Moment now,
                          Common::Random &random);
/// The tasks of an agent that is gone for good: their outcomes will not be learned.
Effects removeLostAgent(GatewayState &state, const std::string &agent, Common::Moment now);

} // namespace Dispatch
