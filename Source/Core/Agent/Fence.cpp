#include "Agent/Fence.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace Agent {

namespace {

bool onRoster(const std::vector<Schema::Member> &roster, const std::string &instance)
{
    return std::any_of(roster.begin(), roster.end(),
                       [&](const Schema::Member &member) { return member.instance == instance; });
}

/// Removes gateways that have left the roster. Gateways are replaced daily, so the map would
/// otherwise grow for as long as the agent runs.
void removeDeparted(Fence &fence)
{
    for (auto entry = fence.answeredHelloMs.begin(); entry != fence.answeredHelloMs.end();) {
        entry = onRoster(fence.roster, entry->first) ? std::next(entry)
                                                     : fence.answeredHelloMs.erase(entry);
    }
}

} // namespace

RaisedShards mergeShards(Fence &fence, const std::vector<Schema::ShardOwner> &shards)
{
    RaisedShards raised;
    for (const Schema::ShardOwner &entry : shards) {
        ShardFence &known = fence.shards[entry.shard];
        if (entry.epoch <= known.epoch) {
            continue;
        }
        known = {entry.epoch, entry.owner};
        raised.push_back(entry.shard);
    }
    return raised;
}

RaisedShards mergeTable(Fence &fence, const Schema::OwnershipTable &table)
{
    RaisedShards raised = mergeShards(fence, table.shards);
    if (table.version > fence.tableVersion) {
        fence.tableVersion = table.version;
        fence.roster = table.roster;
        removeDeparted(fence);
    }
    return raised;
}

void recordHelloAnswer(Fence &fence, const Schema::GatewayPong &pong, std::int64_t sentMs)
{
    if (pong.tableVersion > fence.tableVersion) {
        return;
    }
    const auto [entry, added] = fence.answeredHelloMs.try_emplace(pong.instance, sentMs);
    if (!added) {
        entry->second = std::max(entry->second, sentMs);
    }
}

std::optional<std::int64_t> leaseEndMs(const Fence &fence)
{
    std::vector<std::int64_t> answeredMs;
    for (const Schema::Member &member : fence.roster) {
        const auto answered = fence.answeredHelloMs.find(member.instance);
        if (answered != fence.answeredHelloMs.end()) {
            answeredMs.push_back(answered->second);
        }
    }
    const std::size_t majority = fence.roster.size() / 2 + 1;
    if (answeredMs.size() < majority) {
        return std::nullopt;
    }
    std::sort(answeredMs.begin(), answeredMs.end(), std::greater<>());
    return answeredMs[majority - 1] + fence.leaseMs;
}

std::int64_t leaseLeftMs(const Fence &fence, Common::Moment now)
{
    const std::optional<std::int64_t> end = leaseEndMs(fence);
    return end ? std::max<std::int64_t>(0, *end - now.steadyMs) : 0;
}

Schema::Reason checkStart(const Fence &fence, std::int64_t shard, std::int64_t epoch,
                          Common::Moment now)
{
    if (fence.epochsChecked && epoch < epochOf(fence, shard)) {
        return Schema::Reason::EpochFenced;
    }
    if (fence.leaseChecked && leaseLeftMs(fence, now) == 0) {
        return Schema::Reason::LeaseLapsed;
    }
    return Schema::Reason::None;
}

std::int64_t startNotAfterMs(const Fence &fence, std::int64_t taskNotAfterMs, Common::Moment now)
{
    if (!fence.leaseChecked) {
        return taskNotAfterMs;
    }
    return std::min(taskNotAfterMs, now.wallMs + leaseLeftMs(fence, now));
}

std::string ownerOf(const Fence &fence, std::int64_t shard)
{
    const auto found = fence.shards.find(shard);
    return found == fence.shards.end() ? std::string() : found->second.owner;
}

std::int64_t epochOf(const Fence &fence, std::int64_t shard)
{
    const auto found = fence.shards.find(shard);
    return found == fence.shards.end() ? -1 : found->second.epoch;
}

} // namespace Agent
