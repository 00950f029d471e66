#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Decides which gateways to connect to. Addresses come from the settings, which may be stale, from
/// other gateways and from the platform's store. An address is dialled until it is connected or
/// expires.
namespace Transient {

/// Timeout of a connection attempt. If a machine has no power, the first packet to it is lost; the
/// next attempt must not wait until the operating system ends this one, seconds later. Forty times
/// the round-trip time between failure domains.
constexpr std::int64_t DialTimeoutMs = 250;

struct KnownGateway
{
    /// Listed in the settings: never expires.
    bool isSeed = false;
    bool isConnected = false;
    bool isDialling = false;
    std::int64_t nextDialMs = 0;
    /// When the address was added or was last connected.
    std::int64_t lastActiveMs = 0;
    /// Ended attempts and connections since the last successful attempt.
    int failures = 0;
};

struct Discovery
{
    /// host:port of this process if it is a gateway.
    std::string self;
    std::map<std::string, KnownGateway> gateways;
};

/// \a seeds are the gateways listed in the settings.
Discovery makeDiscovery(const std::string &self, const std::vector<std::string> &seeds);

/// Adds the address of a gateway that another process or the store has reported.
void addGateway(Discovery &discovery, const std::string &address, Common::Moment now);

/// Adds the addresses of several gateways.
void addGateways(Discovery &discovery, const std::vector<Schema::Member> &gateways,
                 Common::Moment now);

/// Addresses to dial now; each is then being dialled until gatewayConnected() or dialEnded().
std::vector<std::string> gatewaysToDial(Discovery &discovery, Common::Moment now);
void gatewayConnected(Discovery &discovery, const std::string &address, Common::Moment now);
/// Handles a failed attempt or a closed connection: schedules the next attempt.
void dialEnded(Discovery &discovery, const std::string &address, Common::Moment now);

/// Time on the steady clock when the next attempt is due.
std::int64_t nextDialMs(const Discovery &discovery);

/// Address (host:port) at which a gateway accepts connections of peers.
std::string addressOf(const Schema::Member &member);

} // namespace Transient
