#pragma once

#include "Agent/AgentState.h"
#include "Net/HttpClient.h"

/// The agent's decisions as one state machine: each event from the outside goes through one of
/// these functions, in the order in which the control thread meets it.
namespace Agent {

Effects linkOpened(AgentState &state, LinkNumber link, Common::Moment now);
/// Also for a connection attempt that failed.
Effects linkClosed(AgentState &state, LinkNumber link, Common::Moment now);
Effects frameReceived(AgentState &state, LinkNumber link, const Schema::Frame &frame,
                      Common::Moment now);
/// The backend server's answer to a RunTask effect, or the lack of one.
Effects runAnswered(AgentState &state, const TaskKey &key, const Net::HttpResult &answer,
                    Common::Moment now);
Effects healthAnswered(AgentState &state, bool healthy, Common::Moment now);

/// Timers. Called several times within a heartbeat.
Effects tick(AgentState &state, Common::Moment now);
/// Reports that are due. Called once after each batch of events and ticks.
Effects flush(AgentState &state, Common::Moment now);

/// Refuses new work from now on, gives queued tasks back and tells every gateway.
Effects beginStop(AgentState &state, Common::Moment now);
/// True once nothing runs and nothing is owed, or the stop has taken stopTimeoutMs.
bool stopFinished(const AgentState &state, Common::Moment now);

/// True while starts would be accepted if a slot were free.
bool isReady(const AgentState &state, Common::Moment now);

} // namespace Agent
