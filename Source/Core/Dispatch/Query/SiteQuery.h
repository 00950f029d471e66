#pragma once

#include <string>

#include "Dispatch/GatewayState.h"

/// Operators' queries. Any gateway answers them for the whole site: each gateway filters its own
/// rows, and the queried one merges them and lists the gateways that did not answer in time.
namespace Dispatch {

Effects handleQuery(GatewayState &state, const std::string &token, const std::string &text,
                    Common::Moment now);
/// Answers a query of another gateway with this gateway's rows.
Effects handleQueryPart(const GatewayState &state, const std::string &gateway,
                        const Schema::Forward &forward, Common::Moment now);
Effects handleQueryPartAnswer(GatewayState &state, const std::string &gateway,
                              const Schema::ForwardAnswer &answer);
/// Answers queries that have timed out with the rows received so far.
Effects queryTick(GatewayState &state, Common::Moment now);

} // namespace Dispatch
