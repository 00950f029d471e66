#include "Agent/Starts.h"

#include <algorithm>
#include <utility>

namespace Agent {

namespace {

TaskKey keyOf(const Schema::StartTask &task)
{
    return {task.job, task.index};
}

CountReason refusalCount(Schema::Reason reason)
{
    return {RefusalsCounter, reason};
}

void endQueued(AgentState &state, const Schema::StartTask &task, Schema::Reason reason,
               Common::Moment now, Effects &effects)
{
    TaskEnd end;
    end.phase = Schema::TaskPhase::NotStarted;
    end.reason = reason;
    recordEnded(state.outcomes, keyOf(task), std::move(end), now);
    effects.emplace_back(refusalCount(reason));
}

/// Ends every queued task for which \a reasonFor returns a reason other than None. The others keep
/// their order.
template <typename ReasonFor>
Effects endQueuedIf(AgentState &state, Common::Moment now, ReasonFor reasonFor)
{
    Effects effects;
    std::deque<Schema::StartTask> kept;
    for (Schema::StartTask &task : state.slots.queue) {
        const Schema::Reason reason = reasonFor(task);
        if (reason == Schema::Reason::None) {
            kept.push_back(std::move(task));
        } else {
            endQueued(state, task, reason, now, effects);
        }
    }
    state.slots.queue = std::move(kept);
    return effects;
}

bool isFull(const AgentState &state)
{
    const auto held =
            static_cast<std::int64_t>(state.slots.running.size() + state.slots.queue.size());
    return held >= state.slots.slots + state.slots.queueLimit || !hasRoom(state.outcomes);
}

/// Checks the epoch, the lease and notAfterMs, whose results may change between acceptance and
/// start.
Schema::Reason checkBeforeStart(const AgentState &state, const Schema::StartTask &task,
                                Common::Moment now)
{
    const Schema::Reason fenced = checkStart(state.fence, task.shard, task.epoch, now);
    if (fenced != Schema::Reason::None) {
        return fenced;
    }
    return now.wallMs > task.notAfterMs ? Schema::Reason::NotAfterPassed : Schema::Reason::None;
}

/// Raises the epoch of the task's shard if the start carries a higher one. This proves that the
/// sender owns the shard, since an owner serves only once its claim is acknowledged.
Effects updateEpochFromStart(AgentState &state, const std::string &gateway,
                             const Schema::StartTask &task, Common::Moment now)
{
    if (gateway.empty() || task.epoch <= epochOf(state.fence, task.shard)) {
        return {};
    }
    const RaisedShards raised = mergeShards(state.fence, {{task.epoch, gateway, task.shard}});
    return applyRaisedEpochs(state, raised, now);
}

void replyFenced(AgentState &state, LinkNumber link, const Schema::StartTask &task)
{
    Schema::TaskState reply;
    reply.job = task.job;
    reply.index = task.index;
    reply.epoch = task.epoch;
    reply.attempt = task.attempt;
    reply.phase = Schema::TaskPhase::NotStarted;
    reply.reason = Schema::Reason::EpochFenced;
    state.directReplies[link].push_back(std::move(reply));
}

Effects refuse(AgentState &state, LinkNumber link, const Schema::StartTask &task,
               Schema::Reason reason, Common::Moment now)
{
    if (reason == Schema::Reason::EpochFenced) {
        replyFenced(state, link, task);
    } else if (hasRoomForRefusal(state.outcomes)) {
        recordRefused(state.outcomes, task, reason, now);
    } else {
        return {LogLine{"refusal_not_remembered", {{"job", task.job}}}};
    }
    return {refusalCount(reason)};
}

Effects acceptStart(AgentState &state, LinkNumber link, const std::string &gateway,
                    const Schema::StartTask &task, Common::Moment now)
{
    Effects effects = updateEpochFromStart(state, gateway, task, now);
    if (lookUpStart(state.outcomes, task) == StartStatus::Known) {
        TaskRecord *record = findRecord(state.outcomes, keyOf(task));
        record->runningReported = false;
        scheduleReportAt(state.outcomes, keyOf(task), now.steadyMs);
        effects.emplace_back(CountReason{RepeatsCounter, record->reason});
        return effects;
    }
    const Schema::Reason reason =
            gateway.empty() ? Schema::Reason::LeaseLapsed : refusalOf(state, task, now);
    if (reason != Schema::Reason::None) {
        append(effects, refuse(state, link, task, reason, now));
        return effects;
    }
    recordQueued(state.outcomes, task, now);
    state.slots.queue.push_back(task);
    append(effects, startQueued(state, now));
    return effects;
}

} // namespace

Schema::Reason refusalOf(const AgentState &state, const Schema::StartTask &task, Common::Moment now)
{
    const Schema::Reason failedCheck = checkBeforeStart(state, task, now);
    if (failedCheck != Schema::Reason::None) {
        return failedCheck;
    }
    if (isDraining(state)) {
        return Schema::Reason::AgentDraining;
    }
    if (!state.healthy) {
        return Schema::Reason::BackendUnreachable;
    }
    return isFull(state) ? Schema::Reason::NoSlot : Schema::Reason::None;
}

Effects acceptStarts(AgentState &state, LinkNumber link, const std::string &gateway,
                     const Schema::StartTasks &starts, Common::Moment now)
{
    Effects effects;
    for (const Schema::StartTask &task : starts.tasks) {
        append(effects, acceptStart(state, link, gateway, task, now));
    }
    return effects;
}

Effects startQueued(AgentState &state, Common::Moment now)
{
    Effects effects;
    Slots &slots = state.slots;
    while (!slots.queue.empty() && static_cast<std::int64_t>(slots.running.size()) < slots.slots) {
        const Schema::StartTask task = std::move(slots.queue.front());
        slots.queue.pop_front();
        const Schema::Reason reason = checkBeforeStart(state, task, now);
        if (reason != Schema::Reason::None) {
            endQueued(state, task, reason, now, effects);
            continue;
        }
        recordRunning(state.outcomes, keyOf(task), now);
        slots.running.insert(keyOf(task));
        Schema::RunTask run;
        run.job = task.job;
        run.index = task.index;
        run.service = task.service;
        run.payload = task.payload;
        run.notAfterMs = startNotAfterMs(state.fence, task.notAfterMs, now);
        effects.emplace_back(RunTask{std::move(run)});
    }
    return effects;
}

Effects endRunning(AgentState &state, const TaskKey &key, TaskEnd end, Common::Moment now)
{
    const bool wasRunning = state.slots.running.erase(key) != 0;
    Common::invariant(wasRunning, "an answer belongs to a running task", key.job);
    Effects effects{CountReason{OutcomesCounter, end.reason}};
    if (end.phase == Schema::TaskPhase::NotStarted) {
        effects.emplace_back(refusalCount(end.reason));
    }
    const TaskRecord *record = findRecord(state.outcomes, key);
    end.runMs = static_cast<double>(now.steadyMs - record->changedMs);
    recordEnded(state.outcomes, key, std::move(end), now);
    append(effects, startQueued(state, now));
    return effects;
}

Effects cancelQueued(AgentState &state, const Schema::TaskRefs &refs, Common::Moment now)
{
    std::unordered_set<TaskKey, TaskKeyHash> cancelled;
    for (const Schema::TaskRef &ref : refs.tasks) {
        cancelled.insert({ref.job, ref.index});
    }
    return endQueuedIf(state, now, [&](const Schema::StartTask &task) {
        return cancelled.count(keyOf(task)) != 0 ? Schema::Reason::Cancelled : Schema::Reason::None;
    });
}

Effects returnQueued(AgentState &state, Schema::Reason reason, Common::Moment now)
{
    return endQueuedIf(state, now, [&](const Schema::StartTask &) { return reason; });
}

Effects applyRaisedEpochs(AgentState &state, const RaisedShards &raised, Common::Moment now)
{
    if (raised.empty()) {
        return {};
    }
    Effects effects = endQueuedIf(state, now, [&](const Schema::StartTask &task) {
        const bool fenced =
                state.fence.epochsChecked && task.epoch < epochOf(state.fence, task.shard);
        return fenced ? Schema::Reason::EpochFenced : Schema::Reason::None;
    });
    const std::unordered_set<std::int64_t> shards(raised.begin(), raised.end());
    std::vector<TaskKey> moved;
    for (const Outcomes::PendingReport &entry : state.outcomes.pendingReports) {
        if (shards.count(state.outcomes.records.at(*entry.second).shard) != 0) {
            moved.push_back(*entry.second);
        }
    }
    for (const TaskKey &key : moved) {
        scheduleReportAt(state.outcomes, key, now.steadyMs);
    }
    for (const TaskKey &key : state.slots.running) {
        TaskRecord *record = findRecord(state.outcomes, key);
        record->runningReported = record->runningReported && shards.count(record->shard) == 0;
    }
    return effects;
}

} // namespace Agent
