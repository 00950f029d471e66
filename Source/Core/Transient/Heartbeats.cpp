#include "Transient/Heartbeats.h"

#include <algorithm>

namespace Transient {

namespace {

/// While a site starts, gateways are added one after another: a few lists tell of all.
constexpr std::int64_t GatewaysMinIntervalMs = 100;

std::int64_t nextGatewaysMs(const ToldPeer &told, const Discovery &discovery)
{
    const std::int64_t allMs = told.allGatewaysSentMs + listIntervalMs(discovery);
    const bool hasChanged = told.gatewaysChange != discovery.change;
    return hasChanged ? std::min(allMs, told.gatewaysSentMs + GatewaysMinIntervalMs) : allMs;
}

void addEvacuations(Schema::GatewayAnnouncement &announcement, const Evacuations &evacuations,
                    ToldPeer &told, Common::Moment now)
{
    if (evacuations.readMs) {
        announcement.operatorsReadMsAgo = now.steadyMs - *evacuations.readMs;
    }
    if (told.evacuationsChange != evacuations.change) {
        announcement.evacuations = evacuationsToTell(evacuations, now);
        told.evacuationsChange = evacuations.change;
    }
}

} // namespace

std::int64_t nextHeartbeatMs(const ToldPeer &told, const Discovery &discovery,
                             const Evacuations &evacuations, std::int64_t heartbeatMs)
{
    if (told.evacuationsChange != evacuations.change) {
        return told.sentMs;
    }
    return std::min(told.sentMs + heartbeatMs, nextGatewaysMs(told, discovery));
}

Schema::GatewayAnnouncement makeHeartbeat(const Schema::Member &self, const Discovery &discovery,
                                          const Evacuations &evacuations, ToldPeer &told,
                                          Common::Moment now)
{
    Schema::GatewayAnnouncement announcement;
    announcement.gateway = self;
    told.sentMs = now.steadyMs;
    addEvacuations(announcement, evacuations, told, now);
    if (now.steadyMs < nextGatewaysMs(told, discovery)) {
        return announcement;
    }
    const bool listsAll = now.steadyMs >= told.allGatewaysSentMs + listIntervalMs(discovery);
    if (listsAll) {
        told.allGatewaysSentMs = now.steadyMs;
    }
    announcement.others = gatewaysSince(discovery, listsAll ? 0 : told.gatewaysChange, now);
    told.gatewaysChange = discovery.change;
    told.gatewaysSentMs = now.steadyMs;
    return announcement;
}

} // namespace Transient
