#pragma once

#include <string>

#include "Agent/AgentState.h"

/// What happens to tasks between a start message and the backend server: refusal, queue, start,
/// cancellation, and the fencing of what waits.
namespace Agent {

/// Takes start messages of one gateway in. \a gateway is empty while the link has not said who it
/// is.
Effects acceptStarts(AgentState &state, LinkNumber link, const std::string &gateway,
                     const Schema::StartTasks &starts, Common::Moment now);

/// Hands queued tasks to free slots. Fence, lease and time are checked again: they may have changed
/// while a task waited, or while this process was paused.
Effects startQueued(AgentState &state, Common::Moment now);

/// A running task has its answer; the slot is free.
Effects endRunning(AgentState &state, const TaskKey &key, TaskEnd end, Common::Moment now);

/// Queued tasks of the list end as not started; running ones go on.
Effects cancelQueued(AgentState &state, const Schema::TaskRefs &refs, Common::Moment now);

/// Gives every queued task back: another backend server can take it sooner.
Effects returnQueued(AgentState &state, Schema::Reason reason, Common::Moment now);

/// Ends queued tasks of older epochs and turns the reports of the shards to their new owner.
Effects applyRaisedEpochs(AgentState &state, const RaisedShards &raised, Common::Moment now);

/// Why a start would be refused now; None where it would be accepted.
Schema::Reason refusalOf(const AgentState &state, const Schema::StartTask &task,
                         Common::Moment now);

} // namespace Agent
