#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Decides which gateways to connect to. Addresses come from the settings, which may be stale, from
/// other gateways and from the platform's store. A process knows all gateways and connects to a few
/// of them, so that what it says and hears does not grow with the fleet.
///
/// Load pattern: with connections from everybody to everybody, each of 55 gateways exchanges some
/// thousand heartbeats a second with 240 agents and the other gateways, which takes more than the
/// whole processor of a weak machine before the first job.
///
/// Each process ranks the gateways by a hash of both names (rendezvous hashing): every gateway is
/// chosen by about as many processes as the others, and one that comes or goes changes only the
/// choices that include it. Gateways of the own failure domain and others take turns in the
/// ranking, so that work reaches backend servers of all domains and a domain that is cut off has
/// gateways. While a failure domain is evacuated, agents rank all gateways alike: otherwise those
/// in that domain would have half as many backend servers as the others.
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
    /// When this process, or one that told it of the gateway, last heard from it.
    std::int64_t heardMs = 0;
    /// Ended attempts and connections since the last successful attempt.
    int failures = 0;
    /// Nothing while only the address is known.
    std::optional<Schema::Member> member;
    /// Address of the gateway that answers under this address, too; empty if none is known. Such an
    /// address is not dialled while the gateway is connected.
    std::string aliasOf;
    /// Value of Discovery::change when the member was last replaced.
    std::uint64_t change = 0;
};

struct DiscoverySettings
{
    /// Name of this process, the same after each restart.
    std::string name;
    std::string failureDomain;
    /// host:port of this process if it is a gateway.
    std::string self;
    /// Addresses of gateways that are listed in the settings.
    std::vector<std::string> seeds;
    /// Number of gateways to be connected to.
    std::size_t links = 0;
};

struct Discovery
{
    DiscoverySettings settings;
    /// By address.
    std::map<std::string, KnownGateway> gateways;
    /// Addresses, those to be connected to first.
    std::vector<std::string> ranking;
    /// The first addresses of the ranking: as many as have the wanted number of reachable gateways
    /// among them.
    std::vector<std::string> chosen;
    /// Incremented with each gateway that is added or restarted.
    std::uint64_t change = 1;
    /// Gateways of the own failure domain have no preference.
    bool ignoresDomains = false;
    std::int64_t expiredMs = 0;
};

Discovery makeDiscovery(DiscoverySettings settings);

/// Ranks all gateways alike, or those of the own failure domain and others in turns.
void ignoreDomains(Discovery &discovery, bool ignores);

/// Adds a gateway that another process or the store has reported. A report that is older than what
/// is known, or out of the ranges of problemWith(), has no effect.
void addGateway(Discovery &discovery, const Schema::Member &gateway, Common::Moment now);

/// Adds a gateway that has announced itself just now.
void addAnnouncedGateway(Discovery &discovery, Schema::Member gateway, Common::Moment now);

/// Adds several gateways.
void addGateways(Discovery &discovery, const std::vector<Schema::Member> &gateways,
                 Common::Moment now);

/// Addresses to dial now; each is then being dialled until gatewayConnected() or dialEnded().
std::vector<std::string> gatewaysToDial(Discovery &discovery, Common::Moment now);
void gatewayConnected(Discovery &discovery, const std::string &address, Common::Moment now);
/// Handles a connection to \a address that was answered by the gateway that is connected as
/// \a known, or by this process itself.
void markAlias(Discovery &discovery, const std::string &address, const std::string &known);
/// Handles a failed attempt or a closed connection: schedules the next attempt.
void dialEnded(Discovery &discovery, const std::string &address, Common::Moment now);

/// Time on the steady clock when the next attempt is due.
std::int64_t nextDialMs(const Discovery &discovery);

/// True if this process is connected to the gateway but need not be, since it is connected to all
/// that it has chosen.
bool isSurplus(const Discovery &discovery, const std::string &address);

/// Time in which a process tells each other one of all gateways that it knows.
std::int64_t listIntervalMs(const Discovery &discovery);

/// The known gateways that were added or restarted after \a change, with the times since they were
/// heard from.
std::vector<Schema::Member> gatewaysSince(const Discovery &discovery, std::uint64_t change,
                                          Common::Moment now);

/// Number of other gateways that have announced themselves or were reported, and have not expired.
std::size_t knownGateways(const Discovery &discovery);

/// Address (host:port) at which a gateway accepts connections of peers.
std::string addressOf(const Schema::Member &member);

} // namespace Transient
