#pragma once

#include "Agent/AgentState.h"
#include "Common/Common.h"
#include "Net/PeerHub.h"

namespace Agent {

/// Sets the gauges that describe the agent's state.
void publishState(Common::Metrics &metrics, const AgentState &state, Common::Moment now);
/// Sets the gauges for the frames and bytes of the links to gateways, and for the CPU time of the
/// calling thread, which must be the control thread.
void publishTraffic(Common::Metrics &metrics, const Net::PeerHubTraffic &traffic);

} // namespace Agent
