#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Dispatch/Ownership/Ownership.h"

/// What the parts of the ownership module share; not for others.
namespace Dispatch {

/// Slack for two machines' clocks that run at different rates.
std::int64_t leaseWithMargin(const OwnershipSettings &settings);

using InstanceTest = std::function<bool(const std::string &)>;

/// True where \a holds for enough of \a instances that every majority of them has one of those.
/// That is all a fence needs, and of an even number it is one fewer than a majority.
bool intersectsEveryMajority(const std::vector<std::string> &instances, const InstanceTest &holds);
bool isMajority(const std::vector<std::string> &instances, const InstanceTest &holds);
using PeerTest = std::function<bool(const PeerView &)>;

/// True where this gateway and the members for which \a holds are a majority of the roster.
bool isMajorityWith(const OwnershipState &state, const PeerTest &holds);
/// intersectsEveryMajority() for the roster and, until its last change is settled, the one before.
bool isFenceQuorum(const OwnershipState &state, const InstanceTest &holds);
bool acknowledged(const OwnershipState &state, const std::string &instance, std::int64_t version);
/// Follows the acknowledgements of the last roster change.
void settleRoster(OwnershipState &state, Common::Moment now);

/// A peer's table may reflect all that the log dropped.
void closeGapFromPeers(OwnershipState &state, Common::Moment now);
/// Brings our roles in line with the table after any change to it.
void reconcileRoles(OwnershipState &state, Common::Moment now);
/// Moves our claimed shards through the fence.
Effects advanceFences(OwnershipState &state, Common::Moment now);
/// Joins, leaves, claims and records handovers: at most one control record of ours under way.
Effects advanceControlAppend(OwnershipState &state, std::uint64_t &nextBatch, Common::Moment now,
                             Common::Random &random);
Effects sendHeartbeats(OwnershipState &state, Common::Moment now);
/// Forgets declarations that no shard can depend on any more.
void expireNotices(OwnershipState &state, Common::Moment now);

/// A roster member that nothing was heard from for too long.
bool peerSilent(const OwnershipState &state, const std::string &instance, Common::Moment now);
/// Live members that take shards: the leaving ones are left out.
std::vector<std::string> eligibleOwners(const OwnershipState &state, Common::Moment now);
/// Silent to us, and no live gateway hears it.
bool peerLost(const OwnershipState &state, const std::string &instance, Common::Moment now);
/// Whether \a instance has read the journal about as far as we have.
bool hasCaughtUpWithJournal(const OwnershipState &state, const std::string &instance);
Schema::ShardOwner shardOwner(const OwnershipState &state, std::int64_t shard);
/// Members of the roster, this gateway among them, that are live; sorted.
std::vector<std::string> liveMembers(const OwnershipState &state, Common::Moment now);
/// Shards that each of \a members owns in the table.
std::map<std::string, std::int64_t> ownedShards(const OwnershipState &state,
                                                const std::vector<std::string> &members);

} // namespace Dispatch
