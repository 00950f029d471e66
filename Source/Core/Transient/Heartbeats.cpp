#include "Transient/Heartbeats.h"

#include <algorithm>

namespace Transient {

namespace {

/// A quarter of the time for which an address that others report is dialled.
constexpr std::int64_t GatewaysRepeatMs = 5000;
/// While a site starts, gateways are added one after another: a few lists tell of all.
constexpr std::int64_t GatewaysMinIntervalMs = 100;

bool isGateway(const Schema::Member &left, const Schema::Member &right)
{
    return left.instance == right.instance;
}

std::int64_t nextGatewaysMs(const ToldPeer &told, const ConnectedGateways &gateways)
{
    const bool hasChanged = told.gatewaysChange != gateways.change;
    return told.gatewaysSentMs + (hasChanged ? GatewaysMinIntervalMs : GatewaysRepeatMs);
}

} // namespace

void addConnected(ConnectedGateways &gateways, const Schema::Member &gateway)
{
    const bool isKnown =
            std::any_of(gateways.others.begin(), gateways.others.end(),
                        [&](const Schema::Member &other) { return isGateway(other, gateway); });
    if (!isKnown) {
        gateways.others.push_back(gateway);
        ++gateways.change;
    }
}

void removeConnected(ConnectedGateways &gateways, const Schema::Member &gateway)
{
    std::vector<Schema::Member> &others = gateways.others;
    others.erase(
            std::remove_if(others.begin(), others.end(),
                           [&](const Schema::Member &other) { return isGateway(other, gateway); }),
            others.end());
}

std::int64_t nextHeartbeatMs(const ToldPeer &told, const ConnectedGateways &gateways,
                             std::int64_t heartbeatMs)
{
    return std::min(told.sentMs + heartbeatMs, nextGatewaysMs(told, gateways));
}

Schema::GatewayAnnouncement makeHeartbeat(const ConnectedGateways &gateways, ToldPeer &told,
                                          Common::Moment now)
{
    Schema::GatewayAnnouncement announcement;
    announcement.gateway = gateways.self;
    told.sentMs = now.steadyMs;
    if (now.steadyMs >= nextGatewaysMs(told, gateways)) {
        announcement.others = gateways.others;
        told.gatewaysChange = gateways.change;
        told.gatewaysSentMs = now.steadyMs;
    }
    return announcement;
}

} // namespace Transient
