#include "Gateway/TransientControl.h"

#include <utility>

namespace Gateway {

TransientControl::TransientControl(Schema::TransientGatewaySettings settings)
    : settings(std::move(settings))
    , discovery(Transient::makeDiscovery({this->settings.name, this->settings.failureDomain,
                                          this->settings.peerAddress, this->settings.seeds,
                                          static_cast<std::size_t>(this->settings.gatewayLinks)}))
    , budget(Net::processLimits(this->settings), {Net::Listener::Callers, Net::Listener::Links,
                                                  Net::Listener::Probe, Net::Listener::Metrics})
    , random(Common::makeRandom())
    , now(Common::currentMoment())
{
    const Net::Address peer = Net::parseAddress(this->settings.peerAddress);
    this->self.instance = this->settings.name + '-' + Common::randomId(this->random);
    this->self.host = peer.host;
    this->self.peerPort = peer.port;
    this->self.failureDomain = this->settings.failureDomain;
    this->state.orphanRelay.self = this->self.instance;
    this->state.startedMs = this->now.steadyMs;
    this->queuesConfirmedMs = this->now.steadyMs;
    this->state.times.settleMs =
            Transient::settleTimeMs(this->settings.silenceMs, this->settings.leaseMs);
    this->state.capacity =
            Transient::makeCapacity(this->settings.linkMbitPerS, this->settings.processors);
    this->state.shared.fromGateways = static_cast<std::size_t>(this->settings.sharedFromGateways);
    Transient::switchOff(this->state, this->settings.disabledDecisions);
}

void observeOwnDelaySince(TransientControl &control, std::int64_t arrivedMs)
{
    Transient::observeOwnDelay(control.state.ownDelay,
                               static_cast<double>(control.now.steadyMs - arrivedMs));
}

} // namespace Gateway
