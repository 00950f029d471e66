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

/// Writes intents to the journal before the first start of their jobs. One append carries many
/// intents, and one append is in flight at a time. While the log is unavailable, an owner may
/// declare itself unlogged and continue to start jobs; it holds their intents in order until they
/// can be written.
namespace Dispatch {

/// How far the time of a submission may be ahead of this machine's clock.
constexpr std::int64_t MaxSubmissionSkewMs = 2000;

struct JournalSettings
{
    std::int64_t batchMs = 5;
    std::int64_t unloggedAfterMs = 2000;
    std::int64_t retryMs = 200;
    std::int64_t dedupWindowMs = 600000;
    std::size_t maxBatchIntents = 500;
};

/// The append in progress, kept until it is known to be durable.
struct JournalBatch
{
    std::uint64_t batch = 0;
    Schema::LogRecord record;
    /// Jobs whose intents it carries.
    std::vector<std::string> jobs;
    bool inFlight = false;
    std::int64_t retryAtMs = 0;
};

/// An intent that is not durable yet.
struct HeldIntent
{
    Schema::Intent intent;
    std::int64_t addedMs = 0;
};

struct JournalState
{
    JournalSettings settings;
    std::string self;
    /// Held intents in the order in which they were added; those in the batch are at the front.
    std::deque<HeldIntent> held;
    std::unordered_map<std::string, std::int64_t> heldSubmittedMs;
    std::optional<JournalBatch> batch;
    /// shards_taken records that are appended before further intents.
    std::deque<Schema::LogRecord> pendingMarkers;
    std::vector<std::string> newlyDurable;
    /// Ids of our shards_taken records that have been read back.
    std::vector<std::string> readMarkers;
    std::int64_t lastAppendMs = 0;
    std::int64_t lastDurableMs = 0;
    /// The declaration, or 0 if there is none: jobs first submitted at or after this time may start
    /// without a durable intent once a majority of the roster has acknowledged it.
    std::int64_t unloggedSinceMs = 0;
    /// The declaration that a majority has acknowledged; 0 if there is none.
    std::int64_t acknowledgedSinceMs = 0;
    /// The last declaration. No time is declared twice, so that an old acknowledgement can't be
    /// taken for a new one.
    std::int64_t lastDeclaredMs = 0;
    /// The log is available again: no further job starts unlogged, and the declaration is withdrawn
    /// once the first unloggedHeld intents, whose jobs may have started unlogged, are durable.
    bool resuming = false;
    std::size_t unloggedHeld = 0;
    /// Offset up to which the stream has been read, and whether its end was reached once.
    std::int64_t readOffset = 0;
    bool readOnce = false;
    IntentIndex index;
    std::vector<Schema::UnloggedWindow> windows;
};

/// Whether a job's tasks may be started as far as the journal is concerned.
enum class IntentState { Durable, Unlogged, Waiting };

JournalState makeJournal(JournalSettings settings, std::string self);

/// Holds \a intent until it is durable. Does nothing if an intent of the same job is already held.
void addIntent(JournalState &state, Schema::Intent intent, Common::Moment now);
/// Durable also for a job that was never added here: its intent is known from the log.
IntentState intentState(const JournalState &state, const std::string &job);
/// Jobs whose intents became durable since the last call.
std::vector<std::string> takeNewlyDurable(JournalState &state);

/// Appends waiting records, declares the unlogged mode if needed, and removes expired ids and
/// windows.
Effects journalTick(JournalState &state, std::uint64_t &nextBatch, Common::Moment now,
                    Common::Random &random);
Effects handleJournalAppendResult(JournalState &state, std::uint64_t batch, AppendStatus status,
                                  Common::Moment now);
Effects handleJournalRead(JournalState &state, const LogRead &read, Common::Moment now);

/// Replaces a current declaration by a new one, which has to be acknowledged again. Needed when
/// this gateway has gained a shard, because an earlier successor may have recorded the old
/// declaration as ended for that shard.
void redeclare(JournalState &state);

/// Queues a shards_taken record and returns its id. The id is added to readMarkers once everything
/// before the record has been read.
std::string appendShardsTakenMarker(JournalState &state, std::vector<Schema::ShardOwner> shards,
                                    std::vector<Schema::UnloggedWindow> windows, Common::Moment now,
                                    Common::Random &random);
std::vector<std::string> takeReadMarkers(JournalState &state);

/// The intent of a job if the log contains one: some owner accepted the job and may have started
/// it.
std::optional<JournaledIntent> findIntent(const JournalState &state, const std::string &job);

} // namespace Dispatch
