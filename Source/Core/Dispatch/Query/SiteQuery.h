#pragma once

#include <string>

#include "Dispatch/GatewayState.h"

/// Operators' questions, answered for the whole site by whichever gateway is asked. Each gateway
/// filters its own rows; the one asked merges them and names those that did not answer in time.
namespace Dispatch {

Effects handleQuery(GatewayState &state, const std::string &token, const std::string &text,
                    Common::Moment now);
/// Another gateway wants this one's part.
Effects handleQueryPart(const GatewayState &state, const std::string &gateway,
                        const Schema::Forward &forward, Common::Moment now);
Effects handleQueryPartAnswer(GatewayState &state, const std::string &gateway,
                              const Schema::ForwardAnswer &answer);
/// Answers questions whose time is over with what has come in.
Effects queryTick(GatewayState &state, Common::Moment now);

} // namespace Dispatch
