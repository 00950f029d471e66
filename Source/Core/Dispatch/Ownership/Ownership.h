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

/// Ownership of shards as one gateway sees and changes it: roster, claims, fencing of a lost owner,
/// direct handover. The log orders the epochs; between gateways, heartbeats carry the table.
namespace Dispatch {

struct OwnershipSettings
{
    std::int64_t shardCount = 64;
    std::int64_t heartbeatMs = 500;
    /// A gateway from which nothing was received for this long loses its shards.
    std::int64_t peerSilenceMs = 2500;
    /// How long an agent accepts starts after it last received messages from a majority of the
    /// roster.
    std::int64_t leaseMs = 2000;
    std::int64_t appendRetryMs = 200;
    std::int64_t dedupWindowMs = 600000;
    /// If a gap in the control stream has not been closed for this long, it is assumed that no
    /// gateway has the table any more.
    std::int64_t lostAfterMs = 30000;
    Safeguards safeguards;
};

enum class ShardPhase {
    NotOurs,
    /// Assigned to us by a handover whose message has not arrived yet.
    AwaitingHandover,
    /// Ours in the log, but too few members have acknowledged the claim yet.
    Claimed,
    /// Acknowledged; waiting until the agents' leases of the old epoch have expired.
    Fencing,
    /// Fenced; the journal is being read up to our marker record.
    NeedsJournal,
    /// The agents are being asked which tasks they have.
    NeedsReports,
    Serving,
    /// No longer served by us; offered to a successor.
    HandingOver
};

/// This gateway's state for one shard under one epoch.
struct ShardRole
{
    ShardPhase phase = ShardPhase::NotOurs;
    std::int64_t epoch = 0;
    std::int64_t phaseSinceMs = 0;
    /// Wall-clock time from which no older epoch can start a task.
    std::int64_t fencedWallMs = 0;
    std::string journalMarkerId;
    std::vector<Schema::UnloggedWindow> windows;
};

struct SentPing
{
    std::int64_t sequence = 0;
    std::int64_t sentMs = 0;
};

/// What this gateway knows about another gateway.
struct PeerView
{
    /// Our latest unanswered heartbeats to it, the oldest first.
    std::deque<SentPing> sent;
    /// When the latest of our heartbeats that it has answered was sent.
    std::optional<std::int64_t> answeredMs;
    std::int64_t firstTrackedMs = 0;
    bool pingReceived = false;
    std::int64_t lastReceivedMs = 0;
    std::int64_t sequence = 0;
    bool leaving = false;
    std::vector<std::string> live;
    /// When a record written by it was last read from the log.
    std::int64_t lastRecordMs = 0;
    std::int64_t journalOffset = 0;
    std::int64_t configVersion = 0;
    std::int64_t reportedVersion = 0;
    /// Highest table version that it reported while our table was not behind.
    std::int64_t acknowledgedVersion = 0;
    std::int64_t acknowledgedUnloggedMs = 0;
    /// Declarations as it last reported them, including its own.
    std::map<std::string, std::int64_t> notices;
    std::int64_t sentVersion = -1;
    std::int64_t sentNoticeRevision = -1;
    std::int64_t lastPingMs = 0;
};

/// Our control record that is being appended or has not been read back yet.
struct ControlAppend
{
    std::uint64_t batch = 0;
    Schema::LogRecord record;
    bool inFlight = false;
    bool durable = false;
    std::int64_t sinceMs = 0;
};

/// A planned handover that balances the shards or moves them away from a gateway that leaves.
struct WantedHandover
{
    std::string successor;
    std::vector<std::int64_t> shards;
};

struct OwnershipState
{
    OwnershipSettings settings;
    Schema::Member self;
    /// fromLog follows only the log, except that a peer's table may close a gap; table is fromLog
    /// merged with the tables of peers and with direct handovers.
    ControlTable fromLog;
    ControlTable table;
    std::int64_t readOffset = 0;
    bool readToEnd = false;
    /// The log dropped records that were never read here. Records read since then wait in
    /// entriesAfterGap for a table that reflects everything before gapEnd.
    bool gap = false;
    std::int64_t gapEnd = 0;
    std::int64_t gapSinceMs = 0;
    std::vector<Schema::LogEntry> entriesAfterGap;
    std::vector<ShardRole> roles;
    std::map<std::string, PeerView> peers;
    std::optional<ControlAppend> append;
    /// The roster change with this rosterOffset has been acknowledged since rosterAckedMs.
    std::int64_t rosterAckedOffset = -1;
    std::int64_t rosterAckedMs = 0;
    /// The roster change is acknowledged, and the leases from before it have expired; the next
    /// change may follow.
    bool rosterSettled = false;
    /// Declarations of other gateways that have not been withdrawn.
    std::map<std::string, std::int64_t> notices;
    std::map<std::string, std::int64_t> noticeIdleSinceMs;
    /// Incremented with each change to the known declarations or to our own.
    std::int64_t noticeRevision = 0;
    std::int64_t sequence = 0;
    std::int64_t startedMs = 0;
    bool hasJoined = false;
    std::int64_t joinedMs = 0;
    std::vector<std::int64_t> orphanSinceMs;
    /// Wall-clock time of the oldest record that a new reader needs; 0 while the stream is empty.
    std::int64_t oldestNeededWallMs = 0;
    bool leaving = false;
    bool workFinished = false;
    /// Values of other modules that heartbeats carry.
    std::int64_t configVersion = 0;
    std::int64_t unloggedSinceMs = 0;
    std::int64_t journalOffset = 0;
    /// Our journalOffset of some heartbeats ago. A possible successor that has not read that far is
    /// considered cut off from the log.
    std::int64_t requiredJournalOffset = 0;
    std::int64_t nextRequiredJournalOffset = 0;
    std::int64_t journalSampledMs = 0;
};

OwnershipState makeOwnership(OwnershipSettings settings, Schema::Member self, Common::Moment now);

/// Applies control records in log order.
Effects handleControlRead(OwnershipState &state, const LogRead &read, Common::Moment now);
Effects handleControlAppendResult(OwnershipState &state, std::uint64_t batch, AppendStatus status,
                                  Common::Moment now);
/// Sends heartbeats, appends roster changes, claims and other control records, and advances fences
/// as time passes.
Effects ownershipTick(OwnershipState &state, std::uint64_t &nextBatch, Common::Moment now,
                      Common::Random &random);
/// Handles a heartbeat of another gateway, which may not be on the roster (yet).
Effects handlePeerPing(OwnershipState &state, const Schema::PeerPing &ping, Common::Moment now);

std::int64_t shardOf(const OwnershipState &state, const std::string &job);
ShardPhase shardPhase(const OwnershipState &state, std::int64_t shard);
/// Empty if the shard has no known owner.
std::optional<std::string> ownerOf(const OwnershipState &state, std::int64_t shard);
std::int64_t epochOf(const OwnershipState &state, std::int64_t shard);
const Schema::Member *memberOf(const OwnershipState &state, const std::string &instance);
Schema::OwnershipTable ownershipTable(const OwnershipState &state);
std::int64_t ownershipVersion(const OwnershipState &state);
/// Whether no other gateway can be serving a shard of ours yet. A successor waits for the lease to
/// expire after its claim has been acknowledged. If a majority has answered heartbeats that we sent
/// within the lease, and none of them knew of a claim, our answers about our jobs are true until
/// the lease ends. A gateway that was paused, and finds requests and old heartbeats in its sockets,
/// therefore gives no answers before it has learned what happened in the meantime.
bool ownershipConfirmed(const OwnershipState &state, Common::Moment now);
/// Whether tasks of the shard may be started now: the shard is served here, and heartbeats from a
/// majority of the roster were received within the lease (agents would refuse the start otherwise).
bool mayStart(const OwnershipState &state, std::int64_t shard, Common::Moment now);
bool peerLive(const OwnershipState &state, const std::string &instance, Common::Moment now);
/// Shards of ours in \a phase.
std::vector<std::int64_t> shardsIn(const OwnershipState &state, ShardPhase phase);
/// Ends ShardPhase::NeedsReports: the agents have reported, and the shard is served from now on.
void markShardServing(OwnershipState &state, std::int64_t shard, Common::Moment now);
/// Whether an earlier owner may have started, without a durable intent, a job of this shard that
/// was first submitted at \a firstSubmittedMs. Such a job, if it is unknown everywhere, is answered
/// unknown and is not started.
bool mayHaveStartedUnlogged(const OwnershipState &state, std::int64_t shard,
                            std::int64_t firstSubmittedMs);

/// Handovers that balance the shards evenly, or that hand over all shards if this gateway is
/// leaving.
std::vector<WantedHandover> wantedHandovers(const OwnershipState &state, Common::Moment now);
/// Permanently stops serving \a shards and returns the message for \a successor. The caller adds
/// the jobs and repeats the message until it is accepted or the epochs are superseded.
Schema::Handover beginHandover(OwnershipState &state, const std::vector<std::int64_t> &shards,
                               const std::string &successor, Common::Moment now,
                               Common::Random &random);
/// Whether a handover made by beginHandover() is still pending for any of its shards.
bool isHandoverPending(const OwnershipState &state, const Schema::Handover &handover);
/// Ends ShardPhase::HandingOver after the successor has accepted the shards.
void completeHandover(OwnershipState &state, const Schema::Handover &handover);
/// Result of acceptHandover(). The listed shards are taken over and served immediately; the jobs of
/// all other shards must be ignored. A handover is not accepted while this gateway has read less of
/// the log than the sender; the sender repeats it. The caller answers an accepted handover even if
/// no shard is taken over, for example because the message is a repetition.
struct HandoverResult
{
    bool accepted = false;
    std::vector<std::int64_t> shards;
};
HandoverResult acceptHandover(OwnershipState &state, const Schema::Handover &handover,
                              Common::Moment now);

/// From now on no shard of another owner is claimed, and wantedHandovers() hands over all shards of
/// this gateway.
void leave(OwnershipState &state);
/// The gateway has no work left and leaves the roster even if some of its shards found no
/// successor. It must not start any task from then on. A gateway that can't leave in time, because
/// the log is unavailable or another member is silent, may just stop: it is then replaced on the
/// roster like a lost gateway.
void finishLeaving(OwnershipState &state);
/// True once the log shows that this gateway has left and that the roster change is settled. If it
/// stopped earlier, its acknowledgements would be missing in case another gateway fails at the same
/// time.
bool hasLeft(const OwnershipState &state);
/// Whether this gateway is the first of the live roster members, sorted by instance.
bool isFirstLive(const OwnershipState &state, Common::Moment now);
/// Whether a majority has acknowledged our declaration \a sinceMs.
bool declarationAcknowledged(const OwnershipState &state, std::int64_t sinceMs);
/// Sets our declaration; 0 withdraws it.
void setDeclaration(OwnershipState &state, std::int64_t sinceMs);
/// Ends ShardPhase::NeedsJournal after the journal has been read up to the shard's marker record;
/// \a windows are the unlogged windows found in it.
void shardJournalRead(OwnershipState &state, std::int64_t shard,
                      const std::vector<Schema::UnloggedWindow> &windows, Common::Moment now);

} // namespace Dispatch
