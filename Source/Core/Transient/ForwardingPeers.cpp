#include "Transient/ForwardingPeers.h"

#include <algorithm>
#include <random>

#include "Transient/JobsInternal.h"
#include "Transient/Resubmission.h"

namespace Transient {

namespace {

/// Used share from which on jobs are forwarded, and by how much more all are. A share that grows
/// with the use settles, while a single limit would make all load go back and forth.
constexpr double ForwardFromShare = 0.45;
constexpr double ForwardAllRange = 0.25;
/// A gateway takes forwarded jobs up to this share of its own processors.
constexpr double TakeUpToShare = 0.6;
/// A job takes about 1 ms of a processor.
constexpr double JobsPerProcessorMs = 1;

static_assert(OldAnnouncementMs < GrantMs);

/// Least processors that a peer has to spare to be sent a job: as many as this machine has, so that
/// gateways of equal size do not send jobs to and fro. Where requests wait already, less is enough.
double leastSpareProcessors(const GatewayState &state, Common::Moment now)
{
    constexpr double SaturatedShare = 0.25;
    const double own = availableProcessors(state);
    return isStanding(state.requestQueue, now.steadyMs) ? own * SaturatedShare : own;
}

} // namespace

bool takesPartInForwarding(const GatewayState &state)
{
    return isShared(state.shared) && state.shared.forwards && !state.isStopping
           && state.capacity.processors > 0;
}

double availableProcessors(const GatewayState &state)
{
    return state.forwarding.use.available.value_or(state.capacity.processors);
}

Capacity presentCapacity(const GatewayState &state)
{
    return {state.capacity.linkBytesPerMs, availableProcessors(state)};
}

double spareProcessors(const GatewayState &state)
{
    return std::max(0.0, TakeUpToShare - state.forwarding.use.usedShare)
           * availableProcessors(state);
}

double forwardedShare(double usedShare)
{
    return std::clamp((usedShare - ForwardFromShare) / ForwardAllRange, 0.0, 1.0);
}

void addSpare(Schema::GatewayAnnouncement &announcement, const GatewayState &state,
              const std::string &peer, Common::Moment now)
{
    if (!isShared(state.shared) || !state.shared.forwards) {
        return;
    }
    announcement.sentMs = now.steadyMs;
    const auto found = state.forwarding.peers.find(peer);
    announcement.echoMs = found == state.forwarding.peers.end() ? 0 : found->second.sentMs;
    if (takesPartInForwarding(state)) {
        announcement.spareProcessors = spareProcessors(state);
    }
}

void spareAnnounced(GatewayState &state, const std::string &peer,
                    const Schema::GatewayAnnouncement &announcement, Common::Moment now)
{
    if (!announcement.sentMs) {
        return;
    }
    ForwardingPeer &known = state.forwarding.peers[peer];
    known.spareProcessors = announcement.spareProcessors.value_or(0);
    known.budget =
            known.spareProcessors * static_cast<double>(SpareIntervalMs) * JobsPerProcessorMs;
    known.sentMs = *announcement.sentMs;
    known.heardMs = now.steadyMs;
}

std::map<std::string, ForwardingPeer>::iterator choosePeer(GatewayState &state, Common::Moment now,
                                                           Common::Random &random)
{
    std::map<std::string, ForwardingPeer> &peers = state.forwarding.peers;
    const double leastSpare = leastSpareProcessors(state, now);
    const auto weight = [leastSpare, now](const ForwardingPeer &peer) {
        const bool isEligible = peer.spareProcessors >= leastSpare && peer.budget >= 1
                                && now.steadyMs <= peer.heardMs + OldAnnouncementMs;
        return isEligible ? peer.spareProcessors : 0;
    };
    double total = 0;
    for (const auto &[key, peer] : peers) {
        total += weight(peer);
    }
    if (total <= 0) {
        return peers.end();
    }
    double left = std::uniform_real_distribution<double>(0, total)(random);
    auto chosen = peers.end();
    for (auto entry = peers.begin(); entry != peers.end(); ++entry) {
        if (weight(entry->second) > 0) {
            chosen = entry;
            left -= weight(entry->second);
            if (left < 0) {
                break;
            }
        }
    }
    return chosen;
}

} // namespace Transient
