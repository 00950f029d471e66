#pragma once

#include "Dispatch/GatewayState.h"

/// Routes each request to the owner of its job's shard. The owner may be this gateway, another one,
/// or temporarily none.
namespace Dispatch {

/// Processes a new or held request here if this gateway serves the shard, or sends it to the owner.
/// Leaves it held if neither is possible yet.
Effects routeRequest(GatewayState &state, const std::string &requestId, Common::Moment now);
/// Answers requests whose deadline has passed with ownerUnreachableAnswer(), and routes held ones
/// again.
Effects routeHeldRequests(GatewayState &state, Common::Moment now);

Effects handleForward(GatewayState &state, const std::string &gateway,
                      const Schema::Forward &forward, Common::Moment now);
Effects handleForwardAnswer(GatewayState &state, const Schema::ForwardAnswer &answer,
                            Common::Moment now);

/// Generates an id whose shard this gateway serves, so that the job need not be forwarded. If no
/// attempt finds one, the id belongs to another shard.
std::string generateJobId(const GatewayState &state, Common::Random &random);

} // namespace Dispatch
