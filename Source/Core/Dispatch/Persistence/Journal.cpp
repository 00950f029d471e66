#include "Dispatch/Persistence/Journal.h"

#include <algorithm>
#include <utility>

#include "Dispatch/Persistence/LogRecords.h"

namespace Dispatch {

namespace {

void withdrawDeclaration(JournalState &state)
{
    state.unloggedSinceMs = 0;
    state.acknowledgedSinceMs = 0;
    state.resuming = false;
    state.unloggedHeld = 0;
}

void batchDurable(JournalState &state, Common::Moment now)
{
    state.lastDurableMs = now.steadyMs;
    const JournalBatch done = *std::exchange(state.batch, std::nullopt);
    for (const std::string &job : done.jobs) {
        state.held.pop_front();
        state.heldSubmittedMs.erase(job);
        state.newlyDurable.push_back(job);
    }
    if (state.unloggedSinceMs == 0) {
        return;
    }
    state.resuming = true;
    state.unloggedHeld -= std::min(state.unloggedHeld, done.jobs.size());
    if (state.unloggedHeld == 0) {
        withdrawDeclaration(state);
    }
}

JournalBatch makeBatch(JournalState &state, Common::Moment now, Common::Random &random)
{
    JournalBatch batch;
    if (!state.pendingMarkers.empty()) {
        batch.record = std::move(state.pendingMarkers.front());
        state.pendingMarkers.pop_front();
        return batch;
    }
    batch.record = makeRecord(state.self, Schema::RecordKind::Intents, now, random);
    batch.record.intents.emplace();
    const std::size_t count = std::min(state.held.size(), state.settings.maxBatchIntents);
    for (std::size_t next = 0; next < count; ++next) {
        batch.record.intents->push_back(state.held[next].intent);
        batch.jobs.push_back(state.held[next].intent.job);
    }
    return batch;
}

Effects sendBatch(JournalState &state, std::uint64_t &nextBatch, Common::Moment now)
{
    JournalBatch &batch = *state.batch;
    batch.batch = nextBatch++;
    batch.inFlight = true;
    state.lastAppendMs = now.steadyMs;
    return {AppendToLog{LogStream::Journal, batch.batch, {batch.record}}};
}

std::int64_t oldestHeldSubmission(const JournalState &state)
{
    std::int64_t oldest = state.held.front().intent.firstSubmittedMs;
    for (const HeldIntent &held : state.held) {
        oldest = std::min(oldest, held.intent.firstSubmittedMs);
    }
    return oldest;
}

/// A declaration covers the submission times of all jobs that it allows to start, because a
/// successor answers unknown only for the ids of those times. A resubmission may be older than the
/// outage, so the declaration begins at the oldest submission held instead of the time at which it
/// is made.
Effects declareUnlogged(JournalState &state, Common::Moment now)
{
    if (state.held.empty()) {
        return {};
    }
    const std::int64_t waitingSince = std::max(state.lastDurableMs, state.held.front().addedMs);
    if (now.steadyMs - waitingSince < state.settings.unloggedAfterMs) {
        return {};
    }
    state.resuming = false;
    state.unloggedHeld = state.held.size();
    std::int64_t sinceMs =
            std::max<std::int64_t>(1, std::min(oldestHeldSubmission(state), now.wallMs));
    if (state.unloggedSinceMs != 0 && sinceMs >= state.unloggedSinceMs) {
        return {};
    }
    if (sinceMs == state.lastDeclaredMs) {
        --sinceMs;
    }
    state.unloggedSinceMs = sinceMs;
    state.lastDeclaredMs = sinceMs;
    return {LogLine{"journal_unlogged", {{"since_ms", std::to_string(sinceMs)}}}};
}

void readWindows(JournalState &state, const Schema::LogRecord &record)
{
    for (const Schema::UnloggedWindow &window :
         record.unloggedWindows.value_or(std::vector<Schema::UnloggedWindow>{})) {
        state.windows.push_back(window);
    }
    if (record.instance == state.self) {
        state.readMarkers.push_back(record.id);
    }
}

void readRecord(JournalState &state, const Schema::LogRecord &record, Common::Moment now)
{
    if (record.kind == Schema::RecordKind::ShardsTaken) {
        readWindows(state, record);
    }
    for (const Schema::Intent &intent : record.intents.value_or(std::vector<Schema::Intent>{})) {
        indexIntent(state.index, intent, state.settings.dedupWindowMs, now.wallMs);
    }
    // The answer to the append was lost, but the record is in the log.
    if (state.batch && state.batch->record.id == record.id) {
        batchDurable(state, now);
    }
}

void expireWindows(JournalState &state, Common::Moment now)
{
    state.windows.erase(std::remove_if(state.windows.begin(), state.windows.end(),
                                       [&](const Schema::UnloggedWindow &window) {
                                           return window.untilMs + state.settings.dedupWindowMs
                                                  < now.wallMs;
                                       }),
                        state.windows.end());
}

} // namespace

JournalState makeJournal(JournalSettings settings, std::string self)
{
    JournalState state;
    state.settings = settings;
    state.self = std::move(self);
    state.lastAppendMs = -settings.batchMs;
    return state;
}

void addIntent(JournalState &state, Schema::Intent intent, Common::Moment now)
{
    if (state.heldSubmittedMs.count(intent.job) != 0) {
        return;
    }
    state.heldSubmittedMs[intent.job] = intent.firstSubmittedMs;
    state.held.push_back(HeldIntent{std::move(intent), now.steadyMs});
    if (state.unloggedSinceMs != 0 && !state.resuming) {
        state.unloggedHeld = state.held.size();
    }
}

IntentState intentState(const JournalState &state, const std::string &job)
{
    const auto held = state.heldSubmittedMs.find(job);
    if (held == state.heldSubmittedMs.end()) {
        return IntentState::Durable;
    }
    const bool declared = state.acknowledgedSinceMs != 0 && !state.resuming;
    return declared && held->second >= state.acknowledgedSinceMs ? IntentState::Unlogged
                                                                 : IntentState::Waiting;
}

std::vector<std::string> takeNewlyDurable(JournalState &state)
{
    return std::exchange(state.newlyDurable, {});
}

Effects journalTick(JournalState &state, std::uint64_t &nextBatch, Common::Moment now,
                    Common::Random &random)
{
    expireIntents(state.index, now.wallMs);
    expireWindows(state, now);
    Effects effects = declareUnlogged(state, now);
    if (state.batch) {
        if (!state.batch->inFlight && now.steadyMs >= state.batch->retryAtMs) {
            append(effects, sendBatch(state, nextBatch, now));
        }
        return effects;
    }
    const bool waiting = !state.held.empty() || !state.pendingMarkers.empty();
    if (waiting && now.steadyMs - state.lastAppendMs >= state.settings.batchMs) {
        state.batch = makeBatch(state, now, random);
        append(effects, sendBatch(state, nextBatch, now));
    }
    return effects;
}

Effects handleJournalAppendResult(JournalState &state, std::uint64_t batch, AppendStatus status,
                                  Common::Moment now)
{
    if (!state.batch || state.batch->batch != batch) {
        return {};
    }
    if (status == AppendStatus::Durable) {
        batchDurable(state, now);
        return {};
    }
    // The whole batch is sent again under the same record id. If it was written after all, readers
    // see the same intents twice, which has no further effect.
    state.batch->inFlight = false;
    state.batch->retryAtMs = now.steadyMs + state.settings.retryMs;
    return {CountReason{"journal_append_retries", Schema::Reason::LogUnavailable}};
}

Effects handleJournalRead(JournalState &state, const LogRead &read, Common::Moment now)
{
    Effects effects;
    if (read.oldestOffset > state.readOffset && state.readOnce) {
        effects.push_back(LogLine{"journal_gap",
                                  {{"from", std::to_string(state.readOffset)},
                                   {"to", std::to_string(read.oldestOffset)}}});
    }
    for (const Schema::LogEntry &entry : read.entries) {
        if (entry.offset >= state.readOffset) {
            readRecord(state, entry.record, now);
        }
    }
    state.readOffset = std::max(state.readOffset, read.nextOffset);
    state.readOnce = state.readOnce || read.atEnd;
    return effects;
}

void redeclare(JournalState &state)
{
    if (state.unloggedSinceMs == 0) {
        return;
    }
    state.unloggedSinceMs = std::min(state.unloggedSinceMs, state.lastDeclaredMs) - 1;
    state.lastDeclaredMs = state.unloggedSinceMs;
    state.acknowledgedSinceMs = 0;
}

std::string appendShardsTakenMarker(JournalState &state, std::vector<Schema::ShardOwner> shards,
                                    std::vector<Schema::UnloggedWindow> windows, Common::Moment now,
                                    Common::Random &random)
{
    Schema::LogRecord record = makeRecord(state.self, Schema::RecordKind::ShardsTaken, now, random);
    record.shards = std::move(shards);
    record.unloggedWindows = std::move(windows);
    state.pendingMarkers.push_back(record);
    return record.id;
}

std::vector<std::string> takeReadMarkers(JournalState &state)
{
    return std::exchange(state.readMarkers, {});
}

std::optional<JournaledIntent> findIntent(const JournalState &state, const std::string &job)
{
    return lookUpIntent(state.index, job);
}

} // namespace Dispatch
