#pragma once

#include "Gateway/GatewayControl.h"
#include "Net/Net.h"

namespace Gateway {

/// Shows operators how large the gateway's state is, and its traffic with peers.
void exportMetrics(GatewayControl &control, const Net::PeerHubTraffic &traffic);

} // namespace Gateway
