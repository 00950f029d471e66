#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Gateway/TransientControl.h"

namespace Gateway {

/// Links of the daemon for transient jobs to agents and other gateways: dialled, told of each
/// other, and dropped when silent.
class TransientLinks
{
public:
    /// The first two must outlive this.
    TransientLinks(TransientControl &control, TransientMailbox &mailbox,
                   TransientEffectHandler carryOut);

    /// Listens for peers. Throws std::runtime_error where the address cannot be had.
    void start();
    void stop();

    void on(const Net::LinkUp &event);
    void on(const Net::LinkDown &event);
    void on(const Net::FrameArrived &event);

    void sendTo(const Transient::SendToAgent &effect);
    /// Puts \a newer in force and tells the other gateways, where it is newer.
    void takeQueues(Schema::QueueTable newer, const std::string &source);
    void runPeriodicWork();
    /// When runPeriodicWork() has something to do.
    std::int64_t nextWakeMs() const;
    bool hasAgents() const;

private:
    struct PeerLink
    {
        /// Where this process dialled; empty for a link that was accepted.
        std::string address;
        bool isOpen = false;
        /// Instance of the agent; empty where the peer is none.
        std::string agent;
        std::optional<Schema::Member> gateway;
        std::int64_t lastReceivedMs = 0;
        std::int64_t sentMs = 0;
    };

    void agentAnnounced(Net::LinkId id, const Schema::AgentAnnouncement &announcement);
    void gatewayAnnounced(Net::LinkId id, const Schema::GatewayAnnouncement &announcement);
    void sendQueues(Net::LinkId id);
    void announceTo(Net::LinkId id, PeerLink &link);
    void announceToAll();
    void closeSilentLinks();
    void dialGateways();
    std::vector<Schema::Member> connectedGateways() const;

    TransientControl &control;
    TransientMailbox &mailbox;
    TransientEffectHandler carryOut;
    std::map<Net::LinkId, PeerLink> links;
    std::map<std::string, Net::LinkId> agentLinks;
    std::unique_ptr<Net::PeerHub> hub;
};

} // namespace Gateway
