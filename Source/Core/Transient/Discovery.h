#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Which gateways to connect to. Addresses come from the settings, which may be stale, from other
/// gateways and from the platform's store; an address is dialled until it answers or is given up.
namespace Transient {

/// How long an attempt waits for its connection. A machine without power swallows the attempt's
/// first packet; the next attempt must not wait until that one is given up by the system, seconds
/// later. Forty times the way there and back between failure domains.
constexpr std::int64_t DialTimeoutMs = 250;

struct KnownGateway
{
    /// Named in the settings: never given up.
    bool isSeed = false;
    bool isConnected = false;
    bool isDialling = false;
    std::int64_t nextDialMs = 0;
    std::int64_t lastActiveMs = 0;
    int failures = 0;
};

struct Discovery
{
    /// host:port of this process, where it is a gateway.
    std::string self;
    std::map<std::string, KnownGateway> gateways;
};

Discovery makeDiscovery(const std::string &self, const std::vector<std::string> &seeds);

/// Somebody has told of a gateway at \a address.
void addGateway(Discovery &discovery, const std::string &address, Common::Moment now);

/// The same of several.
void addGateways(Discovery &discovery, const std::vector<Schema::Member> &gateways,
                 Common::Moment now);

/// Addresses to dial now; each is then being dialled until gatewayConnected() or dialEnded().
std::vector<std::string> gatewaysToDial(Discovery &discovery, Common::Moment now);
void gatewayConnected(Discovery &discovery, const std::string &address, Common::Moment now);
/// The attempt came to nothing, or the link is gone.
void dialEnded(Discovery &discovery, const std::string &address, Common::Moment now);

std::int64_t nextDialMs(const Discovery &discovery);

/// The peer address of a gateway.
std::string addressOf(const Schema::Member &member);

} // namespace Transient
