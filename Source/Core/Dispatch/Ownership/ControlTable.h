#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Dispatch/Ownership/Safeguards.h"
#include "Schema/Schema.h"

/// The roster of gateways and the owner of each shard, as a pure function of the control stream.
/// Every gateway that has read to the same offset has the same table; direct handovers only refine
/// it, by epochs with the same base.
namespace Dispatch {

/// An epoch is the offset of the claim times this, plus the direct handovers since.
constexpr std::int64_t EpochStep = 65536;

struct ShardClaim
{
    /// Empty while nobody has ever claimed the shard.
    std::string owner;
    std::int64_t epoch = 0;
};

struct ControlTable
{
    /// Offset after the last control record it reflects.
    std::int64_t offset = 0;
    /// Offset after the last record that changed the roster.
    std::int64_t rosterOffset = 0;
    std::vector<Schema::Member> roster;
    /// Before that change; empty once the log shows it settled.
    std::vector<Schema::Member> previousRoster;
    std::vector<ShardClaim> shards;
};

ControlTable makeControlTable(std::int64_t shardCount);

/// Takes the next record of the control stream in. Returns whether the record was valid.
bool applyControlRecord(ControlTable &table, const Schema::LogEntry &entry,
                        const Safeguards &safeguards);

/// Takes in what \a from knows and \a table doesn't: the later roster, and each shard's higher
/// epoch. Neither ever goes back.
void mergeTable(ControlTable &table, const ControlTable &from);

/// Offset times EpochStep plus the direct handovers in the table. Grows with everything merged in.
std::int64_t tableVersion(const ControlTable &table);

Schema::OwnershipTable exportTable(const ControlTable &table);
/// Shards outside of \a shardCount are left out.
ControlTable importTable(const Schema::OwnershipTable &table, std::int64_t shardCount);

bool onRoster(const ControlTable &table, const std::string &instance);
std::vector<std::string> rosterInstances(const ControlTable &table);
std::vector<std::string> previousInstances(const ControlTable &table);
/// A member of either roster that listened where \a member does: its process is gone.
const Schema::Member *memberAtAddress(const ControlTable &table, const Schema::Member &member);
/// True while no shard has ever had an owner: no agent can have accepted a start.
bool neverOwned(const ControlTable &table);
std::int64_t epochBase(std::int64_t epoch);

} // namespace Dispatch
