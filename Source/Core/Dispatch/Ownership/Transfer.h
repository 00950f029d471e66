#pragma once

#include "Dispatch/GatewayState.h"

/// Transfers of shards between live gateways: to balance the shards, at a graceful stop, and when
/// another gateway took over shards because this one had been silent.
namespace Dispatch {

/// Offers shards that another gateway should own, and repeats offers until they are accepted or
/// superseded.
Effects transferTick(GatewayState &state, Common::Moment now, Common::Random &random);
Effects handleHandover(GatewayState &state, const Schema::Handover &handover, Common::Moment now);
Effects handoverAccepted(GatewayState &state, const Schema::HandoverAccepted &accepted);

/// Removes the jobs of shards that are neither served here nor waiting for reports
/// (ShardPhase::NeedsReports), for example because they have another owner. Requests that waited
/// for these jobs are held, to be sent to the new owner.
void dropLostShards(GatewayState &state, Common::Moment now);

} // namespace Dispatch
