#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Dispatch/Effects.h"
#include "Dispatch/Persistence/IntentIndex.h"
#include "Dispatch/Persistence/LogEvents.h"

/// The owner's side of the journal: intents go to the log, many to one append and one append in
/// flight, before a job's first start. While the log is away an owner may declare itself unlogged
/// and go on, keeping its intents in order until they can be written.
namespace Dispatch {

/// How far a submission's time may lie in the future of this machine's clock.
constexpr std::int64_t MaxSubmissionSkewMs = 2000;

struct JournalSettings
{
    std::int64_t batchMs = 5;
    std::int64_t unloggedAfterMs = 2000;
    std::int64_t retryMs = 200;
    std::int64_t dedupWindowMs = 600000;
    std::size_t maxBatchIntents = 500;
};

/// The append under way, kept until it is known to be durable.
struct JournalBatch
{
    std::uint64_t batch = 0;
    Schema::LogRecord record;
    /// Jobs whose intents it carries.
    std::vector<std::string> jobs;
    bool inFlight = false;
    std::int64_t retryAtMs = 0;
};

/// A job whose intent is not durable yet.
struct HeldIntent
{
    Schema::Intent intent;
    std::int64_t addedMs = 0;
};

struct JournalState
{
    JournalSettings settings;
    std::string self;
    /// Held in the order in which they were added; those in the batch are at the front.
    std::deque<HeldIntent> held;
    std::unordered_map<std::string, std::int64_t> heldSubmittedMs;
    std::optional<JournalBatch> batch;
    /// shards_taken records that go out before further intents.
    std::deque<Schema::LogRecord> pendingMarkers;
    std::vector<std::string> newlyDurable;
    /// shards_taken records of ours that were read back.
    std::vector<std::string> readMarkers;
    std::int64_t lastAppendMs = 0;
    std::int64_t lastDurableMs = 0;
    /// 0, or the declaration: jobs first submitted at or after it may start without a durable
    /// intent once a majority of the roster has acknowledged it.
    std::int64_t unloggedSinceMs = 0;
    /// The declaration a majority has acknowledged; 0 for none.
    std::int64_t acknowledgedSinceMs = 0;
    /// Never declared twice, so that an old acknowledgement can't pass for a new one.
    std::int64_t lastDeclaredMs = 0;
    /// The log answers again: nothing more starts unlogged, and the declaration is withdrawn once
    /// the first unloggedHeld intents, which may have started so, are durable.
    bool resuming = false;
    std::size_t unloggedHeld = 0;
    /// What has been read of the stream.
    std::int64_t readOffset = 0;
    bool readOnce = false;
    IntentIndex index;
    std::vector<Schema::UnloggedWindow> windows;
};

/// Whether a job's tasks may be started as far as the journal is concerned.
enum class IntentState { Durable, Unlogged, Waiting };

JournalState makeJournal(JournalSettings settings, std::string self);

/// Holds \a intent until it is durable; the same job twice is one intent.
void addIntent(JournalState &state, Schema::Intent intent, Common::Moment now);
/// Durable also for a job never added here: its intent is known from the log.
IntentState intentState(const JournalState &state, const std::string &job);
/// Jobs whose intents became durable since the last call.
std::vector<std::string> takeNewlyDurable(JournalState &state);

/// Appends what waits, declares and withdraws the unlogged mode, and forgets expired ids.
Effects journalTick(JournalState &state, std::uint64_t &nextBatch, Common::Moment now,
                    Common::Random &random);
Effects handleJournalAppendResult(JournalState &state, std::uint64_t batch, AppendStatus status,
                                  Common::Moment now);
Effects handleJournalRead(JournalState &state, const LogRead &read, Common::Moment now);

/// A declaration that stands is made anew, to be acknowledged anew: this gateway has gained a
/// shard, for which an earlier successor may have recorded the old declaration as ended.
void redeclare(JournalState &state);

/// Appends a shards_taken record; its id turns up in readMarkers once everything before it was
/// read.
std::string appendShardsTakenMarker(JournalState &state, std::vector<Schema::ShardOwner> shards,
                                    std::vector<Schema::UnloggedWindow> windows, Common::Moment now,
                                    Common::Random &random);
std::vector<std::string> takeReadMarkers(JournalState &state);

/// What the log says of a job: accepted by some owner, and maybe started.
std::optional<JournaledIntent> findIntent(const JournalState &state, const std::string &job);

} // namespace Dispatch
