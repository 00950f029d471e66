#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Dispatch/Ownership/Safeguards.h"
#include "Schema/Schema.h"

/// The roster of gateways and the owner of each shard, as a pure function of the control stream.
/// All gateways that have read up to the same offset have the same table, except that direct
/// handovers replace a claim by one whose epoch is higher and has the same base.
namespace Dispatch {

/// An epoch is the offset of the claim times this value plus the number of direct handovers since.
constexpr std::int64_t EpochStep = 65536;

struct ShardClaim
{
    /// Empty until the shard is claimed for the first time.
    std::string owner;
    std::int64_t epoch = 0;
};

struct ControlTable
{
    /// Offset after the last control record that the table reflects.
    std::int64_t offset = 0;
    /// Offset after the last record that changed the roster.
    std::int64_t rosterOffset = 0;
    std::vector<Schema::Member> roster;
    /// Roster before that change; empty once the log shows that the change is settled.
    std::vector<Schema::Member> previousRoster;
    std::vector<ShardClaim> shards;
};

ControlTable makeControlTable(std::int64_t shardCount);

/// Applies the next record of the control stream. Returns whether the record was valid.
bool applyControlRecord(ControlTable &table, const Schema::LogEntry &entry,
                        const Safeguards &safeguards);

/// Merges \a from into \a table: the roster of the table with the higher offset, and for each shard
/// the claim with the higher epoch. Offsets and epochs never decrease.
void mergeTable(ControlTable &table, const ControlTable &from);

/// Offset times EpochStep plus the number of direct handovers in the table, which is limited to
/// EpochStep - 1. Increases as newer records and handovers are merged.
std::int64_t tableVersion(const ControlTable &table);

Schema::OwnershipTable exportTable(const ControlTable &table);
/// Ignores shards whose number is not below \a shardCount.
ControlTable importTable(const Schema::OwnershipTable &table, std::int64_t shardCount);

bool onRoster(const ControlTable &table, const std::string &instance);
std::vector<std::string> rosterInstances(const ControlTable &table);
std::vector<std::string> previousInstances(const ControlTable &table);
/// Another member, of either roster, with the same address as \a member: its process has ended.
/// Null if there is none.
const Schema::Member *memberAtAddress(const ControlTable &table, const Schema::Member &member);
/// True while no shard has ever had an owner, so that no agent can have accepted a start.
bool neverOwned(const ControlTable &table);
std::int64_t epochBase(std::int64_t epoch);

} // namespace Dispatch
