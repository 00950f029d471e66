#pragma once

#include <string>

#include "Agent/AgentState.h"

/// What the agent tells gateways: task states, windows, answers to a new owner, hellos.
///
/// A final state goes to the owner of the task's shard until that owner acknowledges it, and to the
/// next owner when the shard moves. That a task is running is told once, and only if it runs for a
/// while: most tasks end sooner, and their one report says both.
namespace Agent {

/// Sends what is due, all states for one owner together. Called once after each batch of events.
Effects flushReports(AgentState &state, Common::Moment now);

/// Answers a new owner with all that is held of its shards, refused starts among them. What is
/// absent was never started here and never will be under an older epoch, nor from a message sent on
/// an older link. A long answer goes in several frames, of which only the last carries answerTo;
/// all tasks that run are listed in that one.
Effects answerAskTasks(AgentState &state, LinkNumber link, const Schema::AskTasks &ask,
                       Common::Moment now);

/// Everything owed to a gateway whose link is new is due again: the old link may have lost it.
void makeReportsDue(AgentState &state, const std::string &gateway, Common::Moment now);

/// Drops what the gateway has acknowledged, if it owns the tasks' shards: what a former owner
/// learns its successor may not know.
void handleAcknowledgement(AgentState &state, const std::string &gateway,
                           const Schema::TaskRefs &refs);

/// Hellos that are due; all links at once where \a atOnce.
Effects sendHellos(AgentState &state, bool atOnce, Common::Moment now);

} // namespace Agent
