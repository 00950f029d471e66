#pragma once

#include "Agent/AgentState.h"
#include "Common/Common.h"
#include "Net/PeerHub.h"

namespace Agent {

/// Sets the gauges that are read off the agent's state.
void publishState(Common::Metrics &metrics, const AgentState &state, Common::Moment now);
/// Frames and bytes of the links to gateways, and the CPU time of the calling thread, which is the
/// control thread.
void publishTraffic(Common::Metrics &metrics, const Net::PeerHubTraffic &traffic);

} // namespace Agent
