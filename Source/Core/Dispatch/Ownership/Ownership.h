#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Dispatch/Effects.h"
#include "Dispatch/Ownership/ControlTable.h"
#include "Dispatch/Persistence/LogEvents.h"

/// Which gateway owns which shard, as one gateway sees and changes it: roster, claims, fencing of a
/// lost owner, direct handover. Epochs are ordered by the log; between gateways there are only
/// heartbeats that carry the table.
namespace Dispatch {

struct OwnershipSettings
{
    std::int64_t shardCount = 64;
    std::int64_t heartbeatMs = 500;
    /// A gateway not heard from for this long loses its shards.
    std::int64_t peerSilenceMs = 2500;
    /// How long an agent accepts starts after it last heard from a majority of the roster.
    std::int64_t leaseMs = 2000;
    std::int64_t appendRetryMs = 200;
    std::int64_t dedupWindowMs = 600000;
    /// A gap in the control stream that nothing has closed for this long: nobody knows the table.
    std::int64_t lostAfterMs = 30000;
    Safeguards safeguards;
};

enum class ShardPhase {
    NotOurs,
    /// Given to us by a handover that has not arrived yet.
    AwaitingHandover,
    /// Ours in the log; no majority has acknowledged it yet.
    Claimed,
    /// Acknowledged; the agents' leases of the old epoch run out.
    Fencing,
    /// Fenced; the journal is being read up to our mark.
    NeedsJournal,
    /// The agents are being asked what they hold.
    NeedsReports,
    Serving,
    /// We have stopped serving it and offer it to a successor.
    HandingOver
};

/// Our own part in a shard, under one epoch.
struct ShardRole
{
    ShardPhase phase = ShardPhase::NotOurs;
    std::int64_t epoch = 0;
    std::int64_t phaseSinceMs = 0;
    /// Wall-clock time at which no older epoch could start a task any more.
    std::int64_t fencedWallMs = 0;
    std::string journalMarkerId;
    std::vector<Schema::UnloggedWindow> windows;
};

struct SentPing
{
    std::int64_t sequence = 0;
    std::int64_t sentMs = 0;
};

/// What we know of another gateway.
struct PeerView
{
    /// Our latest heartbeats to it, the oldest first.
    std::deque<SentPing> sent;
    /// When the last heartbeat of ours that it has answered was sent.
    std::optional<std::int64_t> answeredMs;
    std::int64_t firstTrackedMs = 0;
    bool pingReceived = false;
    std::int64_t lastReceivedMs = 0;
    std::int64_t sequence = 0;
    bool leaving = false;
    std::vector<std::string> live;
    /// When the log last showed a record of it.
    std::int64_t lastRecordMs = 0;
    std::int64_t journalOffset = 0;
    std::int64_t configVersion = 0;
    std::int64_t reportedVersion = 0;
    /// Of reports that came when our table was not behind the sender's.
    std::int64_t acknowledgedVersion = 0;
    std::int64_t acknowledgedUnloggedMs = 0;
    /// Declarations, its own among them, as it last reported them.
    std::map<std::string, std::int64_t> notices;
    std::int64_t sentVersion = -1;
    std::int64_t sentNoticeRevision = -1;
    std::int64_t lastPingMs = 0;
};

/// The control record of ours that is under way.
struct ControlAppend
{
    std::uint64_t batch = 0;
    Schema::LogRecord record;
    bool inFlight = false;
    bool durable = false;
    std::int64_t sinceMs = 0;
};

/// A planned handover that balances the shards, or empties a gateway that leaves.
struct WantedHandover
{
    std::string successor;
    std::vector<std::int64_t> shards;
};

struct OwnershipState
{
    OwnershipSettings settings;
    Schema::Member self;
    /// Strictly from the log, and that merged with what peers and handovers told.
    ControlTable fromLog;
    ControlTable table;
    std::int64_t readOffset = 0;
    bool readToEnd = false;
    /// The log dropped records that were never read here. Those read since wait for a table that
    /// reflects all before gapEnd.
    bool gap = false;
    std::int64_t gapEnd = 0;
    std::int64_t gapSinceMs = 0;
    std::vector<Schema::LogEntry> entriesAfterGap;
    std::vector<ShardRole> roles;
    std::map<std::string, PeerView> peers;
    std::optional<ControlAppend> append;
    /// The roster change that ends at this offset has been acknowledged since rosterAckedMs.
    std::int64_t rosterAckedOffset = -1;
    std::int64_t rosterAckedMs = 0;
    /// It is known to every gateway and agent that could matter; the next may follow.
    bool rosterSettled = false;
    /// Declarations of other gateways that have not been withdrawn.
    std::map<std::string, std::int64_t> notices;
    std::map<std::string, std::int64_t> noticeIdleSinceMs;
    /// Grows with each change to the declarations we hold, or to our own.
    std::int64_t noticeRevision = 0;
    std::int64_t sequence = 0;
    std::int64_t startedMs = 0;
    bool hasJoined = false;
    std::int64_t joinedMs = 0;
    std::vector<std::int64_t> orphanSinceMs;
    /// Time of the oldest record that a fresh reader needs; 0 while the stream is empty.
    std::int64_t oldestNeededWallMs = 0;
    bool leaving = false;
    bool workFinished = false;
    /// What heartbeats carry for other modules.
    std::int64_t configVersion = 0;
    std::int64_t unloggedSinceMs = 0;
    std::int64_t journalOffset = 0;
    /// Our journalOffset of some heartbeats ago: a successor that has not read that far is cut off
    /// from the log.
    std::int64_t requiredJournalOffset = 0;
    std::int64_t nextRequiredJournalOffset = 0;
    std::int64_t journalSampledMs = 0;
};

OwnershipState makeOwnership(OwnershipSettings settings, Schema::Member self, Common::Moment now);

/// Takes control records in, in log order.
Effects handleControlRead(OwnershipState &state, const LogRead &read, Common::Moment now);
Effects handleControlAppendResult(OwnershipState &state, std::uint64_t batch, AppendStatus status,
                                  Common::Moment now);
/// Heartbeats, roster changes, claims, and the passing of time in fences.
Effects ownershipTick(OwnershipState &state, std::uint64_t &nextBatch, Common::Moment now,
                      Common::Random &random);
/// A heartbeat of another gateway, also of one that is not on the roster (yet).
Effects handlePeerPing(OwnershipState &state, const Schema::PeerPing &ping, Common::Moment now);

std::int64_t shardOf(const OwnershipState &state, const std::string &job);
ShardPhase shardPhase(const OwnershipState &state, std::int64_t shard);
/// Empty where nobody is known to own the shard.
std::optional<std::string> ownerOf(const OwnershipState &state, std::int64_t shard);
std::int64_t epochOf(const OwnershipState &state, std::int64_t shard);
const Schema::Member *memberOf(const OwnershipState &state, const std::string &instance);
Schema::OwnershipTable ownershipTable(const OwnershipState &state);
std::int64_t ownershipVersion(const OwnershipState &state);
/// Whether nobody else can serve a shard of ours yet. A successor waits out the lease after a
/// majority has acknowledged its claim. A majority has answered a heartbeat that we sent within the
/// lease, and none of them knew of a claim: what we say of our jobs is true until the lease ends. A
/// gateway that was paused, and finds requests and old heartbeats in its sockets, says nothing
/// before it has learned what happened meanwhile.
bool ownershipConfirmed(const OwnershipState &state, Common::Moment now);
/// Whether tasks of the shard may be started now: it is served here, and a majority of the roster
/// was heard from within the lease (agents would refuse the start otherwise).
bool mayStart(const OwnershipState &state, std::int64_t shard, Common::Moment now);
bool peerLive(const OwnershipState &state, const std::string &instance, Common::Moment now);
/// Shards of ours in \a phase.
std::vector<std::int64_t> shardsIn(const OwnershipState &state, ShardPhase phase);
/// The agents' reports are in: the shard is served from now on.
void markShardServing(OwnershipState &state, std::int64_t shard, Common::Moment now);
/// Whether some earlier owner may have started a job of this shard, first submitted then, without a
/// durable intent. Such a job, if no one knows of it, is answered unknown and is not started.
bool mayHaveStartedUnlogged(const OwnershipState &state, std::int64_t shard,
                            std::int64_t firstSubmittedMs);

/// Handovers that balance the shards evenly, or all shards where this gateway leaves.
std::vector<WantedHandover> wantedHandovers(const OwnershipState &state, Common::Moment now);
/// Stops serving \a shards for good and makes the message for \a successor; the caller adds the
/// jobs, and repeats the message until it is accepted or the epochs are superseded.
Schema::Handover beginHandover(OwnershipState &state, const std::vector<std::int64_t> &shards,
                               const std::string &successor, Common::Moment now,
                               Common::Random &random);
/// Whether a handover made by beginHandover() still stands for any of its shards.
bool isHandoverPending(const OwnershipState &state, const Schema::Handover &handover);
/// The successor has the shards. Ends HandingOver.
void completeHandover(OwnershipState &state, const Schema::Handover &handover);
/// Shards taken over, which are served at once; the jobs of the others must be left alone. Not
/// accepted while this gateway knows less of the log than the sender: the sender repeats it. The
/// caller answers an accepted one also where no shard is taken, as for a repetition.
struct HandoverResult
{
    bool accepted = false;
    std::vector<std::int64_t> shards;
};
HandoverResult acceptHandover(OwnershipState &state, const Schema::Handover &handover,
                              Common::Moment now);

/// From now on no shard is claimed, and wantedHandovers() empties this gateway.
void leave(OwnershipState &state);
/// Nothing is left to do here: the gateway leaves the roster even where its shards found no
/// successor. It must start no task from then on. A gateway that can't leave in time, since the log
/// is away or another member is silent, may just stop: its seat is then replaced like a lost one.
void finishLeaving(OwnershipState &state);
/// True once the log shows that it left, and that enough others know: a gateway that went before
/// would be missed where another one dies at the same time.
bool hasLeft(const OwnershipState &state);
/// True on one live gateway of the roster.
bool isFirstLive(const OwnershipState &state, Common::Moment now);
/// Whether \a sinceMs, our declaration, is acknowledged by a majority.
bool declarationAcknowledged(const OwnershipState &state, std::int64_t sinceMs);
/// Our declaration changes; 0 withdraws it.
void setDeclaration(OwnershipState &state, std::int64_t sinceMs);
/// A shard is fenced and its journal mark was read: \a windows are those of the journal.
void shardJournalRead(OwnershipState &state, std::int64_t shard,
                      const std::vector<Schema::UnloggedWindow> &windows, Common::Moment now);

} // namespace Dispatch
