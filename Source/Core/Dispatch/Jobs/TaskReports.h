#pragma once

#include <string>

#include "Dispatch/GatewayState.h"

/// Processes what agents report about tasks that the owner has sent (outcomes and refusals), and
/// the loss of agents.
namespace Dispatch {

Effects handleTaskReports(GatewayState &state, const std::string &agent,
                          const Schema::TaskStates &report, Common::Moment now,
                          Common::Random &random);
/// Removes an agent that is gone for good. Its tasks are marked as lost because their outcomes can
/// no longer be learned.
Effects removeLostAgent(GatewayState &state, const std::string &agent, Common::Moment now);

} // namespace Dispatch
