#pragma once

#include "Gateway/GatewayControl.h"
#include "Net/Net.h"

namespace Gateway {

/// Exports the size of the gateway's state and its traffic with peers as metrics.
void exportMetrics(GatewayControl &control, const Net::PeerHubTraffic &traffic);

} // namespace Gateway
