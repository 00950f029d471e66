#include "Agent/Outcomes.h"

#include <algorithm>

namespace Agent {

namespace {

constexpr std::int64_t ExpirySpanMs = 1000;
/// Covers a small step of the wall clock while a refusal is remembered.
constexpr std::int64_t RefusalSlackMs = 5000;
constexpr std::size_t RefusalRoomFactor = 2;
/// Part of the bound that dropping leaves: dropping one at a time would walk the old ones each
/// time.
constexpr std::size_t KeptQuarters = 3;

StartOrder orderOf(const Schema::StartTask &task)
{
    return {task.epoch, task.attempt};
}

bool isOver(const TaskRecord &record)
{
    return record.stage == TaskStage::Ended;
}

bool mayHaveStarted(const TaskRecord &record)
{
    return record.stage != TaskStage::Ended || record.phase != Schema::TaskPhase::NotStarted;
}

/// A repeated start message carries the same notAfterMs and is refused by that once it has passed;
/// until then the refusal has to be remembered.
std::int64_t refusalExpiryMs(const TaskRecord &record, Common::Moment now)
{
    const std::int64_t left = std::max<std::int64_t>(0, record.notAfterMs - now.wallMs);
    return now.steadyMs + left + RefusalSlackMs;
}

void noteExpiry(Outcomes &outcomes, const TaskKey &key, TaskRecord &record)
{
    if (!record.expiryNoted) {
        outcomes.expiries[record.expiresMs / ExpirySpanMs + 1].push_back(&key);
        record.expiryNoted = true;
    }
}

void stopOwing(Outcomes &outcomes, const TaskKey &key, TaskRecord &record)
{
    if (record.owed) {
        outcomes.due.erase({record.dueMs, &key});
        record.owed = false;
    }
}

void owe(Outcomes &outcomes, const TaskKey &key, TaskRecord &record, std::int64_t dueMs)
{
    stopOwing(outcomes, key, record);
    record.dueMs = dueMs;
    record.owed = true;
    outcomes.due.insert({dueMs, &key});
}

/// Acknowledged results go first where memory is short: only a successor that asks could still want
/// them, and it is then told that the outcome is unknown, which is true.
void dropOldResults(Outcomes &outcomes)
{
    const std::size_t kept = outcomes.options.maxResultBytes / 4 * KeptQuarters;
    for (const auto &[second, keys] : outcomes.expiries) {
        for (const TaskKey *key : keys) {
            if (outcomes.resultBytes <= kept) {
                return;
            }
            TaskRecord &record = outcomes.records.at(*key);
            if (isOver(record) && !record.owed && !record.result.empty()) {
                outcomes.resultBytes -= record.result.size();
                record.result = {};
                record.resultDropped = true;
            }
        }
    }
}

void endRecord(Outcomes &outcomes, const TaskKey &key, TaskRecord &record, TaskEnd end,
               Common::Moment now)
{
    record.stage = TaskStage::Ended;
    record.phase = end.phase;
    record.reason = end.reason;
    record.runMs = static_cast<float>(end.runMs);
    record.result = std::move(end.result);
    record.changedMs = now.steadyMs;
    outcomes.resultBytes += record.result.size();
    if (end.phase == Schema::TaskPhase::NotStarted) {
        record.refused = record.start;
        record.expiresMs = refusalExpiryMs(record, now);
    } else {
        record.expiresMs = now.steadyMs + outcomes.options.retentionMs;
    }
    noteExpiry(outcomes, key, record);
    owe(outcomes, key, record, now.steadyMs);
    if (outcomes.resultBytes > outcomes.options.maxResultBytes) {
        dropOldResults(outcomes);
    }
}

/// The node of \a task's record, made ready for a new start.
Outcomes::Records::value_type &renewRecord(Outcomes &outcomes, const Schema::StartTask &task,
                                           Common::Moment now)
{
    auto &node = *outcomes.records.try_emplace(TaskKey{task.job, task.index}).first;
    TaskRecord &record = node.second;
    stopOwing(outcomes, node.first, record);
    record.shard = task.shard;
    record.start = orderOf(task);
    record.notAfterMs = task.notAfterMs;
    record.changedMs = now.steadyMs;
    record.stage = TaskStage::Queued;
    record.phase = Schema::TaskPhase::Running;
    record.reason = Schema::Reason::None;
    record.runningReported = false;
    return node;
}

} // namespace

StartVerdict lookUp(const Outcomes &outcomes, const Schema::StartTask &task)
{
    const auto found = outcomes.records.find({task.job, task.index});
    if (found == outcomes.records.end()) {
        return StartVerdict::New;
    }
    if (mayHaveStarted(found->second)) {
        return outcomes.options.repeatsRefused ? StartVerdict::Known : StartVerdict::New;
    }
    const bool refused = orderOf(task) <= found->second.refused;
    return refused && outcomes.options.refusalsKept ? StartVerdict::Known : StartVerdict::New;
}

bool hasRoom(const Outcomes &outcomes)
{
    return outcomes.records.size() < outcomes.options.maxRecords
           && outcomes.resultBytes <= outcomes.options.maxResultBytes;
}

bool hasRoomForRefusal(const Outcomes &outcomes)
{
    return outcomes.records.size() < outcomes.options.maxRecords * RefusalRoomFactor;
}

TaskRecord *findRecord(Outcomes &outcomes, const TaskKey &key)
{
    const auto found = outcomes.records.find(key);
    return found == outcomes.records.end() ? nullptr : &found->second;
}

void noteQueued(Outcomes &outcomes, const Schema::StartTask &task, Common::Moment now)
{
    renewRecord(outcomes, task, now);
}

void noteRunning(Outcomes &outcomes, const TaskKey &key, Common::Moment now)
{
    TaskRecord *record = findRecord(outcomes, key);
    Common::invariant(record != nullptr && record->stage == TaskStage::Queued,
                      "a task starts at most once", key.job);
    Common::invariant(!outcomes.options.refusalsKept || !(record->start <= record->refused),
                      "a refused start stays refused", key.job);
    record->stage = TaskStage::Running;
    record->changedMs = now.steadyMs;
}

void noteRefused(Outcomes &outcomes, const Schema::StartTask &task, Schema::Reason reason,
                 Common::Moment now)
{
    auto &node = renewRecord(outcomes, task, now);
    TaskEnd end;
    end.phase = Schema::TaskPhase::NotStarted;
    end.reason = reason;
    endRecord(outcomes, node.first, node.second, std::move(end), now);
}

void noteEnded(Outcomes &outcomes, const TaskKey &key, TaskEnd end, Common::Moment now)
{
    const auto found = outcomes.records.find(key);
    Common::invariant(found != outcomes.records.end() && !isOver(found->second),
                      "a task ends once and is remembered until then", key.job);
    endRecord(outcomes, found->first, found->second, std::move(end), now);
}

bool acknowledge(Outcomes &outcomes, const TaskKey &key, std::int64_t attempt)
{
    const auto found = outcomes.records.find(key);
    if (found == outcomes.records.end() || !found->second.owed
        || found->second.start.attempt > attempt) {
        return false;
    }
    stopOwing(outcomes, found->first, found->second);
    return true;
}

void oweAt(Outcomes &outcomes, const TaskKey &key, std::int64_t dueMs)
{
    const auto found = outcomes.records.find(key);
    if (found != outcomes.records.end() && isOver(found->second)) {
        owe(outcomes, found->first, found->second, dueMs);
    }
}

std::size_t forgetExpired(Outcomes &outcomes, Common::Moment now)
{
    std::size_t unacknowledged = 0;
    while (!outcomes.expiries.empty()
           && outcomes.expiries.begin()->first * ExpirySpanMs <= now.steadyMs) {
        const std::vector<const TaskKey *> keys = std::move(outcomes.expiries.begin()->second);
        outcomes.expiries.erase(outcomes.expiries.begin());
        for (const TaskKey *key : keys) {
            const auto found = outcomes.records.find(*key);
            TaskRecord &record = found->second;
            record.expiryNoted = false;
            if (!isOver(record)) {
                continue;
            }
            if (record.expiresMs > now.steadyMs) {
                noteExpiry(outcomes, found->first, record);
                continue;
            }
            unacknowledged += record.owed ? 1 : 0;
            stopOwing(outcomes, found->first, record);
            outcomes.resultBytes -= record.result.size();
            outcomes.records.erase(found);
        }
    }
    return unacknowledged;
}

Schema::TaskState stateOf(const TaskKey &key, const TaskRecord &record)
{
    Schema::TaskState state;
    state.job = key.job;
    state.index = key.index;
    state.epoch = record.start.epoch;
    state.attempt = record.start.attempt;
    state.phase = record.phase;
    state.reason = record.reason;
    if (record.resultDropped) {
        state.phase = Schema::TaskPhase::Unknown;
        state.reason = Schema::Reason::TaskLost;
        return state;
    }
    if (record.phase == Schema::TaskPhase::Succeeded) {
        state.result = record.result;
    }
    if (record.phase == Schema::TaskPhase::Succeeded || record.phase == Schema::TaskPhase::Failed) {
        state.runMs = record.runMs;
    }
    return state;
}

} // namespace Agent
