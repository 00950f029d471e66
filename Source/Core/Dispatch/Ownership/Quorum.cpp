#include <algorithm>
#include <utility>

#include "Dispatch/Ownership/OwnershipParts.h"
#include "Dispatch/Persistence/Journal.h"

/// Acknowledgements of claims, roster changes and unlogged declarations.
namespace Dispatch {

namespace {

constexpr std::int64_t LeaseMarginDivisor = 20;

std::size_t countOf(const std::vector<std::string> &instances, const InstanceTest &holds)
{
    return static_cast<std::size_t>(std::count_if(instances.begin(), instances.end(), holds));
}

/// Whether \a instance knows every declaration that this gateway knows. A majority of the new
/// roster must know them, because a fence may ask none of the gateways that acknowledged a
/// declaration under the earlier roster.
bool holdsOurNotices(const OwnershipState &state, const std::string &instance)
{
    if (instance == state.self.instance) {
        return true;
    }
    const auto peer = state.peers.find(instance);
    if (peer == state.peers.end()) {
        return false;
    }
    return std::all_of(state.notices.begin(), state.notices.end(), [&](const auto &notice) {
        return notice.first == instance || peer->second.notices.count(notice.first) != 0;
    });
}

bool rosterChangeAcknowledged(const OwnershipState &state)
{
    const std::int64_t version = state.table.rosterOffset * EpochStep;
    return intersectsEveryMajority(previousInstances(state.table),
                                   [&](const std::string &instance) {
                                       return acknowledged(state, instance, version);
                                   })
           && isMajority(rosterInstances(state.table), [&](const std::string &instance) {
                  return acknowledged(state, instance, version) && holdsOurNotices(state, instance);
              });
}

Schema::UnloggedWindow makeWindow(std::int64_t shard, const std::string &instance,
                                  std::int64_t sinceMs)
{
    Schema::UnloggedWindow window;
    window.shard = shard;
    window.instance = instance;
    window.sinceMs = sinceMs;
    return window;
}

/// Collects every declaration known to this gateway and its peers, including those that
/// acknowledged the claim. A gateway that may have started a job of the shard unlogged had its
/// declaration acknowledged by a majority before, and every majority contains one of the gateways
/// that acknowledged the claim. If a declaration is acknowledged later, the declaring gateway
/// learns of the claim with the acknowledgement.
std::vector<Schema::UnloggedWindow> collectWindows(const OwnershipState &state, std::int64_t shard)
{
    std::map<std::string, std::int64_t> since = state.notices;
    for (const auto &[instance, peer] : state.peers) {
        for (const auto &[declarer, sinceMs] : peer.notices) {
            const auto known = since.emplace(declarer, sinceMs).first;
            known->second = std::min(known->second, sinceMs);
        }
    }
    if (state.unloggedSinceMs != 0) {
        since[state.self.instance] = state.unloggedSinceMs;
    }
    std::vector<Schema::UnloggedWindow> windows;
    windows.reserve(since.size());
    for (const auto &[declarer, sinceMs] : since) {
        windows.push_back(makeWindow(shard, declarer, sinceMs));
    }
    return windows;
}

void enterFencing(OwnershipState &state, std::int64_t shard, ShardRole &role, Common::Moment now)
{
    role.phase = ShardPhase::Fencing;
    role.phaseSinceMs = now.steadyMs;
    role.windows = collectWindows(state, shard);
}

void endFencing(const OwnershipState &state, ShardRole &role, Common::Moment now)
{
    role.phase = state.settings.safeguards.journalReread ? ShardPhase::NeedsJournal
                                                         : ShardPhase::NeedsReports;
    role.phaseSinceMs = now.steadyMs;
    role.fencedWallMs = now.wallMs;
    for (Schema::UnloggedWindow &window : role.windows) {
        window.untilMs = now.wallMs + MaxSubmissionSkewMs;
    }
}

bool claimAcknowledged(const OwnershipState &state, const ShardRole &role)
{
    if (!state.settings.safeguards.fenceMajority) {
        return true;
    }
    const std::int64_t version = (epochBase(role.epoch) + 1) * EpochStep;
    return isFenceQuorum(state, [&](const std::string &instance) {
        return acknowledged(state, instance, version);
    });
}

bool leaseExpired(const OwnershipState &state, std::int64_t sinceMs, Common::Moment now)
{
    return !state.settings.safeguards.leaseWait
           || now.steadyMs - sinceMs >= leaseWithMargin(state.settings);
}

} // namespace

std::int64_t leaseWithMargin(const OwnershipSettings &settings)
{
    return settings.leaseMs + settings.leaseMs / LeaseMarginDivisor + 1;
}

bool intersectsEveryMajority(const std::vector<std::string> &instances, const InstanceTest &holds)
{
    return 2 * countOf(instances, holds) >= instances.size();
}

bool isMajority(const std::vector<std::string> &instances, const InstanceTest &holds)
{
    return instances.empty() || 2 * countOf(instances, holds) > instances.size();
}

bool isMajorityWith(const OwnershipState &state, const PeerTest &holds)
{
    return isMajority(rosterInstances(state.table), [&](const std::string &instance) {
        if (instance == state.self.instance) {
            return true;
        }
        const auto peer = state.peers.find(instance);
        return peer != state.peers.end() && holds(peer->second);
    });
}

bool isFenceQuorum(const OwnershipState &state, const InstanceTest &holds)
{
    return intersectsEveryMajority(rosterInstances(state.table), holds)
           && (state.rosterSettled
               || intersectsEveryMajority(previousInstances(state.table), holds));
}

bool acknowledged(const OwnershipState &state, const std::string &instance, std::int64_t version)
{
    if (instance == state.self.instance) {
        return tableVersion(state.table) >= version;
    }
    const auto peer = state.peers.find(instance);
    return peer != state.peers.end() && peer->second.acknowledgedVersion >= version;
}

void settleRoster(OwnershipState &state, Common::Moment now)
{
    if (state.table.previousRoster.empty()) {
        state.rosterAckedOffset = state.table.rosterOffset;
        state.rosterSettled = true;
        return;
    }
    if (state.rosterAckedOffset != state.table.rosterOffset) {
        state.rosterSettled = false;
        if (!rosterChangeAcknowledged(state)) {
            return;
        }
        state.rosterAckedOffset = state.table.rosterOffset;
        state.rosterAckedMs = now.steadyMs;
    }
    if (!state.rosterSettled) {
        state.rosterSettled = leaseExpired(state, state.rosterAckedMs, now);
    }
}

Effects advanceFences(OwnershipState &state, Common::Moment now)
{
    Effects effects;
    for (std::int64_t shard = 0; shard < state.settings.shardCount; ++shard) {
        ShardRole &role = state.roles[static_cast<std::size_t>(shard)];
        if (role.phase == ShardPhase::Claimed && claimAcknowledged(state, role)) {
            enterFencing(state, shard, role, now);
        }
        if (role.phase == ShardPhase::Fencing && leaseExpired(state, role.phaseSinceMs, now)) {
            endFencing(state, role, now);
            effects.push_back(LogLine{
                    "shard_fenced",
                    {{"shard", std::to_string(shard)}, {"epoch", std::to_string(role.epoch)}}});
        }
    }
    return effects;
}

bool declarationAcknowledged(const OwnershipState &state, std::int64_t sinceMs)
{
    return isMajorityWith(state, [sinceMs](const PeerView &peer) {
        return peer.acknowledgedUnloggedMs == sinceMs;
    });
}

void setDeclaration(OwnershipState &state, std::int64_t sinceMs)
{
    if (state.unloggedSinceMs != sinceMs) {
        state.unloggedSinceMs = sinceMs;
        ++state.noticeRevision;
    }
}

void shardJournalRead(OwnershipState &state, std::int64_t shard,
                      const std::vector<Schema::UnloggedWindow> &windows, Common::Moment now)
{
    ShardRole &role = state.roles.at(static_cast<std::size_t>(shard));
    if (role.phase != ShardPhase::NeedsJournal) {
        return;
    }
    for (Schema::UnloggedWindow &own : role.windows) {
        for (const Schema::UnloggedWindow &known : windows) {
            // An earlier successor has fenced that owner, which ended the declared period. An owner
            // that gets the shard back makes a new declaration with another time.
            if (known.shard == shard && known.instance == own.instance
                && known.sinceMs == own.sinceMs) {
                own.untilMs = std::min(own.untilMs, known.untilMs);
            }
        }
    }
    for (const Schema::UnloggedWindow &known : windows) {
        if (known.shard == shard) {
            role.windows.push_back(known);
        }
    }
    role.phase = ShardPhase::NeedsReports;
    role.phaseSinceMs = now.steadyMs;
}

void expireNotices(OwnershipState &state, Common::Moment now)
{
    const bool allOwned = std::all_of(
            state.table.shards.begin(), state.table.shards.end(),
            [&](const ShardClaim &claim) { return onRoster(state.table, claim.owner); });
    for (auto notice = state.notices.begin(); notice != state.notices.end();) {
        if (!allOwned || onRoster(state.table, notice->first)) {
            state.noticeIdleSinceMs.erase(notice->first);
            ++notice;
            continue;
        }
        const std::int64_t since =
                state.noticeIdleSinceMs.emplace(notice->first, now.steadyMs).first->second;
        if (now.steadyMs - since < state.settings.dedupWindowMs) {
            ++notice;
            continue;
        }
        state.noticeIdleSinceMs.erase(notice->first);
        notice = state.notices.erase(notice);
        ++state.noticeRevision;
    }
}

} // namespace Dispatch
