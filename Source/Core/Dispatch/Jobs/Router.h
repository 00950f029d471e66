#pragma once

#include "Dispatch/GatewayState.h"

/// Brings each request to the owner of its job's shard, which may be this gateway, another one, or
/// for a while nobody.
namespace Dispatch {

/// Deals with a new or held request.
Effects routeRequest(GatewayState &state, const std::string &requestId, Common::Moment now);
/// Tries held requests again, and answers those whose time is over with what is known.
Effects routeHeldRequests(GatewayState &state, Common::Moment now);

Effects handleForward(GatewayState &state, const std::string &gateway,
                      const Schema::Forward &forward, Common::Moment now);
Effects handleForwardAnswer(GatewayState &state, const Schema::ForwardAnswer &answer,
                            Common::Moment now);

/// Makes up an id whose shard this gateway serves, so that the job needs no hop.
std::string generateJobId(const GatewayState &state, Common::Random &random);

} // namespace Dispatch
