#include "Gateway/TransientControl.h"

#include <utility>

namespace Gateway {

namespace {

/// Timers may fire late.
constexpr std::int64_t SettleSlackMs = 170;
/// A backend server's clock may be slow by one part in so many.
constexpr std::int64_t ClockRateShare = 50;

} // namespace

TransientControl::TransientControl(Schema::TransientGatewaySettings settings)
    : settings(std::move(settings))
    , discovery(Transient::makeDiscovery(this->settings.peerAddress, this->settings.seeds))
    , random(Common::makeRandom())
    , now(Common::currentMoment())
{
    const Net::Address peer = Net::parseAddress(this->settings.peerAddress);
    this->self.instance = this->settings.name + '-' + Common::randomId(this->random);
    this->self.host = peer.host;
    this->self.peerPort = peer.port;
    this->self.failureDomain = this->settings.failureDomain;
    this->state.startedMs = this->now.steadyMs;
    this->state.times.settleMs = this->settings.silenceMs + this->settings.leaseMs
                                 + this->settings.leaseMs / ClockRateShare + SettleSlackMs;
}

} // namespace Gateway
