#include <algorithm>
#include <utility>

#include "Dispatch/Ownership/OwnershipParts.h"

/// The control records that this gateway writes: joins, leaves, claims, handovers and snapshots.
/// One is under way at a time. Each holds only where what it was based on still holds, so a record
/// whose answer was lost does no harm when it turns up late or twice.
namespace Dispatch {

namespace {

/// A durable record not read back for this long fell into a gap.
constexpr std::int64_t ReadBackTimeoutMs = 10000;
/// A silent member's seat is left for a replacement for this many times the silence.
constexpr std::int64_t MemberRemovalSilences = 10;
/// Where the preferred claimant does not claim, any other does after this many silences.
constexpr std::int64_t OrphanClaimSilences = 3;
/// A roster this large may lose a silent member's seat.
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

/// Whether enough members told us what they know that no declaration can have been missed.
bool enoughPeersReported(const OwnershipState &state)
{
    return intersectsEveryMajority(rosterInstances(state.table), [&](const std::string &instance) {
        const auto peer = state.peers.find(instance);
        return peer != state.peers.end() && peer->second.pingReceived;
    });
}

/// The process that held our address is gone, and what it had acknowledged with it. Where too few
/// others are left to ask, it is taken to have been unlogged ever since: ids of before that the
/// journal doesn't know are answered unknown, which is true, and not started.
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

/// While another member is silent, this one's acknowledgements are needed to replace it.
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
        const std::int64_t seen = std::max(peer.lastReceivedMs, peer.firstTrackedMs);
        if (onRoster(state.table, instance)
            && now.steadyMs - seen >= MemberRemovalSilences * state.settings.peerSilenceMs) {
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

/// A first owner waits two heartbeats, so that gateways that start together share the shards at
/// once instead of handing them over later.
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

/// All gateways spread the orphans over the same live members in the same way, so that each claims
/// its part; where their views differ, the log decides.
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

/// Retention drops the first claims some day; a fresh gateway then starts from this.
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

/// A record with the same content keeps its id when it is sent again, so that readers who have it
/// drop the repetition.
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
