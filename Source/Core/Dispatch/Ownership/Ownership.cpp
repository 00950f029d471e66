#include "Dispatch/Ownership/Ownership.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"
#include "Common/Invariant.h"
#include "Dispatch/Ownership/OwnershipParts.h"

namespace Dispatch {

namespace {

std::size_t indexOf(std::int64_t shard)
{
    return static_cast<std::size_t>(shard);
}

void enterPhase(ShardRole &role, ShardPhase phase, std::int64_t epoch, Common::Moment now)
{
    Common::invariant(epoch >= role.epoch, "a shard's epoch never decreases");
    role = ShardRole{};
    role.phase = phase;
    role.epoch = epoch;
    role.phaseSinceMs = now.steadyMs;
}

/// Shards that the log assigns to this gateway as their first owner. No agent can have a task of
/// them, so there is no need to fence, to read the journal or to ask the agents.
std::vector<std::int64_t> firstClaims(const OwnershipState &state, const Schema::LogRecord &record)
{
    std::vector<std::int64_t> shards;
    if (record.kind != Schema::RecordKind::Claim || record.instance != state.self.instance) {
        return shards;
    }
    for (const Schema::ShardOwner &claimed :
         record.shards.value_or(std::vector<Schema::ShardOwner>{})) {
        const bool known = claimed.shard >= 0 && claimed.shard < state.settings.shardCount;
        if (known && state.fromLog.shards[indexOf(claimed.shard)].epoch == 0
            && state.table.shards[indexOf(claimed.shard)].epoch == 0) {
            shards.push_back(claimed.shard);
        }
    }
    return shards;
}

/// A snapshot closes a gap only if it reflects every record before the end of the gap; all others
/// have been or will be read.
void readSnapshot(OwnershipState &state, const Schema::LogEntry &entry)
{
    state.oldestNeededWallMs = entry.record.wallMs;
    if (!state.gap || !entry.record.table) {
        return;
    }
    const ControlTable snapshot = importTable(*entry.record.table, state.settings.shardCount);
    if (snapshot.offset < state.gapEnd) {
        return;
    }
    state.fromLog = snapshot;
    state.gap = false;
}

void applyRecord(OwnershipState &state, const Schema::LogEntry &entry, Common::Moment now)
{
    const std::vector<std::int64_t> first = firstClaims(state, entry.record);
    if (!applyControlRecord(state.fromLog, entry, state.settings.safeguards)) {
        return;
    }
    for (const std::int64_t shard : first) {
        const ShardClaim &claim = state.fromLog.shards[indexOf(shard)];
        if (claim.owner == state.self.instance) {
            enterPhase(state.roles[indexOf(shard)], ShardPhase::Serving, claim.epoch, now);
        }
    }
}

void readEntry(OwnershipState &state, const Schema::LogEntry &entry, Common::Moment now)
{
    if (state.append && state.append->record.id == entry.record.id) {
        state.append.reset();
    }
    if (entry.record.kind == Schema::RecordKind::ControlSnapshot) {
        readSnapshot(state, entry);
    }
    if (state.oldestNeededWallMs == 0) {
        state.oldestNeededWallMs = entry.record.wallMs;
    }
    const auto writer = state.peers.find(entry.record.instance);
    if (writer != state.peers.end() && state.readToEnd) {
        writer->second.lastRecordMs = now.steadyMs;
    }
    if (state.gap) {
        state.entriesAfterGap.push_back(entry);
        return;
    }
    for (const Schema::LogEntry &held : std::exchange(state.entriesAfterGap, {})) {
        if (held.offset >= state.fromLog.offset) {
            applyRecord(state, held, now);
        }
    }
    if (entry.offset >= state.fromLog.offset) {
        applyRecord(state, entry, now);
    }
}

void detectGap(OwnershipState &state, const LogRead &read, Common::Moment now)
{
    if (read.oldestOffset <= state.readOffset) {
        return;
    }
    state.gapEnd = read.oldestOffset;
    state.gapSinceMs = now.steadyMs;
    state.entriesAfterGap.clear();
    state.gap = state.table.offset < read.oldestOffset;
    if (!state.gap) {
        // A peer's table reflects all dropped records.
        state.fromLog = state.table;
    }
}

/// Continues at the end of a gap that nothing has closed for lostAfterMs, as the configuration
/// store does. If other gateways were live, they would have appended a snapshot by now.
Effects resumeAfterLoss(OwnershipState &state, Common::Moment now)
{
    if (!state.gap || !state.readToEnd || state.table.offset != 0
        || now.steadyMs - state.gapSinceMs < state.settings.lostAfterMs) {
        return {};
    }
    state.gap = false;
    state.fromLog.offset = state.gapEnd;
    state.fromLog.rosterOffset = state.gapEnd;
    for (const Schema::LogEntry &held : std::exchange(state.entriesAfterGap, {})) {
        applyRecord(state, held, now);
    }
    mergeTable(state.table, state.fromLog);
    reconcileRoles(state, now);
    return {LogLine{"control_lost", {{"before", std::to_string(state.gapEnd)}}}};
}

bool heldByUs(ShardPhase phase)
{
    return phase != ShardPhase::NotOurs && phase != ShardPhase::HandingOver;
}

void reconcileRole(OwnershipState &state, std::int64_t shard, Common::Moment now)
{
    const ShardClaim &claim = state.table.shards[indexOf(shard)];
    ShardRole &role = state.roles[indexOf(shard)];
    if (claim.owner != state.self.instance) {
        const bool offering =
                role.phase == ShardPhase::HandingOver && claim.epoch == role.epoch + 1;
        if (!offering && role.phase != ShardPhase::NotOurs) {
            enterPhase(role, ShardPhase::NotOurs, role.epoch, now);
        }
        return;
    }
    if (role.epoch == claim.epoch && heldByUs(role.phase)) {
        return;
    }
    const bool direct = claim.epoch % EpochStep != 0;
    enterPhase(role, direct ? ShardPhase::AwaitingHandover : ShardPhase::Claimed, claim.epoch, now);
}

} // namespace

OwnershipState makeOwnership(OwnershipSettings settings, Schema::Member self, Common::Moment now)
{
    OwnershipState state;
    state.settings = settings;
    state.self = std::move(self);
    state.fromLog = makeControlTable(settings.shardCount);
    state.table = makeControlTable(settings.shardCount);
    state.roles.resize(indexOf(settings.shardCount));
    state.orphanSinceMs.assign(indexOf(settings.shardCount), -1);
    state.startedMs = now.steadyMs;
    return state;
}

void closeGapFromPeers(OwnershipState &state, Common::Moment now)
{
    if (!state.gap || state.table.offset < state.gapEnd) {
        return;
    }
    state.gap = false;
    state.fromLog = state.table;
    for (const Schema::LogEntry &held : std::exchange(state.entriesAfterGap, {})) {
        if (held.offset >= state.fromLog.offset) {
            applyRecord(state, held, now);
        }
    }
    mergeTable(state.table, state.fromLog);
}

void reconcileRoles(OwnershipState &state, Common::Moment now)
{
    for (std::int64_t shard = 0; shard < state.settings.shardCount; ++shard) {
        reconcileRole(state, shard, now);
    }
    if (!state.hasJoined && onRoster(state.table, state.self.instance)) {
        state.hasJoined = true;
        state.joinedMs = now.steadyMs;
    }
}

Effects handleControlRead(OwnershipState &state, const LogRead &read, Common::Moment now)
{
    detectGap(state, read, now);
    for (const Schema::LogEntry &entry : read.entries) {
        if (entry.offset >= state.readOffset) {
            readEntry(state, entry, now);
        }
    }
    state.readOffset = std::max(state.readOffset, read.nextOffset);
    state.readToEnd = state.readToEnd || read.atEnd;
    if (!state.gap) {
        mergeTable(state.table, state.fromLog);
    }
    reconcileRoles(state, now);
    settleRoster(state, now);
    return advanceFences(state, now);
}

Effects ownershipTick(OwnershipState &state, std::uint64_t &nextBatch, Common::Moment now,
                      Common::Random &random)
{
    Effects effects = resumeAfterLoss(state, now);
    settleRoster(state, now);
    append(effects, advanceFences(state, now));
    append(effects, advanceControlAppend(state, nextBatch, now, random));
    append(effects, sendHeartbeats(state, now));
    expireNotices(state, now);
    return effects;
}

std::int64_t shardOf(const OwnershipState &state, const std::string &job)
{
    return static_cast<std::int64_t>(Common::hash64(job)
                                     % static_cast<std::uint64_t>(state.settings.shardCount));
}

ShardPhase shardPhase(const OwnershipState &state, std::int64_t shard)
{
    return state.roles.at(indexOf(shard)).phase;
}

std::optional<std::string> ownerOf(const OwnershipState &state, std::int64_t shard)
{
    const std::string &owner = state.table.shards.at(indexOf(shard)).owner;
    return owner.empty() ? std::nullopt : std::optional<std::string>(owner);
}

std::int64_t epochOf(const OwnershipState &state, std::int64_t shard)
{
    return state.table.shards.at(indexOf(shard)).epoch;
}

const Schema::Member *memberOf(const OwnershipState &state, const std::string &instance)
{
    for (const Schema::Member &member : state.table.roster) {
        if (member.instance == instance) {
            return &member;
        }
    }
    return nullptr;
}

Schema::OwnershipTable ownershipTable(const OwnershipState &state)
{
    return exportTable(state.table);
}

std::int64_t ownershipVersion(const OwnershipState &state)
{
    return tableVersion(state.table);
}

bool ownershipConfirmed(const OwnershipState &state, Common::Moment now)
{
    if (!state.settings.safeguards.confirmedAnswers) {
        return true;
    }
    return isMajorityWith(state, [&](const PeerView &peer) {
        return peer.answeredMs && now.steadyMs - *peer.answeredMs < state.settings.leaseMs;
    });
}

bool mayStart(const OwnershipState &state, std::int64_t shard, Common::Moment now)
{
    if (shardPhase(state, shard) != ShardPhase::Serving) {
        return false;
    }
    return isMajorityWith(state, [&](const PeerView &peer) {
        return peer.pingReceived && now.steadyMs - peer.lastReceivedMs < state.settings.leaseMs;
    });
}

std::vector<std::int64_t> shardsIn(const OwnershipState &state, ShardPhase phase)
{
    std::vector<std::int64_t> shards;
    for (std::int64_t shard = 0; shard < state.settings.shardCount; ++shard) {
        if (shardPhase(state, shard) == phase) {
            shards.push_back(shard);
        }
    }
    return shards;
}

void markShardServing(OwnershipState &state, std::int64_t shard, Common::Moment now)
{
    ShardRole &role = state.roles.at(indexOf(shard));
    if (role.phase != ShardPhase::NeedsReports) {
        return;
    }
    role.phase = ShardPhase::Serving;
    role.phaseSinceMs = now.steadyMs;
}

bool mayHaveStartedUnlogged(const OwnershipState &state, std::int64_t shard,
                            std::int64_t firstSubmittedMs)
{
    const std::vector<Schema::UnloggedWindow> &windows = state.roles.at(indexOf(shard)).windows;
    return std::any_of(windows.begin(), windows.end(), [&](const Schema::UnloggedWindow &window) {
        return window.sinceMs <= firstSubmittedMs && firstSubmittedMs <= window.untilMs;
    });
}

Schema::ShardOwner shardOwner(const OwnershipState &state, std::int64_t shard)
{
    const ShardClaim &claim = state.table.shards.at(indexOf(shard));
    Schema::ShardOwner owner;
    owner.shard = shard;
    owner.owner = claim.owner;
    owner.epoch = claim.epoch;
    return owner;
}

bool isFirstLive(const OwnershipState &state, Common::Moment now)
{
    const std::vector<std::string> live = liveMembers(state, now);
    return !live.empty() && live.front() == state.self.instance;
}

void leave(OwnershipState &state)
{
    state.leaving = true;
}

void finishLeaving(OwnershipState &state)
{
    state.leaving = true;
    state.workFinished = true;
}

bool hasLeft(const OwnershipState &state)
{
    return state.leaving && !onRoster(state.table, state.self.instance)
           && state.table.previousRoster.empty();
}

} // namespace Dispatch
