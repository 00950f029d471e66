#include "Transient/Discovery.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Transient/Plausibility.h"

namespace Transient {

namespace {

/// Failure: all processes start at the same time, and agents that cannot connect yet pause longer
/// after each attempt; three of four gateways then had no agent for 0.5 s and refused their
/// callers. A process that was killed is back within a second, so that attempts follow each other
/// quickly for that long. After that the pause grows until a process dials a gateway only once a
/// second.
constexpr int QuickRedials = 12;
constexpr std::int64_t FirstRedialMs = 100;
constexpr std::int64_t LongestRedialMs = 1000;
constexpr int MaxDoublings = 4;
/// After this many failures the next gateway of the ranking is dialled, too. The first is the end
/// of a connection, which may be restored at once.
constexpr int FailuresUntilReplaced = 2;
constexpr std::int64_t ShortestListIntervalMs = 10'000;
/// Bounds what lists of all gateways take of a link in a large fleet.
constexpr std::int64_t ListIntervalPerGatewayMs = 250;
/// A gateway that is not in the settings is removed when nobody has heard from it for as long as it
/// takes to pass on this many lists of all gateways.
constexpr std::int64_t ListsUntilExpiry = 6;
constexpr std::int64_t ExpirySweepMs = 1000;

std::int64_t expiryMs(const Discovery &discovery)
{
    return listIntervalMs(discovery) * ListsUntilExpiry;
}

bool isReachable(const KnownGateway &gateway)
{
    return gateway.isConnected || gateway.failures < FailuresUntilReplaced;
}

bool isAlias(const Discovery &discovery, const KnownGateway &gateway)
{
    if (gateway.aliasOf.empty()) {
        return false;
    }
    const auto known = discovery.gateways.find(gateway.aliasOf);
    return gateway.aliasOf == discovery.settings.self
           || (known != discovery.gateways.end() && known->second.isConnected);
}

/// Chooses again, after a gateway was added or removed or its reachability changed.
void choose(Discovery &discovery)
{
    discovery.chosen.clear();
    std::size_t reachable = 0;
    for (const std::string &address : discovery.ranking) {
        if (reachable == discovery.settings.links) {
            return;
        }
        const KnownGateway &gateway = discovery.gateways.at(address);
        if (isAlias(discovery, gateway)) {
            continue;
        }
        discovery.chosen.push_back(address);
        reachable += isReachable(gateway) ? 1 : 0;
    }
}

struct RankedGateway
{
    std::uint64_t hash = 0;
    std::string address;
};

std::vector<std::string> sortedAddresses(std::vector<RankedGateway> &gateways)
{
    std::sort(gateways.begin(), gateways.end(),
              [](const RankedGateway &left, const RankedGateway &right) {
                  return left.hash > right.hash;
              });
    std::vector<std::string> addresses;
    addresses.reserve(gateways.size());
    for (RankedGateway &gateway : gateways) {
        addresses.push_back(std::move(gateway.address));
    }
    return addresses;
}

/// Ranks the gateways anew, after one was added or removed or its failure domain became known.
void rank(Discovery &discovery)
{
    std::vector<RankedGateway> near;
    std::vector<RankedGateway> far;
    for (const auto &[address, gateway] : discovery.gateways) {
        const bool isNear = !discovery.ignoresDomains && gateway.member
                            && gateway.member->failureDomain == discovery.settings.failureDomain;
        (isNear ? near : far)
                .push_back({Common::hash64(discovery.settings.name + ' ' + address), address});
    }
    const std::vector<std::string> nearest = sortedAddresses(near);
    const std::vector<std::string> others = sortedAddresses(far);
    discovery.ranking.clear();
    for (std::size_t index = 0; index < std::max(nearest.size(), others.size()); ++index) {
        if (index < nearest.size()) {
            discovery.ranking.push_back(nearest[index]);
        }
        if (index < others.size()) {
            discovery.ranking.push_back(others[index]);
        }
    }
    choose(discovery);
}

void removeExpired(Discovery &discovery, Common::Moment now)
{
    if (now.steadyMs < discovery.expiredMs + ExpirySweepMs) {
        return;
    }
    discovery.expiredMs = now.steadyMs;
    const std::size_t before = discovery.gateways.size();
    const std::int64_t limitMs = expiryMs(discovery);
    for (auto entry = discovery.gateways.begin(); entry != discovery.gateways.end();) {
        const KnownGateway &gateway = entry->second;
        const bool isExpired = !gateway.isSeed && !gateway.isConnected && !gateway.isDialling
                               && now.steadyMs > gateway.heardMs + limitMs;
        entry = isExpired ? discovery.gateways.erase(entry) : std::next(entry);
    }
    if (discovery.gateways.size() != before) {
        rank(discovery);
    }
}

} // namespace

Discovery makeDiscovery(DiscoverySettings settings)
{
    Discovery discovery;
    discovery.settings = std::move(settings);
    for (const std::string &seed : discovery.settings.seeds) {
        if (seed != discovery.settings.self) {
            discovery.gateways[seed].isSeed = true;
        }
    }
    rank(discovery);
    return discovery;
}

void ignoreDomains(Discovery &discovery, bool ignores)
{
    if (discovery.ignoresDomains != ignores) {
        discovery.ignoresDomains = ignores;
        rank(discovery);
    }
}

void addGateway(Discovery &discovery, const Schema::Member &gateway, Common::Moment now)
{
    if (problemWith(gateway)) {
        return;
    }
    const std::string address = addressOf(gateway);
    const std::int64_t heardMs = now.steadyMs - gateway.heardMsAgo.value_or(0);
    if (address == discovery.settings.self || now.steadyMs > heardMs + expiryMs(discovery)) {
        return;
    }
    const auto [entry, isNew] = discovery.gateways.try_emplace(address);
    KnownGateway &known = entry->second;
    if (known.member && (!gateway.heardMsAgo || heardMs < known.heardMs)) {
        return;
    }
    known.heardMs = std::max(known.heardMs, heardMs);
    if (known.member && known.member->instance == gateway.instance) {
        return;
    }
    known.change = ++discovery.change;
    const bool isPlaced =
            !isNew && known.member && known.member->failureDomain == gateway.failureDomain;
    known.member = gateway;
    if (!isPlaced) {
        rank(discovery);
    }
}

void addAnnouncedGateway(Discovery &discovery, Schema::Member gateway, Common::Moment now)
{
    gateway.heardMsAgo = 0;
    addGateway(discovery, gateway, now);
}

void addGateways(Discovery &discovery, const std::vector<Schema::Member> &gateways,
                 Common::Moment now)
{
    for (const Schema::Member &gateway : gateways) {
        addGateway(discovery, gateway, now);
    }
}

std::vector<std::string> gatewaysToDial(Discovery &discovery, Common::Moment now)
{
    removeExpired(discovery, now);
    std::vector<std::string> due;
    for (const std::string &address : discovery.chosen) {
        KnownGateway &gateway = discovery.gateways.at(address);
        if (!gateway.isConnected && !gateway.isDialling && now.steadyMs >= gateway.nextDialMs) {
            gateway.isDialling = true;
            due.push_back(address);
        }
    }
    return due;
}

void gatewayConnected(Discovery &discovery, const std::string &address, Common::Moment now)
{
    const auto [entry, isNew] = discovery.gateways.try_emplace(address);
    KnownGateway &gateway = entry->second;
    gateway.isConnected = true;
    gateway.isDialling = false;
    gateway.failures = 0;
    gateway.heardMs = now.steadyMs;
    if (isNew) {
        rank(discovery);
    } else {
        choose(discovery);
    }
}

void markAlias(Discovery &discovery, const std::string &address, const std::string &known)
{
    const auto found = discovery.gateways.find(address);
    if (found == discovery.gateways.end()) {
        return;
    }
    KnownGateway &gateway = found->second;
    gateway.isConnected = false;
    gateway.isDialling = false;
    gateway.failures = 0;
    gateway.aliasOf = known;
    choose(discovery);
}

void dialEnded(Discovery &discovery, const std::string &address, Common::Moment now)
{
    const auto found = discovery.gateways.find(address);
    if (found == discovery.gateways.end()) {
        return;
    }
    KnownGateway &gateway = found->second;
    gateway.isConnected = false;
    gateway.isDialling = false;
    const int doublings = std::clamp(gateway.failures - QuickRedials, 0, MaxDoublings);
    gateway.nextDialMs = now.steadyMs + std::min(FirstRedialMs << doublings, LongestRedialMs);
    gateway.failures += 1;
    for (auto &[other, alias] : discovery.gateways) {
        if (alias.aliasOf == address) {
            // Another gateway may answer there from now on.
            alias.aliasOf.clear();
        }
    }
    choose(discovery);
}

std::int64_t nextDialMs(const Discovery &discovery)
{
    std::int64_t next = std::numeric_limits<std::int64_t>::max();
    for (const std::string &address : discovery.chosen) {
        const KnownGateway &gateway = discovery.gateways.at(address);
        if (!gateway.isConnected && !gateway.isDialling) {
            next = std::min(next, gateway.nextDialMs);
        }
    }
    return next;
}

bool isSurplus(const Discovery &discovery, const std::string &address)
{
    const std::vector<std::string> &chosen = discovery.chosen;
    if (std::find(chosen.begin(), chosen.end(), address) != chosen.end()) {
        return false;
    }
    const auto connected = std::count_if(chosen.begin(), chosen.end(), [&](const std::string &one) {
        return discovery.gateways.at(one).isConnected;
    });
    return static_cast<std::size_t>(connected) >= discovery.settings.links;
}

std::int64_t listIntervalMs(const Discovery &discovery)
{
    return std::max(ShortestListIntervalMs,
                    ListIntervalPerGatewayMs
                            * static_cast<std::int64_t>(discovery.gateways.size()));
}

std::vector<Schema::Member> gatewaysSince(const Discovery &discovery, std::uint64_t change,
                                          Common::Moment now)
{
    std::vector<Schema::Member> members;
    for (const auto &[address, gateway] : discovery.gateways) {
        const std::int64_t heardMsAgo = now.steadyMs - gateway.heardMs;
        if (gateway.member && gateway.change > change && heardMsAgo < expiryMs(discovery)
            && !isAlias(discovery, gateway)) {
            members.push_back(*gateway.member);
            members.back().heardMsAgo = heardMsAgo;
        }
    }
    return members;
}

std::size_t knownGateways(const Discovery &discovery)
{
    return static_cast<std::size_t>(std::count_if(
            discovery.gateways.begin(), discovery.gateways.end(), [&discovery](const auto &entry) {
                return entry.second.member && !isAlias(discovery, entry.second);
            }));
}

std::string addressOf(const Schema::Member &member)
{
    return member.host + ':' + std::to_string(member.peerPort);
}

} // namespace Transient
