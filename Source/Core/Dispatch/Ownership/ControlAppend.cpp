#include <algorithm>
#include <utility>

#include "Dispatch/Ownership/OwnershipParts.h"

/// Decides which control record this gateway appends next: join, leave, claim, handover, settled
/// roster or snapshot. At most one is in progress at a time. Apart from snapshots, a record is
/// valid only if the state that it is based on is unchanged when it is applied, so a record whose
/// append was not confirmed does no harm if it arrives late or twice.
namespace Dispatch {

namespace {

/// A durable record that is not read back within this time is assumed to lie in a gap of the
/// stream.
constexpr std::int64_t ReadBackTimeoutMs = 10000;
/// A silent member stays on the roster for this many times peerSilenceMs, so that a replacement can
/// take its place.
constexpr std::int64_t MemberRemovalSilences = 10;
/// If the preferred claimant doesn't claim an orphaned shard, any other member does so after this
/// many times peerSilenceMs. A shard whose handover hasn't arrived after the same time is orphaned
/// as well.
constexpr std::int64_t OrphanClaimSilences = 3;
/// A silent member is removed only from a roster of at least this many members.
constexpr std::size_t MinRosterForRemoval = 4;

using OptionalRecord = std::optional<Schema::LogRecord>;

Schema::LogRecord rosterRecord(const OwnershipState &state, Schema::RecordKind kind)
{
    Schema::LogRecord record;
    record.kind = kind;
    record.basedOn = tableVersion(state.table);
    return record;
}

bool rosterMayChange(const OwnershipState &state)
{
    return state.rosterSettled || neverOwned(state.table)
           || !state.settings.safeguards.rosterOneAtATime;
}

/// Whether heartbeats were received from members of every possible majority, so that no
/// acknowledged declaration can have been missed.
bool enoughPeersReported(const OwnershipState &state)
{
    return intersectsEveryMajority(rosterInstances(state.table), [&](const std::string &instance) {
        const auto peer = state.peers.find(instance);
        return peer != state.peers.end() && peer->second.pingReceived;
    });
}

/// The process that used our address has ended, and the declarations that it had acknowledged are
/// lost with it. If too few other members have answered within peerSilenceMs, the process is
/// assumed to have been unlogged from the beginning: ids of that time that the journal doesn't
/// contain are answered unknown, which is true, and are not started.
OptionalRecord replacementJoinRecord(OwnershipState &state, const Schema::Member &replaced,
                                     Common::Moment now)
{
    if (!enoughPeersReported(state)) {
        if (now.steadyMs - state.startedMs < state.settings.peerSilenceMs) {
            return std::nullopt;
        }
        if (state.notices.emplace(replaced.instance, 1).second) {
            ++state.noticeRevision;
        }
    }
    Schema::LogRecord record = rosterRecord(state, Schema::RecordKind::Join);
    record.member = state.self;
    record.replaces = replaced.instance;
    return record;
}

OptionalRecord joinRecord(OwnershipState &state, Common::Moment now)
{
    if (const Schema::Member *replaced = memberAtAddress(state.table, state.self)) {
        return replacementJoinRecord(state, *replaced, now);
    }
    if (!rosterMayChange(state)) {
        return std::nullopt;
    }
    Schema::LogRecord record = rosterRecord(state, Schema::RecordKind::Join);
    record.member = state.self;
    for (const std::string &instance : rosterInstances(state.table)) {
        if (peerLost(state, instance, now)) {
            record.replaces = instance;
            return record;
        }
        if (!peerLive(state, instance, now)) {
            return std::nullopt;
        }
    }
    return record;
}

bool ownsNoShards(const OwnershipState &state)
{
    return std::all_of(state.roles.begin(), state.roles.end(),
                       [](const ShardRole &role) { return role.phase == ShardPhase::NotOurs; });
}

/// Returns a record only while every member is live: the acknowledgements of this gateway are
/// needed to replace a silent member.
OptionalRecord leaveRecord(const OwnershipState &state, Common::Moment now)
{
    const bool allLive = liveMembers(state, now).size() == state.table.roster.size();
    const bool done = ownsNoShards(state) || state.workFinished;
    if (!rosterMayChange(state) || !allLive || !done) {
        return std::nullopt;
    }
    Schema::LogRecord record = rosterRecord(state, Schema::RecordKind::Leave);
    record.replaces = state.self.instance;
    return record;
}

OptionalRecord removalRecord(const OwnershipState &state, Common::Moment now)
{
    if (state.table.roster.size() < MinRosterForRemoval || !rosterMayChange(state)
        || !isFirstLive(state, now)) {
        return std::nullopt;
    }
    for (const auto &[instance, peer] : state.peers) {
        const std::int64_t lastActivityMs = std::max(peer.lastReceivedMs, peer.firstTrackedMs);
        if (onRoster(state.table, instance)
            && now.steadyMs - lastActivityMs
                       >= MemberRemovalSilences * state.settings.peerSilenceMs) {
            Schema::LogRecord record = rosterRecord(state, Schema::RecordKind::Leave);
            record.replaces = instance;
            return record;
        }
    }
    return std::nullopt;
}

bool orphaned(const OwnershipState &state, std::int64_t shard, Common::Moment now)
{
    const ShardClaim &claim = state.table.shards[static_cast<std::size_t>(shard)];
    if (claim.owner == state.self.instance) {
        const ShardRole &role = state.roles[static_cast<std::size_t>(shard)];
        return role.phase == ShardPhase::AwaitingHandover
               && now.steadyMs - role.phaseSinceMs
                          >= OrphanClaimSilences * state.settings.peerSilenceMs;
    }
    return !onRoster(state.table, claim.owner) || peerLost(state, claim.owner, now);
}

/// The first claim of a shard waits until two heartbeat intervals after the join, so that gateways
/// that start together divide the shards immediately instead of handing them over later.
bool claimable(const OwnershipState &state, std::int64_t shard, Common::Moment now)
{
    const bool first = state.table.shards[static_cast<std::size_t>(shard)].epoch == 0;
    return !first || now.steadyMs - state.joinedMs >= 2 * state.settings.heartbeatMs;
}

std::vector<std::int64_t> orphanedShards(OwnershipState &state, Common::Moment now)
{
    std::vector<std::int64_t> shards;
    for (std::int64_t shard = 0; shard < state.settings.shardCount; ++shard) {
        std::int64_t &since = state.orphanSinceMs[static_cast<std::size_t>(shard)];
        if (!orphaned(state, shard, now) || !claimable(state, shard, now)) {
            since = -1;
            continue;
        }
        since = since < 0 ? now.steadyMs : since;
        shards.push_back(shard);
    }
    return shards;
}

bool isOwnedByUs(const OwnershipState &state, std::int64_t shard)
{
    return state.table.shards[static_cast<std::size_t>(shard)].owner == state.self.instance;
}

/// All gateways distribute the orphaned shards over the same live members by the same rule, and
/// each claims its own part. If their views of the members differ, the order of the claims in the
/// log decides.
OptionalRecord claimRecord(OwnershipState &state, Common::Moment now)
{
    const std::vector<std::int64_t> orphans = orphanedShards(state, now);
    const std::vector<std::string> claimants = eligibleOwners(state, now);
    std::map<std::string, std::int64_t> owned = ownedShards(state, claimants);
    std::vector<Schema::ShardOwner> ours;
    for (const std::int64_t shard : orphans) {
        if (isOwnedByUs(state, shard)) {
            ours.push_back(shardOwner(state, shard));
            continue;
        }
        if (state.leaving || owned.empty()) {
            continue;
        }
        const auto least = std::min_element(
                owned.begin(), owned.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; });
        ++least->second;
        const std::int64_t since = state.orphanSinceMs[static_cast<std::size_t>(shard)];
        const bool overdue =
                now.steadyMs - since >= OrphanClaimSilences * state.settings.peerSilenceMs;
        if (least->first == state.self.instance || overdue) {
            ours.push_back(shardOwner(state, shard));
        }
    }
    if (ours.empty()) {
        return std::nullopt;
    }
    Schema::LogRecord record;
    record.kind = Schema::RecordKind::Claim;
    record.shards = std::move(ours);
    return record;
}

OptionalRecord handedOverRecord(const OwnershipState &state)
{
    std::vector<Schema::ShardOwner> shards;
    for (const std::int64_t shard : shardsIn(state, ShardPhase::Serving)) {
        const std::int64_t logged = state.fromLog.shards[static_cast<std::size_t>(shard)].epoch;
        const std::int64_t epoch = epochOf(state, shard);
        if (epoch != logged && epochBase(epoch) == epochBase(logged)) {
            shards.push_back(shardOwner(state, shard));
        }
    }
    if (shards.empty()) {
        return std::nullopt;
    }
    Schema::LogRecord record;
    record.kind = Schema::RecordKind::HandedOver;
    record.shards = std::move(shards);
    return record;
}

OptionalRecord settledRecord(const OwnershipState &state, Common::Moment now)
{
    if (!state.rosterSettled || state.table.previousRoster.empty() || !isFirstLive(state, now)) {
        return std::nullopt;
    }
    Schema::LogRecord record;
    record.kind = Schema::RecordKind::RosterSettled;
    record.basedOn = state.table.rosterOffset * EpochStep;
    return record;
}

/// Log retention eventually drops the first claims; a new gateway then starts from the snapshot.
OptionalRecord snapshotRecord(const OwnershipState &state, Common::Moment now)
{
    const bool due = state.oldestNeededWallMs != 0
                     && now.wallMs - state.oldestNeededWallMs >= state.settings.dedupWindowMs / 2;
    if (!due || !isFirstLive(state, now)) {
        return std::nullopt;
    }
    Schema::LogRecord record;
    record.kind = Schema::RecordKind::ControlSnapshot;
    record.table = exportTable(state.fromLog);
    return record;
}

OptionalRecord nextControlRecord(OwnershipState &state, Common::Moment now)
{
    if (!state.readToEnd || state.gap) {
        return std::nullopt;
    }
    if (!onRoster(state.table, state.self.instance)) {
        return state.leaving ? std::nullopt : joinRecord(state, now);
    }
    OptionalRecord next = handedOverRecord(state);
    if (!next) {
        next = claimRecord(state, now);
    }
    if (!next && state.leaving) {
        next = leaveRecord(state, now);
    }
    if (!next) {
        next = removalRecord(state, now);
    }
    if (!next) {
        next = settledRecord(state, now);
    }
    return next ? next : snapshotRecord(state, now);
}

bool sameShards(const Schema::LogRecord &left, const Schema::LogRecord &right)
{
    const std::vector<Schema::ShardOwner> none;
    const std::vector<Schema::ShardOwner> &a = left.shards ? *left.shards : none;
    const std::vector<Schema::ShardOwner> &b = right.shards ? *right.shards : none;
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const Schema::ShardOwner &x, const Schema::ShardOwner &y) {
                          return x.shard == y.shard && x.owner == y.owner && x.epoch == y.epoch;
                      });
}

