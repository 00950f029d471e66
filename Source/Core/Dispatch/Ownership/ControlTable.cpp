#include "Dispatch/Ownership/ControlTable.h"

#include <algorithm>

namespace Dispatch {

namespace {

bool sameAddress(const Schema::Member &left, const Schema::Member &right)
{
    return left.host == right.host && left.peerPort == right.peerPort;
}

const Schema::Member *findIn(const std::vector<Schema::Member> &members,
                             const std::string &instance)
{
    const auto found =
            std::find_if(members.begin(), members.end(),
                         [&](const Schema::Member &member) { return member.instance == instance; });
    return found == members.end() ? nullptr : &*found;
}

const Schema::Member *findMember(const ControlTable &table, const std::string &instance)
{
    return findIn(table.roster, instance);
}

std::vector<std::string> instancesOf(const std::vector<Schema::Member> &members)
{
    std::vector<std::string> instances;
    instances.reserve(members.size());
    for (const Schema::Member &member : members) {
        instances.push_back(member.instance);
    }
    return instances;
}

void removeMember(ControlTable &table, const std::string &instance)
{
    table.roster.erase(std::remove_if(table.roster.begin(), table.roster.end(),
                                      [&](const Schema::Member &member) {
                                          return member.instance == instance;
                                      }),
                       table.roster.end());
}

void beginRosterChange(ControlTable &table, std::int64_t offset)
{
    table.previousRoster = table.roster;
    table.rosterOffset = offset + 1;
}

bool rosterChangedSince(const ControlTable &table, const Schema::LogRecord &record,
                        const Safeguards &safeguards)
{
    return safeguards.conditionalRecords
           && record.basedOn.value_or(0) / EpochStep < table.rosterOffset;
}

void replaceIn(std::vector<Schema::Member> &members, const std::string &replaced,
               const Schema::Member &member)
{
    for (Schema::Member &rosterEntry : members) {
        if (rosterEntry.instance == replaced) {
            rosterEntry = member;
        }
    }
}

/// Replaces a member by a gateway that listens at the same address. This address proves that the
/// member's process has ended. The number of members and the majorities stay the same. Members of
/// the previous roster are replaced as well, because their acknowledgements may still be needed.
/// Returns false if \a replaced is on neither roster or has another address.
bool replaceMemberAtSameAddress(ControlTable &table, const std::string &replaced,
                                const Schema::Member &member)
{
    const Schema::Member *rosterEntry = findMember(table, replaced);
    rosterEntry = rosterEntry == nullptr ? findIn(table.previousRoster, replaced) : rosterEntry;
    if (rosterEntry == nullptr || !sameAddress(*rosterEntry, member)) {
        return false;
    }
    replaceIn(table.previousRoster, replaced, member);
    replaceIn(table.roster, replaced, member);
    return true;
}

bool applyJoin(ControlTable &table, const Schema::LogEntry &entry, const Safeguards &safeguards)
{
    const Schema::LogRecord &record = entry.record;
    if (!record.member || findMember(table, record.member->instance) != nullptr) {
        return false;
    }
    if (!record.replaces) {
        if (rosterChangedSince(table, record, safeguards)) {
            return false;
        }
        beginRosterChange(table, entry.offset);
        table.roster.push_back(*record.member);
        return true;
    }
    if (replaceMemberAtSameAddress(table, *record.replaces, *record.member)) {
        return true;
    }
    if (findMember(table, *record.replaces) == nullptr
        || rosterChangedSince(table, record, safeguards)) {
        return false;
    }
    beginRosterChange(table, entry.offset);
    removeMember(table, *record.replaces);
    table.roster.push_back(*record.member);
    return true;
}

bool applyLeave(ControlTable &table, const Schema::LogEntry &entry, const Safeguards &safeguards)
{
    const std::string leaver = entry.record.replaces.value_or(entry.record.instance);
    if (findMember(table, leaver) == nullptr
        || rosterChangedSince(table, entry.record, safeguards)) {
        return false;
    }
    beginRosterChange(table, entry.offset);
    removeMember(table, leaver);
    if (table.roster.empty()) {
        // The last member has finished its work, and no other member is left to wait for.
        table.previousRoster.clear();
    }
    return true;
}

bool knownShard(const ControlTable &table, std::int64_t shard)
{
    return shard >= 0 && shard < static_cast<std::int64_t>(table.shards.size());
}

bool applyClaim(ControlTable &table, const Schema::LogEntry &entry, const Safeguards &safeguards)
{
    if (!entry.record.shards || !onRoster(table, entry.record.instance)) {
        return false;
    }
    bool valid = false;
    for (const Schema::ShardOwner &claimed : *entry.record.shards) {
        if (!knownShard(table, claimed.shard)) {
            continue;
        }
        ShardClaim &current = table.shards[static_cast<std::size_t>(claimed.shard)];
        if (safeguards.conditionalRecords && epochBase(claimed.epoch) != epochBase(current.epoch)) {
            continue;
        }
        current = ShardClaim{entry.record.instance, entry.offset * EpochStep};
        valid = true;
    }
    return valid;
}

bool applyHandedOver(ControlTable &table, const Schema::LogEntry &entry)
{
    bool valid = false;
    for (const Schema::ShardOwner &given :
         entry.record.shards.value_or(std::vector<Schema::ShardOwner>{})) {
        if (!knownShard(table, given.shard)) {
            continue;
        }
        ShardClaim &current = table.shards[static_cast<std::size_t>(given.shard)];
        // A claim that precedes this record in the log takes precedence; the bases of the epochs
        // differ then.
        if (epochBase(given.epoch) != epochBase(current.epoch) || given.epoch <= current.epoch) {
            continue;
        }
        current = ShardClaim{given.owner, given.epoch};
        valid = true;
    }
    return valid;
}

/// Clears the previous roster. The log has to record that the change is settled; otherwise this
/// would be lost with the gateways that received the acknowledgements.
bool applySettled(ControlTable &table, const Schema::LogRecord &record)
{
    if (record.basedOn.value_or(0) / EpochStep != table.rosterOffset) {
        return false;
    }
    table.previousRoster.clear();
    return true;
}

bool applyByKind(ControlTable &table, const Schema::LogEntry &entry, const Safeguards &safeguards)
{
    switch (entry.record.kind) {
    case Schema::RecordKind::Join:
        return applyJoin(table, entry, safeguards);
    case Schema::RecordKind::Leave:
        return applyLeave(table, entry, safeguards);
    case Schema::RecordKind::Claim:
        return applyClaim(table, entry, safeguards);
    case Schema::RecordKind::HandedOver:
        return applyHandedOver(table, entry);
    case Schema::RecordKind::RosterSettled:
        return applySettled(table, entry.record);
    default:
        return false;
    }
}

} // namespace

ControlTable makeControlTable(std::int64_t shardCount)
{
    ControlTable table;
    table.shards.resize(static_cast<std::size_t>(shardCount));
    return table;
}

bool applyControlRecord(ControlTable &table, const Schema::LogEntry &entry,
                        const Safeguards &safeguards)
{
    const bool valid = applyByKind(table, entry, safeguards);
    table.offset = entry.offset + 1;
    return valid;
}

void mergeTable(ControlTable &table, const ControlTable &from)
{
    if (from.offset > table.offset) {
        table.offset = from.offset;
        table.rosterOffset = from.rosterOffset;
        table.roster = from.roster;
        table.previousRoster = from.previousRoster;
    }
    for (std::size_t shard = 0; shard < table.shards.size(); ++shard) {
        if (from.shards[shard].epoch > table.shards[shard].epoch) {
            table.shards[shard] = from.shards[shard];
        }
    }
}

std::int64_t tableVersion(const ControlTable &table)
{
    std::int64_t handovers = 0;
    for (const ShardClaim &claim : table.shards) {
        handovers += claim.epoch % EpochStep;
    }
    return table.offset * EpochStep + std::min(handovers, EpochStep - 1);
}

Schema::OwnershipTable exportTable(const ControlTable &table)
{
    Schema::OwnershipTable exported;
    exported.version = tableVersion(table);
    exported.rosterVersion = table.rosterOffset * EpochStep;
    exported.roster = table.roster;
    exported.previousRoster = table.previousRoster;
    for (std::size_t shard = 0; shard < table.shards.size(); ++shard) {
        const ShardClaim &claim = table.shards[shard];
        Schema::ShardOwner owner;
        owner.shard = static_cast<std::int64_t>(shard);
        owner.owner = claim.owner;
        owner.epoch = claim.epoch;
        exported.shards.push_back(std::move(owner));
    }
    return exported;
}

ControlTable importTable(const Schema::OwnershipTable &table, std::int64_t shardCount)
{
    ControlTable imported = makeControlTable(shardCount);
    imported.offset = table.version / EpochStep;
    imported.rosterOffset = table.rosterVersion / EpochStep;
    imported.roster = table.roster;
    imported.previousRoster = table.previousRoster;
    for (const Schema::ShardOwner &owner : table.shards) {
        if (knownShard(imported, owner.shard)) {
            imported.shards[static_cast<std::size_t>(owner.shard)] =
                    ShardClaim{owner.owner, owner.epoch};
        }
    }
    return imported;
}

bool onRoster(const ControlTable &table, const std::string &instance)
{
    return findMember(table, instance) != nullptr;
}

std::vector<std::string> rosterInstances(const ControlTable &table)
{
    return instancesOf(table.roster);
}

std::vector<std::string> previousInstances(const ControlTable &table)
{
    return instancesOf(table.previousRoster);
}

const Schema::Member *memberAtAddress(const ControlTable &table, const Schema::Member &member)
{
    for (const std::vector<Schema::Member> *members : {&table.roster, &table.previousRoster}) {
        for (const Schema::Member &rosterEntry : *members) {
            if (sameAddress(rosterEntry, member) && rosterEntry.instance != member.instance) {
                return &rosterEntry;
            }
        }
    }
    return nullptr;
}

bool neverOwned(const ControlTable &table)
{
    return std::all_of(table.shards.begin(), table.shards.end(),
                       [](const ShardClaim &claim) { return claim.epoch == 0; });
}

std::int64_t epochBase(std::int64_t epoch)
{
    return epoch / EpochStep;
}

} // namespace Dispatch
