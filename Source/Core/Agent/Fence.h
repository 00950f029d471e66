#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Decides which starts an agent may accept: only those under a shard's highest known epoch, and
/// only while a majority of the gateways on the roster has answered hellos that were sent within
/// the lease.
///
/// Failure prevented: an owner is paused or cut off, a successor takes over its shards, and the old
/// owner continues to send starts, so that a task would run twice. The successor serves only after
/// a majority of the roster passes its epoch on and a lease has elapsed. By then each agent either
/// has received the epoch from a member of that majority, or has had no answers from a majority
/// within the lease and accepts nothing.
namespace Agent {

struct ShardFence
{
    std::int64_t epoch = -1;
    /// Instance of the gateway that owns the shard under that epoch.
    std::string owner;
};

struct Fence
{
    std::int64_t leaseMs = 2000;
    std::int64_t tableVersion = 0;
    std::vector<Schema::Member> roster;
    std::unordered_map<std::int64_t, ShardFence> shards;
    /// For each gateway instance, the steady time at which the latest hello that it has answered
    /// was sent.
    std::map<std::string, std::int64_t> answeredHelloMs;
    /// Disabled by tests, to show which failures these checks prevent.
    bool epochsChecked = true;
    bool leaseChecked = true;
};

/// Shards whose epoch has increased.
using RaisedShards = std::vector<std::int64_t>;

/// Merge epochs shard by shard. An epoch never decreases, whatever the table's version: two
/// gateways may have processed different handovers under the same version. The roster is taken from
/// newer tables only.
RaisedShards mergeTable(Fence &fence, const Schema::OwnershipTable &table);
RaisedShards mergeShards(Fence &fence, const std::vector<Schema::ShardOwner> &shards);

/// Records that the sender of \a pong has answered a hello sent at steady time \a sentMs. Ignored
/// if the pong names a newer table version than the fence has: an answer that renewed the lease
/// without the epochs of that table would let starts of a fenced owner through.
void recordHelloAnswer(Fence &fence, const Schema::GatewayPong &pong, std::int64_t sentMs);

/// Steady time at which the lease ends. Empty if no majority of the roster has answered a hello
/// yet.
std::optional<std::int64_t> leaseEndMs(const Fence &fence);
std::int64_t leaseLeftMs(const Fence &fence, Common::Moment now);

/// Returns None if the start may be accepted, else EpochFenced or LeaseLapsed.
Schema::Reason checkStart(const Fence &fence, std::int64_t shard, std::int64_t epoch,
                          Common::Moment now);

/// Latest wall-clock time at which a start accepted now may still begin: \a taskNotAfterMs or the
/// end of the lease, whichever is earlier. Covers a pause between this agent's check and the start:
/// the backend server checks the time against the same machine's clock just before it starts the
/// task.
std::int64_t startNotAfterMs(const Fence &fence, std::int64_t taskNotAfterMs, Common::Moment now);

/// Instance of the shard's owner; empty if none is known.
std::string ownerOf(const Fence &fence, std::int64_t shard);
std::int64_t epochOf(const Fence &fence, std::int64_t shard);

} // namespace Agent
