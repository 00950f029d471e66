#pragma once

#include "Runner/Announcements.h"
#include "Runner/Evacuation.h"
#include "Runner/Load.h"
#include "Runner/RunnerDaemon.h"
#include "Runner/RunnerState.h"
#include "Runner/Runs.h"

/// Public header of the agent for transient jobs: its decisions as a single state machine, and its
/// daemon.
namespace Runner {

/// Extends the gateway's grant. \a echoMs is the send time of a message of this agent that the
/// gateway has received; 0 means none.
void grantReceived(RunnerState &state, const std::string &gateway, std::int64_t echoMs);

Effects ordersReceived(RunnerState &state, const std::string &gateway,
                       const Schema::TaskOrders &orders, Common::Moment now);
Effects withdrawReceived(RunnerState &state, const std::string &gateway,
                         const Schema::WithdrawTasks &withdraw, Common::Moment now);
/// Stops everything that the gateway ordered, since its grant has expired, its connection was not
/// restored, or another process is in its place. Nobody waits for these tasks any more, and their
/// callers will submit them again.
Effects gatewayLost(RunnerState &state, const std::string &gateway, Common::Moment now);

/// Returns waiting tasks to their gateways and accepts no new ones; started runs continue.
Effects beginStop(RunnerState &state, Common::Moment now);
bool isStopped(const RunnerState &state);

/// Handles expired timers and makes the starts, stops and observations that are due.
Effects tick(RunnerState &state, Common::Moment now);
std::int64_t nextWakeMs(const RunnerState &state, Common::Moment now);

/// Switches off the decisions that the settings name, so that an operator can compare results with
/// and without each of them.
void switchOff(RunnerState &state, const std::vector<Schema::AgentDecision> &disabled);

} // namespace Runner
