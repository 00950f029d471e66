#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Which starts an agent may accept at all: only of a shard's highest known epoch, and only while a
/// majority of the gateways on the roster has been heard from within the lease.
///
/// Failure: an owner is paused or cut off, a successor takes its shards, and the old owner goes on
/// sending starts: a task would run twice. The successor serves only after a majority of the roster
/// passes its epoch on and a lease has gone by; by then each agent has either been told the epoch
/// by a member of that majority, or has heard from no majority within the lease and accepts
/// nothing.
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
    /// For each gateway: when the latest hello that it has answered was sent.
    std::map<std::string, std::int64_t> answeredHelloMs;
    /// Switched off by tests, to show what they guard against.
    bool epochsChecked = true;
    bool leaseChecked = true;
};

/// Shards whose epoch rose.
using RaisedShards = std::vector<std::int64_t>;

/// Epochs are merged shard by shard and never fall, whatever the table's version: two gateways may
/// have seen different handovers under the same version. The roster is taken from newer tables
/// only.
RaisedShards mergeTable(Fence &fence, const Schema::OwnershipTable &table);
RaisedShards mergeShards(Fence &fence, const std::vector<Schema::ShardOwner> &shards);

/// \a gateway has answered a hello sent at \a sentMs. Counted only when the fence has reached the
/// table version that the answer names: an answer that renewed the lease without its epochs would
/// let starts of a fenced owner through.
void recordHelloAnswer(Fence &fence, const Schema::GatewayPong &pong, std::int64_t sentMs);

/// Steady time at which the lease ends; nothing where no majority was ever heard.
std::optional<std::int64_t> leaseEndMs(const Fence &fence);
std::int64_t leaseLeftMs(const Fence &fence, Common::Moment now);

/// Reason::None, EpochFenced or LeaseLapsed.
Schema::Reason checkStart(const Fence &fence, std::int64_t shard, std::int64_t epoch,
                          Common::Moment now);

/// The last wall-clock time at which a start accepted now may still begin. Covers a pause between
/// this agent's check and the start: the backend server checks the time against the same machine's
/// clock just before it starts the task.
std::int64_t startNotAfterMs(const Fence &fence, std::int64_t taskNotAfterMs, Common::Moment now);

/// Owner of the shard, empty where none is known.
std::string ownerOf(const Fence &fence, std::int64_t shard);
std::int64_t epochOf(const Fence &fence, std::int64_t shard);

} // namespace Agent
