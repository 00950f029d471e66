#include "Gateway/GatewayMetrics.h"

namespace Gateway {

void exportMetrics(GatewayControl &control, const Net::PeerHubTraffic &traffic)
{
    const auto &ownership = control.state.site.ownership;
    const auto serving = Dispatch::shardsIn(ownership, Dispatch::ShardPhase::Serving).size();
    control.metrics.set("auburntrail_shards_serving", static_cast<double>(serving));
    control.metrics.set("auburntrail_ownership_version",
                        static_cast<double>(Dispatch::ownershipVersion(ownership)));
    control.metrics.set(
            "auburntrail_config_version",
            static_cast<double>(Dispatch::configuration(control.state.site.config).version));
    control.metrics.set("auburntrail_jobs_remembered",
                        static_cast<double>(control.state.ledger.jobs.size()));
    control.metrics.set("auburntrail_tasks_queued",
                        static_cast<double>(Dispatch::totalDemand(control.state.scheduler)));
    control.metrics.set("auburntrail_requests_open",
                        static_cast<double>(control.state.requests.requests.size()));
    control.metrics.set("auburntrail_peer_bytes_sent", static_cast<double>(traffic.bytesSent));
    control.metrics.set("auburntrail_peer_bytes_received",
                        static_cast<double>(traffic.bytesReceived));
    control.metrics.set("auburntrail_peer_frames_sent", static_cast<double>(traffic.framesSent));
    control.metrics.set("auburntrail_peer_frames_received",
                        static_cast<double>(traffic.framesReceived));
}

} // namespace Gateway
