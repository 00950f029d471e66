#include "Agent/Outcomes.h"

#include <algorithm>

namespace Agent {

namespace {

constexpr std::int64_t ExpiryBucketMs = 1000;
/// Covers a small step of the wall clock while a refusal is kept.
constexpr std::int64_t RefusalSlackMs = 5000;
constexpr std::size_t RefusalRoomFactor = 2;
/// Quarters of maxResultBytes that remain after results are dropped: dropping them one at a time
/// would iterate over the old records each time.
constexpr std::size_t KeptQuarters = 3;

StartOrder startOrderOf(const Schema::StartTask &task)
{
    return {task.epoch, task.attempt};
}

bool isEnded(const TaskRecord &record)
{
    return record.stage == TaskStage::Ended;
}

bool mayHaveStarted(const TaskRecord &record)
{
    return record.stage != TaskStage::Ended || record.phase != Schema::TaskPhase::NotStarted;
}

/// A repeated start message carries the same notAfterMs and is refused once that time has passed;
/// until then the refusal must be kept.
std::int64_t refusalExpiryMs(const TaskRecord &record, Common::Moment now)
{
    const std::int64_t left = std::max<std::int64_t>(0, record.notAfterMs - now.wallMs);
    return now.steadyMs + left + RefusalSlackMs;
}

void scheduleExpiry(Outcomes &outcomes, const TaskKey &key, TaskRecord &record)
{
    if (!record.expiryScheduled) {
        outcomes.expiries[record.expiresMs / ExpiryBucketMs + 1].push_back(&key);
        record.expiryScheduled = true;
    }
}

void cancelReport(Outcomes &outcomes, const TaskKey &key, TaskRecord &record)
{
    if (record.unacked) {
        outcomes.pendingReports.erase({record.dueMs, &key});
        record.unacked = false;
    }
}

void scheduleReport(Outcomes &outcomes, const TaskKey &key, TaskRecord &record, std::int64_t dueMs)
{
    cancelReport(outcomes, key, record);
    record.dueMs = dueMs;
    record.unacked = true;
    outcomes.pendingReports.insert({dueMs, &key});
}

/// Drops acknowledged results when memory is short, those that expire first before the others. Only
/// a successor of the owner could still ask for them, and it then correctly receives the phase
/// Unknown.
void dropOldResults(Outcomes &outcomes)
{
    const std::size_t kept = outcomes.options.maxResultBytes / 4 * KeptQuarters;
    for (const auto &[second, keys] : outcomes.expiries) {
        for (const TaskKey *key : keys) {
            if (outcomes.resultBytes <= kept) {
                return;
            }
            TaskRecord &record = outcomes.records.at(*key);
            if (isEnded(record) && !record.unacked && !record.result.empty()) {
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
    scheduleExpiry(outcomes, key, record);
    scheduleReport(outcomes, key, record, now.steadyMs);
    if (outcomes.resultBytes > outcomes.options.maxResultBytes) {
        dropOldResults(outcomes);
    }
}

/// Returns the node of the record of \a task, created if it does not exist and reset for a new
/// start.
Outcomes::Records::value_type &resetRecord(Outcomes &outcomes, const Schema::StartTask &task,
                                           Common::Moment now)
{
    auto &node = *outcomes.records.try_emplace(TaskKey{task.job, task.index}).first;
    TaskRecord &record = node.second;
    cancelReport(outcomes, node.first, record);
    record.shard = task.shard;
    record.start = startOrderOf(task);
    record.notAfterMs = task.notAfterMs;
    record.changedMs = now.steadyMs;
    record.stage = TaskStage::Queued;
    record.phase = Schema::TaskPhase::Running;
    record.reason = Schema::Reason::None;
    record.runningReported = false;
    return node;
}

} // namespace

StartStatus lookUpStart(const Outcomes &outcomes, const Schema::StartTask &task)
{
    const auto found = outcomes.records.find({task.job, task.index});
    if (found == outcomes.records.end()) {
        return StartStatus::New;
    }
    if (mayHaveStarted(found->second)) {
        return outcomes.options.repeatsRefused ? StartStatus::Known : StartStatus::New;
    }
    const bool refused = startOrderOf(task) <= found->second.refused;
    return refused && outcomes.options.refusalsKept ? StartStatus::Known : StartStatus::New;
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

void recordQueued(Outcomes &outcomes, const Schema::StartTask &task, Common::Moment now)
{
    resetRecord(outcomes, task, now);
}

void recordRunning(Outcomes &outcomes, const TaskKey &key, Common::Moment now)
{
    TaskRecord *record = findRecord(outcomes, key);
    Common::invariant(record != nullptr && record->stage == TaskStage::Queued,
                      "a task starts at most once", key.job);
    Common::invariant(!outcomes.options.refusalsKept || !(record->start <= record->refused),
                      "a refused start stays refused", key.job);
    record->stage = TaskStage::Running;
    record->changedMs = now.steadyMs;
}

void recordRefused(Outcomes &outcomes, const Schema::StartTask &task, Schema::Reason reason,
                   Common::Moment now)
{
    auto &node = resetRecord(outcomes, task, now);
    TaskEnd end;
    end.phase = Schema::TaskPhase::NotStarted;
    end.reason = reason;
    endRecord(outcomes, node.first, node.second, std::move(end), now);
}

void recordEnded(Outcomes &outcomes, const TaskKey &key, TaskEnd end, Common::Moment now)
{
    const auto found = outcomes.records.find(key);
    Common::invariant(found != outcomes.records.end() && !isEnded(found->second),
                      "a task ends once and is kept on record until then", key.job);
    endRecord(outcomes, found->first, found->second, std::move(end), now);
}

bool acknowledge(Outcomes &outcomes, const TaskKey &key, std::int64_t attempt)
{
    const auto found = outcomes.records.find(key);
    if (found == outcomes.records.end() || !found->second.unacked
        || found->second.start.attempt > attempt) {
        return false;
    }
    cancelReport(outcomes, found->first, found->second);
    return true;
}

void scheduleReportAt(Outcomes &outcomes, const TaskKey &key, std::int64_t dueMs)
{
    const auto found = outcomes.records.find(key);
    if (found != outcomes.records.end() && isEnded(found->second)) {
        scheduleReport(outcomes, found->first, found->second, dueMs);
    }
}

std::size_t removeExpired(Outcomes &outcomes, Common::Moment now)
{
    std::size_t unacknowledged = 0;
    while (!outcomes.expiries.empty()
           && outcomes.expiries.begin()->first * ExpiryBucketMs <= now.steadyMs) {
        const std::vector<const TaskKey *> keys = std::move(outcomes.expiries.begin()->second);
        outcomes.expiries.erase(outcomes.expiries.begin());
        for (const TaskKey *key : keys) {
            const auto found = outcomes.records.find(*key);
            TaskRecord &record = found->second;
            record.expiryScheduled = false;
            if (!isEnded(record)) {
                continue;
            }
            if (record.expiresMs > now.steadyMs) {
                scheduleExpiry(outcomes, found->first, record);
                continue;
            }
            unacknowledged += record.unacked ? 1 : 0;
            cancelReport(outcomes, found->first, record);
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
