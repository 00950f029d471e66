#pragma once

#include <string>

#include "Agent/AgentState.h"

/// Messages from the agent to gateways: task states, windows, answers to a new owner and hellos.
///
/// A final state is sent to the owner of the task's shard until that owner acknowledges it, and to
/// the next owner when the shard moves. A running task is reported as running once per owner and
/// link, and only if it runs for a while: most tasks end sooner, and their one report covers both
/// the start and the end. A repeated start message causes another report.
namespace Agent {

/// Sends what is due, with all states for one owner together. Called once after each batch of
/// events.
Effects flushReports(AgentState &state, Common::Moment now);

/// Answers a new owner with every recorded task of its shards, including refused starts. A task
/// that is absent was never started here, and will not be started under an older epoch or by a
/// message sent on an older link. A long answer is split into several frames. Only the last one
/// carries answerTo, and it lists all tasks that are queued or running.
Effects answerAskTasks(AgentState &state, LinkNumber link, const Schema::AskTasks &ask,
                       Common::Moment now);

/// Called when a gateway has answered on a new link. Makes all unacknowledged reports to it due now
/// and reports its running tasks again, since the old link may have lost them.
void makeReportsDue(AgentState &state, const std::string &gateway, Common::Moment now);

/// Stops reporting the final states that the gateway has acknowledged, if it owns the tasks'
/// shards. Acknowledgements from a former owner are ignored, since its successor may not know the
/// states.
void handleAcknowledgement(AgentState &state, const std::string &gateway,
                           const Schema::TaskRefs &refs);

/// Sends the hellos that are due, or one on every open link if \a atOnce.
Effects sendHellos(AgentState &state, bool atOnce, Common::Moment now);

} // namespace Agent
