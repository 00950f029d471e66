#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "Gateway/GatewayControl.h"
#include "Gateway/Links.h"
#include "Net/Net.h"

namespace Gateway {

/// Links of the gateway daemon to agents and other gateways: dialled, told apart by their first
/// frames, and given up when silent.
class GatewayLinks
{
public:
    /// The first two must outlive this.
    GatewayLinks(GatewayControl &control, ControlMailbox &mailbox, DispatchEffectHandler carryOut);

    /// Listens for peers. Throws std::runtime_error where the address cannot be had.
    void start();
    /// Named when its ports are known.
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
