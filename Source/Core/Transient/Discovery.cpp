#include "Transient/Discovery.h"

#include <algorithm>
#include <limits>

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
/// An address that is not in the settings is removed after this long without a connection: by then
/// others have reported the address of the machine that replaced it.
constexpr std::int64_t AddressExpiryMs = 20'000;

} // namespace

Discovery makeDiscovery(const std::string &self, const std::vector<std::string> &seeds)
{
    Discovery discovery;
    discovery.self = self;
    for (const std::string &seed : seeds) {
        if (seed != self) {
            discovery.gateways[seed].isSeed = true;
        }
    }
    return discovery;
}

void addGateway(Discovery &discovery, const std::string &address, Common::Moment now)
{
    if (address == discovery.self) {
        return;
    }
    const auto [entry, isNew] = discovery.gateways.try_emplace(address);
    if (isNew) {
        entry->second.lastActiveMs = now.steadyMs;
    }
}

void addGateways(Discovery &discovery, const std::vector<Schema::Member> &gateways,
                 Common::Moment now)
{
    for (const Schema::Member &gateway : gateways) {
        addGateway(discovery, addressOf(gateway), now);
    }
}

std::vector<std::string> gatewaysToDial(Discovery &discovery, Common::Moment now)
{
    std::vector<std::string> due;
    for (auto entry = discovery.gateways.begin(); entry != discovery.gateways.end();) {
        KnownGateway &gateway = entry->second;
        const bool isIdle = !gateway.isConnected && !gateway.isDialling;
        if (isIdle && !gateway.isSeed && now.steadyMs - gateway.lastActiveMs > AddressExpiryMs) {
            entry = discovery.gateways.erase(entry);
            continue;
        }
        if (isIdle && now.steadyMs >= gateway.nextDialMs) {
            gateway.isDialling = true;
            due.push_back(entry->first);
        }
        ++entry;
    }
    return due;
}

void gatewayConnected(Discovery &discovery, const std::string &address, Common::Moment now)
{
    KnownGateway &gateway = discovery.gateways[address];
    gateway.isConnected = true;
    gateway.isDialling = false;
    gateway.failures = 0;
    gateway.lastActiveMs = now.steadyMs;
}

void dialEnded(Discovery &discovery, const std::string &address, Common::Moment now)
{
    const auto found = discovery.gateways.find(address);
    if (found == discovery.gateways.end()) {
        return;
    }
    KnownGateway &gateway = found->second;
    if (gateway.isConnected) {
        gateway.lastActiveMs = now.steadyMs;
    }
    gateway.isConnected = false;
    gateway.isDialling = false;
    const int doublings = std::clamp(gateway.failures - QuickRedials, 0, MaxDoublings);
    gateway.nextDialMs = now.steadyMs + std::min(FirstRedialMs << doublings, LongestRedialMs);
    gateway.failures += 1;
}

std::int64_t nextDialMs(const Discovery &discovery)
{
    std::int64_t next = std::numeric_limits<std::int64_t>::max();
    for (const auto &[address, gateway] : discovery.gateways) {
        if (!gateway.isConnected && !gateway.isDialling) {
            next = std::min(next, gateway.nextDialMs);
        }
    }
    return next;
}

std::string addressOf(const Schema::Member &member)
{
    return member.host + ':' + std::to_string(member.peerPort);
}

} // namespace Transient
