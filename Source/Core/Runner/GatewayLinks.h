#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Net/Net.h"
#include "Runner/Release.h"
#include "Runner/Reports.h"
#include "Runner/RunnerControl.h"

namespace Runner {

/// Links of an agent to gateways: dials some, announces the agent on them, sends its reports, and
/// gives links up that are silent, not needed or duplicates.
class GatewayLinks
{
public:
    /// \a control must outlive this object. \a handle carries out the effects of a decision.
    GatewayLinks(RunnerControl &control, std::function<void(const Effects &)> handle);

    void start(Net::PeerHubEvents events);
    void stop();

    void on(const Net::LinkUp &event);
    void on(const Net::LinkDown &event);
    void on(const Net::FrameArrived &event);

    /// Adds the state of an attempt to the next report to its gateway.
    void report(const ReportAttempt &effect);
    /// Announces the agent to all gateways.
    void announce();
    /// Closes silent links, dials gateways and releases those that are not needed.
    void runPeriodicWork();
    /// Sends the reports that are due.
    void sendReports();
    /// Time on the steady clock when the next work is due.
    std::int64_t nextWakeMs() const;
    /// Whether any gateway has announced itself.
    bool hasGateway() const;

private:
    /// A connection to a gateway, from the connection attempt on.
    struct GatewayLink
    {
        std::string address;
        /// Empty until the gateway has announced itself.
        std::string instance;
        std::int64_t lastReceivedMs = 0;
        GatewayReports reports;
    };

    void gatewayAnnounced(Net::LinkId id, const Schema::GatewayAnnouncement &announcement);
    bool giveUpDuplicate(Net::LinkId id, const std::string &instance);
    void evacuationsAnnounced(const Schema::GatewayAnnouncement &announcement);
    void announceTo(Net::LinkId id, GatewayLink &link);
    void sendTo(Net::LinkId id, const Schema::Frame &frame);
    void dialGateways();
    void closeSilentLinks();
    void releaseGateways();

    RunnerControl &control;
    std::function<void(const Effects &)> handle;
    std::map<Net::LinkId, GatewayLink> links;
    /// Gateways whose connection was lost, by instance, and when.
    std::map<std::string, std::int64_t> disconnectedGateways;
    /// By address: the gateway instance that last announced itself there.
    std::map<std::string, std::string> instanceAt;
    std::unique_ptr<Net::PeerHub> hub;
};

} // namespace Runner
