#pragma once

#include <string>
#include <utility>
#include <vector>

#include "Common/Metrics.h"
#include "Net/PeerHub.h"

namespace Net {

/// Increases the counters of frames and bytes by what has been sent and received since
/// \a published.
void publishTraffic(Common::Metrics &metrics, const PeerHubTraffic &traffic,
                    const PeerHubTraffic &published);

/// Log fields with the frames and bytes of each type since \a before, as in
/// "sent_task_orders=12 sent_task_orders_bytes=14400".
std::vector<std::pair<std::string, std::string>> trafficFields(const PeerHubTraffic &traffic,
                                                               const PeerHubTraffic &before);

} // namespace Net
