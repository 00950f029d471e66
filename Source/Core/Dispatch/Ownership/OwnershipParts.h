#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Dispatch/Ownership/Ownership.h"

/// Declarations shared by the source files of the ownership module; not for use outside it.
namespace Dispatch {

/// Lease plus a margin for machines whose clocks run at different rates, in milliseconds.
std::int64_t leaseWithMargin(const OwnershipSettings &settings);

using InstanceTest = std::function<bool(const std::string &)>;

/// True if \a holds for at least half of \a instances, so that every majority of them contains one
/// of these. A fence needs no more than that; for an even number of instances it is one fewer than
/// a majority.
bool intersectsEveryMajority(const std::vector<std::string> &instances, const InstanceTest &holds);
bool isMajority(const std::vector<std::string> &instances, const InstanceTest &holds);
using PeerTest = std::function<bool(const PeerView &)>;

/// Whether this gateway and the members for which \a holds form a majority of the roster.
bool isMajorityWith(const OwnershipState &state, const PeerTest &holds);
/// intersectsEveryMajority() for the roster and, until its last change is settled, the one before.
bool isFenceQuorum(const OwnershipState &state, const InstanceTest &holds);
bool acknowledged(const OwnershipState &state, const std::string &instance, std::int64_t version);
/// Updates whether the last roster change is acknowledged and settled.
void settleRoster(OwnershipState &state, Common::Moment now);

/// Closes the gap if the tables of peers reflect everything that the log dropped.
void closeGapFromPeers(OwnershipState &state, Common::Moment now);
/// Updates our roles after any change to the table.
void reconcileRoles(OwnershipState &state, Common::Moment now);
/// Advances our claimed shards through the phases of the fence.
Effects advanceFences(OwnershipState &state, Common::Moment now);
/// Appends the control record that is needed next. At most one of our control records is in
/// progress.
Effects advanceControlAppend(OwnershipState &state, std::uint64_t &nextBatch, Common::Moment now,
                             Common::Random &random);
Effects sendHeartbeats(OwnershipState &state, Common::Moment now);
/// Removes declarations that no shard can depend on any more: those of gateways that left the
/// roster, once all shards have had owners on the roster for a whole dedup window.
void expireNotices(OwnershipState &state, Common::Moment now);

/// Whether nothing was received from the peer for peerSilenceMs. False for an unknown peer.
bool peerSilent(const OwnershipState &state, const std::string &instance, Common::Moment now);
/// Live members that may take over shards: those that are not leaving.
std::vector<std::string> eligibleOwners(const OwnershipState &state, Common::Moment now);
/// Whether the peer is silent, no record of it was read from the log lately, and no live gateway
/// reports it as live.
bool peerLost(const OwnershipState &state, const std::string &instance, Common::Moment now);
/// Whether \a instance has read the journal as far as this gateway had some heartbeats ago.
bool hasCaughtUpWithJournal(const OwnershipState &state, const std::string &instance);
Schema::ShardOwner shardOwner(const OwnershipState &state, std::int64_t shard);
/// Live members of the roster, which may include this gateway, sorted by instance.
std::vector<std::string> liveMembers(const OwnershipState &state, Common::Moment now);
/// Number of shards that each of \a members owns in the table.
std::map<std::string, std::int64_t> ownedShards(const OwnershipState &state,
                                                const std::vector<std::string> &members);

} // namespace Dispatch
