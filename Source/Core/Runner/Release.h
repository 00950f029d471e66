#pragma once

#include <string>

#include "Runner/Reports.h"

/// Decides when an agent gives up the connection to a gateway that it has not chosen
/// (Transient/Discovery.h), as those of its settings when it has learned of others.
///
/// The gateway is told first that the agent accepts no tasks from it. A connection that closed
/// under an order, or before the report of an end has arrived, would hold up the task for seconds.
namespace Runner {

enum class ReleaseStep {
    None,
    /// Announce to the gateway whether the agent accepts tasks from it.
    Announce,
    Close
};

/// Next step towards giving up the connection if \a isSurplus, or towards keeping it.
ReleaseStep nextReleaseStep(const RunnerState &state, GatewayReports &reports,
                            const std::string &gateway, bool isSurplus, Common::Moment now);

/// Forgets a gateway that the agent has given up.
void gatewayReleased(RunnerState &state, const std::string &gateway);

/// True if the agent has tasks of the gateway.
bool hasRuns(const RunnerState &state, const std::string &gateway);

} // namespace Runner
