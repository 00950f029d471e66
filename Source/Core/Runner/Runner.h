#pragma once

#include "Runner/Load.h"
#include "Runner/RunnerDaemon.h"
#include "Runner/RunnerState.h"
#include "Runner/Runs.h"

/// Public header of the agent for transient jobs: its decisions as one state machine, and its
/// daemon.
namespace Runner {

/// What the backend server says of itself. A late one, by its sequence, changes nothing.
Effects backendAnnounced(RunnerState &state, const Transient::BackendAnnouncement &announcement,
                         Common::Moment now);
/// It has left for good.
Effects backendLeft(RunnerState &state, const std::string &id, Common::Moment now);

/// The gateway has repeated the time of something that this agent told it.
void grantReceived(RunnerState &state, const std::string &gateway, std::int64_t echoMs);

Effects ordersReceived(RunnerState &state, const std::string &gateway,
                       const Schema::TaskOrders &orders, Common::Moment now);
Effects withdrawReceived(RunnerState &state, const std::string &gateway,
                         const Schema::WithdrawTasks &withdraw, Common::Moment now);
/// Not heard for too long, or another process in its place: nobody waits for what it ordered, and
/// its callers will submit again.
Effects gatewayLost(RunnerState &state, const std::string &gateway, Common::Moment now);

/// Gives waiting tasks back and takes no new ones; what runs goes on.
Effects beginStop(RunnerState &state, Common::Moment now);
bool isStopped(const RunnerState &state);

/// Timers, starts, stops and observations that are due.
Effects tick(RunnerState &state, Common::Moment now);
std::int64_t nextWakeMs(const RunnerState &state, Common::Moment now);

/// Switches off what the settings name, so that an operator can see what each decision is worth.
void switchOff(RunnerState &state, const std::vector<Schema::AgentDecision> &disabled);

} // namespace Runner
