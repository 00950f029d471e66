#include "Agent/Links.h"

#include <algorithm>
#include <cstdlib>
#include <random>

namespace Agent {

namespace {

constexpr std::int64_t MinBackoffMs = 100;
constexpr std::int64_t MaxBackoffMs = 5000;
/// The link of a gateway that answers nothing is closed for silence long before this bound is
/// reached.
constexpr std::size_t MaxUnansweredHellos = 128;

Endpoint &endpointAt(Links &links, const std::string &host, std::uint16_t port)
{
    Endpoint &endpoint = links.endpoints[host + ':' + std::to_string(port)];
    endpoint.host = host;
    endpoint.port = port;
    return endpoint;
}

bool isSilent(const Links &links, const Endpoint &endpoint, Common::Moment now)
{
    return endpoint.stage != LinkStage::Idle
           && now.steadyMs - endpoint.lastReceivedMs >= links.options.silenceMs;
}

bool isWanted(const Links &links, const Endpoint &endpoint)
{
    return (endpoint.fromSettings || endpoint.onRoster) && !isDuplicate(links, endpoint);
}

ConnectGateway dial(Links &links, Endpoint &endpoint, Common::Moment now)
{
    endpoint.link = ++links.lastLink;
    endpoint.stage = LinkStage::Connecting;
    endpoint.lastReceivedMs = now.steadyMs;
    return {endpoint.link, endpoint.host, endpoint.port};
}

void removeUnwanted(Links &links)
{
    for (auto entry = links.endpoints.begin(); entry != links.endpoints.end();) {
        const Endpoint &endpoint = entry->second;
        const bool wanted = endpoint.fromSettings || endpoint.onRoster;
        const bool removed = !wanted && endpoint.stage == LinkStage::Idle;
        entry = removed ? links.endpoints.erase(entry) : std::next(entry);
    }
}

} // namespace

void addSettingsGateways(Links &links, const std::vector<std::string> &addresses)
{
    for (const std::string &address : addresses) {
        const std::size_t colon = address.rfind(':');
        const auto port = static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1));
        endpointAt(links, address.substr(0, colon), port).fromSettings = true;
    }
}

void setRoster(Links &links, const std::vector<Schema::Member> &roster)
{
    for (auto &entry : links.endpoints) {
        entry.second.onRoster = false;
    }
    for (const Schema::Member &member : roster) {
        Endpoint &endpoint =
                endpointAt(links, member.host, static_cast<std::uint16_t>(member.peerPort));
        endpoint.onRoster = true;
    }
}

Effects superviseLinks(Links &links, Common::Moment now)
{
    Effects effects;
    for (auto &entry : links.endpoints) {
        Endpoint &endpoint = entry.second;
        if (isSilent(links, endpoint, now)) {
            effects.emplace_back(CloseLink{endpoint.link});
            effects.emplace_back(CountReason{LinkLossesCounter, Schema::Reason::ConnectionLost});
            effects.emplace_back(LogLine{"link_silent", {{"gateway", entry.first}}});
            markClosed(links, endpoint, now);
        }
        if (endpoint.stage == LinkStage::Idle && endpoint.nextDialMs <= now.steadyMs
            && isWanted(links, endpoint)) {
            effects.emplace_back(dial(links, endpoint, now));
        }
    }
    removeUnwanted(links);
    return effects;
}

Endpoint *findLink(Links &links, LinkNumber link)
{
    for (auto &entry : links.endpoints) {
        if (entry.second.link == link && entry.second.stage != LinkStage::Idle) {
            return &entry.second;
        }
    }
    return nullptr;
}

Endpoint *findInstance(Links &links, const std::string &instance)
{
    for (auto &entry : links.endpoints) {
        Endpoint &endpoint = entry.second;
        if (endpoint.answered && endpoint.instance == instance) {
            return &endpoint;
        }
    }
    return nullptr;
}

void markOpen(Endpoint &endpoint, Common::Moment now)
{
    endpoint.stage = LinkStage::Open;
    endpoint.lastReceivedMs = now.steadyMs;
    endpoint.nextHelloMs = now.steadyMs;
}

void markClosed(Links &links, Endpoint &endpoint, Common::Moment now)
{
    endpoint.stage = LinkStage::Idle;
    endpoint.answered = false;
    endpoint.hellos.clear();
    endpoint.demand = 0;
    endpoint.sentWindow = 0;
    endpoint.backoffMs = std::clamp(endpoint.backoffMs * 2, MinBackoffMs, MaxBackoffMs);
    std::uniform_int_distribution<std::int64_t> jitter(endpoint.backoffMs / 2, endpoint.backoffMs);
    endpoint.nextDialMs = now.steadyMs + jitter(links.random);
}

std::int64_t nextHelloSequence(Links &links, Endpoint &endpoint, Common::Moment now)
{
    endpoint.hellos.push_back({++links.lastSequence, now.steadyMs});
    if (endpoint.hellos.size() > MaxUnansweredHellos) {
        endpoint.hellos.pop_front();
    }
    endpoint.nextHelloMs = now.steadyMs + links.options.heartbeatMs;
    return links.lastSequence;
}

std::optional<std::int64_t> recordPong(Endpoint &endpoint, const Schema::GatewayPong &pong)
{
    endpoint.instance = pong.instance;
    endpoint.answered = true;
    endpoint.backoffMs = 0;
    endpoint.demand = pong.demand;
    while (!endpoint.hellos.empty() && endpoint.hellos.front().sequence < pong.sequence) {
        endpoint.hellos.pop_front();
    }
    if (endpoint.hellos.empty() || endpoint.hellos.front().sequence != pong.sequence) {
        return std::nullopt;
    }
    const std::int64_t sentMs = endpoint.hellos.front().sentMs;
    endpoint.hellos.pop_front();
    return sentMs;
}

bool isDuplicate(const Links &links, const Endpoint &endpoint)
{
    return std::any_of(links.endpoints.begin(), links.endpoints.end(), [&](const auto &entry) {
        const Endpoint &other = entry.second;
        return &other != &endpoint && other.answered && !endpoint.instance.empty()
               && other.instance == endpoint.instance;
    });
}

} // namespace Agent
