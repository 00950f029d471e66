#pragma once

#include <string>
#include <vector>

#include "Dispatch/GatewayState.h"

/// What a new owner does between the fence and serving: it learns which agents may hold tasks of
/// its predecessor, asks them, and settles what cannot be learned. It also asks an agent that comes
/// back after a lost connection what arrived there, before anything is sent again.
namespace Dispatch {

/// Starts, repeats and ends takeovers of the shards that need reports.
Effects recoveryTick(GatewayState &state, Common::Moment now);

Effects handleAskAgents(const GatewayState &state, const std::string &gateway,
                        const Schema::AskAgents &ask, Common::Moment now);
Effects handleKnownAgents(GatewayState &state, const Schema::KnownAgents &known);

/// The agent has a connection again and tasks were with it.
Effects askAfterReconnection(GatewayState &state, const std::string &agent);
/// An answer to a question of ours, after its states have been taken in: what it does not list has
/// not started and will not, since the agent knows our epochs.
Effects handleTaskStatesAnswer(GatewayState &state, const std::string &agent,
                               const Schema::TaskStates &report, Common::Moment now,
                               Common::Random &random);

} // namespace Dispatch
