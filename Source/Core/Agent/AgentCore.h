#pragma once

#include "Agent/AgentState.h"
#include "Net/HttpClient.h"

/// The agent's decisions as one state machine. The control thread calls one of these functions for
/// each outside event, in the order in which the events arrive.
namespace Agent {

Effects linkOpened(AgentState &state, LinkNumber link, Common::Moment now);
/// Also called for a connection attempt that failed.
Effects linkClosed(AgentState &state, LinkNumber link, Common::Moment now);
Effects frameReceived(AgentState &state, LinkNumber link, const Schema::Frame &frame,
                      Common::Moment now);
/// Handles the backend server's answer to a RunTask effect, or the lack of one.
Effects runAnswered(AgentState &state, const TaskKey &key, const Net::HttpResult &answer,
                    Common::Moment now);
Effects healthAnswered(AgentState &state, bool healthy, Common::Moment now);

/// Runs the timers. Called several times per heartbeat.
Effects tick(AgentState &state, Common::Moment now);
/// Sends the reports that are due. Called once after each batch of events and ticks.
Effects flush(AgentState &state, Common::Moment now);

/// Refuses new work from now on, returns queued tasks to their owners and sends a hello to every
/// connected gateway.
Effects beginStop(AgentState &state, Common::Moment now);
/// True once a stop was begun and either no task is queued or running and no report is pending, or
/// stopTimeoutMs has passed.
bool stopFinished(const AgentState &state, Common::Moment now);

/// True if a start would be accepted now, given a free slot: the backend server is healthy, the
/// agent is not draining and its lease has not lapsed.
bool isReady(const AgentState &state, Common::Moment now);

} // namespace Agent
