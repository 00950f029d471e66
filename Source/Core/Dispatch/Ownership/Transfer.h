#pragma once

#include "Dispatch/GatewayState.h"

/// Shards that change hands while both gateways live: for balance, at a graceful stop, and those
/// that another gateway took because this one had been silent.
namespace Dispatch {

/// Offers shards that another gateway should have, and repeats offers until they are accepted.
Effects transferTick(GatewayState &state, Common::Moment now, Common::Random &random);
Effects handleHandover(GatewayState &state, const Schema::Handover &handover, Common::Moment now);
Effects handoverAccepted(GatewayState &state, const Schema::HandoverAccepted &accepted);

/// Forgets the jobs of shards that have another owner by now; requests that waited for them are
/// asked again there.
void dropLostShards(GatewayState &state, Common::Moment now);

} // namespace Dispatch
