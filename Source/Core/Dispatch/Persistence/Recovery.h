#pragma once

#include <string>
#include <vector>

#include "Dispatch/GatewayState.h"

/// Recovery of shards by a new owner, between fencing and serving: it determines which agents may
/// have tasks of its predecessor, asks them, and resolves the tasks that are still unreported. It
/// also asks an agent that reconnects which tasks have arrived there, before anything is sent
/// again.
namespace Dispatch {

/// Starts, continues and ends takeovers of the shards in ShardPhase::NeedsReports.
Effects recoveryTick(GatewayState &state, Common::Moment now);

Effects handleAskAgents(const GatewayState &state, const std::string &gateway,
                        const Schema::AskAgents &ask, Common::Moment now);
Effects handleKnownAgents(GatewayState &state, const Schema::KnownAgents &known);

/// Asks an agent that has reconnected about the tasks that were sent to it, if there are any.
Effects askAfterReconnection(GatewayState &state, const std::string &agent);
/// Handles the answer to one of our queries, after its states have been applied. A task that it
/// does not list has not started and will not start, because the agent knows our epochs.
Effects handleTaskStatesAnswer(GatewayState &state, const std::string &agent,
                               const Schema::TaskStates &report, Common::Moment now,
                               Common::Random &random);

} // namespace Dispatch
