#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Gateway/TransientControl.h"

namespace Gateway {

/// Links of the daemon for transient jobs to agents and other gateways. Dials some gateways,
/// announces this gateway and those that it knows on every open link, and closes silent links.
class TransientLinks
{
public:
    /// \a control and \a mailbox must outlive this object.
    TransientLinks(TransientControl &control, TransientMailbox &mailbox,
                   TransientEffectHandler carryOut);

    /// Starts to listen for peers. Throws std::runtime_error if it cannot listen on the address.
    void start();
    void stop();

    void on(const Net::LinkUp &event);
    void on(const Net::LinkDown &event);
    void on(const Net::FrameArrived &event);

    void sendTo(const Transient::SendToAgent &effect);
    void sendTo(const Transient::SendToGateway &effect);
    /// Replaces the queue table by \a newer, if that is newer. \a source is where it comes from,
    /// for the log.
    void takeQueues(Schema::QueueTable newer, const std::string &source);
    /// Sends the heartbeats that are due.
    void sendHeartbeats();
    /// Closes silent links, connects to gateways and reports the traffic.
    void runPeriodicWork();
    /// Time on the steady clock when runPeriodicWork() is next due.
    std::int64_t nextWakeMs() const;
    bool hasAgents() const;

private:
    struct PeerLink
    {
        /// Address that this process dialled; empty for an accepted link.
        std::string address;
        bool isOpen = false;
        /// Instance of the agent; empty unless the peer has announced itself as one.
        std::string agent;
        /// Name of the agent, the same for all its processes; empty like its instance.
        std::string agentName;
        std::optional<Schema::Member> gateway;
        /// Key of this link in Transient::Forwarding; empty until the gateway has announced itself.
        std::string forwardingKey;
        /// Of several links to the same gateway, one counts for what it can spare.
        bool countsSpare = false;
        std::int64_t lastReceivedMs = 0;
        Transient::ToldPeer told;
        Transient::ToldOrphans toldOrphans;
        Transient::QueuesPeer queues;
    };

    void agentAnnounced(Net::LinkId id, const Schema::AgentAnnouncement &announcement);
    std::optional<Net::LinkId> otherLinkOf(const std::string &agentName, Net::LinkId id) const;
    void replaceLink(Net::LinkId id);
    void gatewayAnnounced(Net::LinkId id, const Schema::GatewayAnnouncement &announcement);
    bool giveUpDuplicate(Net::LinkId id, const std::string &instance);
    void observeSpare(Net::LinkId id, const Schema::GatewayAnnouncement &announcement);
    /// Handles a frame about a forwarded job. Returns false if it is another frame.
    bool handleForwardingFrame(const PeerLink &link, const Schema::Frame &frame);
    void sendQueues(Net::LinkId id);
    void announceTo(Net::LinkId id, PeerLink &link);
    void closeSilentLinks();
    std::int64_t nextHeartbeatMs(const PeerLink &link) const;
    void dialGateways();
    void closeSurplusLinks();
    void reportTraffic();

    TransientControl &control;
    TransientMailbox &mailbox;
    TransientEffectHandler carryOut;
    std::map<Net::LinkId, PeerLink> links;
    std::map<std::string, Net::LinkId> agentLinks;
    /// By forwarding key.
    std::map<std::string, Net::LinkId> gatewayLinks;
    /// When the traffic was last reported, and what had been sent and used until then.
    std::int64_t trafficReportedMs = 0;
    Net::PeerHubTraffic reportedTraffic;
    double reportedCpuSeconds = 0;
    /// Longest time since the last report that a frame waited for the control thread.
    std::int64_t longestFrameDelayMs = 0;
    std::unique_ptr<Net::PeerHub> hub;
};

} // namespace Gateway
