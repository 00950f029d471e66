#include <algorithm>

#include "Dispatch/Ownership/OwnershipParts.h"

/// Direct handover of shards. Each shard passes from one single holder to the next, so a handover
/// needs neither the log nor a majority.
namespace Dispatch {

namespace {

ShardRole &roleOf(OwnershipState &state, std::int64_t shard)
{
    return state.roles.at(static_cast<std::size_t>(shard));
}

bool knownShard(const OwnershipState &state, std::int64_t shard)
{
    return shard >= 0 && shard < state.settings.shardCount;
}

/// Assigns \a shards in order to \a receivers until each of them owns \a target shards or none is
/// left.
std::vector<WantedHandover> distributeShards(std::vector<std::int64_t> shards,
                                             const std::map<std::string, std::int64_t> &owned,
                                             const std::vector<std::string> &receivers,
                                             std::int64_t target)
{
    std::vector<WantedHandover> wanted;
    auto next = shards.begin();
    for (const std::string &receiver : receivers) {
        WantedHandover handover;
        handover.successor = receiver;
        for (std::int64_t count = owned.at(receiver); count < target && next != shards.end();
             ++count) {
            handover.shards.push_back(*next++);
        }
        if (!handover.shards.empty()) {
            wanted.push_back(std::move(handover));
        }
    }
    return wanted;
}

bool handoverAhead(const OwnershipState &state, const Schema::Handover &handover)
{
    return std::any_of(
            handover.shards.begin(), handover.shards.end(), [&](const Schema::ShardOwner &given) {
                return knownShard(state, given.shard)
                       && epochBase(given.epoch) > epochBase(epochOf(state, given.shard));
            });
}

bool takeOverShard(OwnershipState &state, const Schema::ShardOwner &given, Common::Moment now)
{
    ShardClaim &claim = state.table.shards[static_cast<std::size_t>(given.shard)];
    ShardRole &role = roleOf(state, given.shard);
    const bool superseded = epochBase(given.epoch) != epochBase(claim.epoch)
                            || given.epoch < claim.epoch || given.owner != state.self.instance;
    const bool repeated = given.epoch == claim.epoch && role.phase != ShardPhase::AwaitingHandover;
    if (superseded || repeated) {
        return false;
    }
    claim = ShardClaim{given.owner, given.epoch};
    role = ShardRole{};
    role.phase = ShardPhase::Serving;
    role.epoch = given.epoch;
    role.phaseSinceMs = now.steadyMs;
    return true;
}

} // namespace

std::map<std::string, std::int64_t> ownedShards(const OwnershipState &state,
                                                const std::vector<std::string> &members)
{
    std::map<std::string, std::int64_t> owned;
    for (const std::string &member : members) {
        owned[member] = 0;
    }
    for (const ShardClaim &claim : state.table.shards) {
        const auto owner = owned.find(claim.owner);
        if (owner != owned.end()) {
            ++owner->second;
        }
    }
    return owned;
}

std::vector<WantedHandover> wantedHandovers(const OwnershipState &state, Common::Moment now)
{
    std::vector<std::string> receivers = eligibleOwners(state, now);
    const auto members = static_cast<std::int64_t>(receivers.size());
    receivers.erase(std::remove_if(receivers.begin(), receivers.end(),
                                   [&](const std::string &instance) {
                                       return instance == state.self.instance
                                              || !hasCaughtUpWithJournal(state, instance);
                                   }),
                    receivers.end());
    std::vector<std::int64_t> shards = shardsIn(state, ShardPhase::Serving);
    if (receivers.empty() || shards.empty()) {
        return {};
    }
    const std::map<std::string, std::int64_t> owned = ownedShards(state, receivers);
    const std::int64_t total = state.settings.shardCount;
    const std::int64_t fairShare = (total + members - 1) / members;
    if (state.leaving) {
        return distributeShards(std::move(shards), owned, receivers, fairShare);
    }
    const auto surplus = static_cast<std::int64_t>(shards.size()) - fairShare;
    if (surplus <= 0) {
        return {};
    }
    shards.resize(static_cast<std::size_t>(surplus));
    return distributeShards(std::move(shards), owned, receivers, total / members);
}

Schema::Handover beginHandover(OwnershipState &state, const std::vector<std::int64_t> &shards,
                               const std::string &successor, Common::Moment now,
                               Common::Random &random)
{
    Schema::Handover handover;
    handover.requestId = Common::randomId(random);
    handover.from = state.self.instance;
    handover.journalOffset = state.journalOffset;
    std::vector<Schema::UnloggedWindow> windows;
    for (const std::int64_t shard : shards) {
        ShardRole &role = roleOf(state, shard);
        if (role.phase != ShardPhase::Serving || role.epoch % EpochStep == EpochStep - 1) {
            continue;
        }
        role.phase = ShardPhase::HandingOver;
        role.phaseSinceMs = now.steadyMs;
        state.table.shards[static_cast<std::size_t>(shard)] = ShardClaim{successor, role.epoch + 1};
        handover.shards.push_back(shardOwner(state, shard));
        windows.insert(windows.end(), role.windows.begin(), role.windows.end());
    }
    if (!windows.empty()) {
        handover.unloggedWindows = std::move(windows);
    }
    return handover;
}

bool isHandoverPending(const OwnershipState &state, const Schema::Handover &handover)
{
    return std::any_of(handover.shards.begin(), handover.shards.end(),
                       [&](const Schema::ShardOwner &given) {
                           return shardPhase(state, given.shard) == ShardPhase::HandingOver
                                  && epochOf(state, given.shard) == given.epoch;
                       });
}

void completeHandover(OwnershipState &state, const Schema::Handover &handover)
{
    for (const Schema::ShardOwner &given : handover.shards) {
        ShardRole &role = roleOf(state, given.shard);
        if (role.phase == ShardPhase::HandingOver && role.epoch + 1 == given.epoch) {
            role.phase = ShardPhase::NotOurs;
        }
    }
}

HandoverResult acceptHandover(OwnershipState &state, const Schema::Handover &handover,
                              Common::Moment now)
{
    HandoverResult result;
    // The sender has read more of the log. It repeats the handover until our table and our journal
    // have caught up. Without an intent from the journal, a job that has started could be started
    // again.
    if (!onRoster(state.table, state.self.instance) || handoverAhead(state, handover)
        || state.journalOffset < handover.journalOffset) {
        return result;
    }
    result.accepted = true;
    for (const Schema::ShardOwner &given : handover.shards) {
        if (knownShard(state, given.shard) && takeOverShard(state, given, now)) {
            result.shards.push_back(given.shard);
        }
    }
    for (const Schema::UnloggedWindow &window :
         handover.unloggedWindows.value_or(std::vector<Schema::UnloggedWindow>{})) {
        if (std::count(result.shards.begin(), result.shards.end(), window.shard) != 0) {
            roleOf(state, window.shard).windows.push_back(window);
        }
    }
    return result;
}

} // namespace Dispatch