/// A record with the same content is sent again under the same id, so that reading either copy ends
/// the append.
bool isRepetition(const Schema::LogRecord &sent, const Schema::LogRecord &next)
{
    return sent.kind == next.kind && sent.kind != Schema::RecordKind::ControlSnapshot
           && sent.replaces == next.replaces && sent.basedOn == next.basedOn
           && sameShards(sent, next);
}

Effects sendRecord(OwnershipState &state, Schema::LogRecord record, std::uint64_t &nextBatch,
                   Common::Moment now, Common::Random &random)
{
    if (state.append && isRepetition(state.append->record, record)) {
        record = state.append->record;
    } else {
        record.id = Common::randomId(random);
        record.instance = state.self.instance;
        record.wallMs = now.wallMs;
    }
    state.append = ControlAppend{};
    state.append->batch = nextBatch++;
    state.append->record = record;
    state.append->inFlight = true;
    state.append->sinceMs = now.steadyMs;
    return {AppendToLog{LogStream::Control, state.append->batch, {std::move(record)}}};
}

bool appendUnderWay(const OwnershipState &state, Common::Moment now)
{
    if (!state.append) {
        return false;
    }
    const std::int64_t age = now.steadyMs - state.append->sinceMs;
    if (state.append->durable) {
        return age < ReadBackTimeoutMs;
    }
    return state.append->inFlight || age < state.settings.appendRetryMs;
}

} // namespace

Effects advanceControlAppend(OwnershipState &state, std::uint64_t &nextBatch, Common::Moment now,
                             Common::Random &random)
{
    if (appendUnderWay(state, now)) {
        return {};
    }
    OptionalRecord next = nextControlRecord(state, now);
    if (!next) {
        state.append.reset();
        return {};
    }
    return sendRecord(state, std::move(*next), nextBatch, now, random);
}

Effects handleControlAppendResult(OwnershipState &state, std::uint64_t batch, AppendStatus status,
                                  Common::Moment now)
{
    if (!state.append || state.append->batch != batch) {
        return {};
    }
    state.append->inFlight = false;
    state.append->durable = status == AppendStatus::Durable;
    state.append->sinceMs = now.steadyMs;
    if (state.append->durable) {
        return {};
    }
    return {CountReason{"control_append_retries", Schema::Reason::LogUnavailable}};
}

} // namespace Dispatch
