#pragma once

#include <string>

#include "Agent/AgentState.h"

/// Handles tasks between the start message and the backend server: refusal, queue, start,
/// cancellation, and fencing of queued tasks.
namespace Agent {

/// Handles start messages of one gateway. \a gateway is empty until the other end of the link has
/// identified itself.
Effects acceptStarts(AgentState &state, LinkNumber link, const std::string &gateway,
                     const Schema::StartTasks &starts, Common::Moment now);

/// Starts queued tasks in free slots. Epoch, lease and notAfterMs are checked again: they may have
/// changed or passed while a task was queued or while this process was paused.
Effects startQueued(AgentState &state, Common::Moment now);

/// Records the outcome of a running task, frees its slot and starts queued tasks.
Effects endRunning(AgentState &state, const TaskKey &key, TaskEnd end, Common::Moment now);

/// Ends the queued tasks of the list as not started; running ones continue.
Effects cancelQueued(AgentState &state, const Schema::TaskRefs &refs, Common::Moment now);

/// Ends every queued task as not started, so that another backend server can run it sooner.
Effects returnQueued(AgentState &state, Schema::Reason reason, Common::Moment now);

/// Ends queued tasks of older epochs and makes the reports of the raised shards due for their new
/// owners.
Effects applyRaisedEpochs(AgentState &state, const RaisedShards &raised, Common::Moment now);

/// Returns why a start would be refused now, or None if it would be accepted.
Schema::Reason refusalOf(const AgentState &state, const Schema::StartTask &task,
                         Common::Moment now);

} // namespace Agent
