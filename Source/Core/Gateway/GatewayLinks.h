#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "Gateway/GatewayControl.h"
#include "Gateway/Links.h"
#include "Net/Net.h"

namespace Gateway {

/// Links of the gateway daemon to agents and other gateways. Dials members, identifies the peer of
/// an accepted link by the first frame that names it, and closes silent links.
class GatewayLinks
{
public:
    /// \a control and \a mailbox must outlive this object.
    GatewayLinks(GatewayControl &control, ControlMailbox &mailbox, DispatchEffectHandler carryOut);

    /// Starts to listen for peers. Throws std::runtime_error if it cannot listen on the address.
    void start();
    /// Sets the instance of this gateway, which is created once its ports are known.
    void setSelf(const std::string &instance);
    void stop();
    std::uint16_t port() const;
    Net::PeerHubTraffic traffic() const;

    void on(const Net::LinkUp &up);
    void on(Net::FrameArrived &arrived);
    void on(const Net::LinkDown &down);
    void sendTo(const Dispatch::SendToGateway &send);
    void sendTo(const Dispatch::SendToAgent &send);

    void dialMembers();
    void closeSilentLinks();

private:
    void closeLink(Net::LinkId id);
    void countSent(const Schema::Frame &frame);
    void countUndeliverable(const char *peer);

    GatewayControl &control;
    ControlMailbox &mailbox;
    DispatchEffectHandler carryOut;
    LinkTable links;
    std::map<std::string, std::int64_t> lastDialMs;
    std::uint16_t listenPort = 0;
    std::unique_ptr<Net::PeerHub> hub;
};

} // namespace Gateway
