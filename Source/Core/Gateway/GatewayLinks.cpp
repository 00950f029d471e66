#include "Gateway/GatewayLinks.h"

#include <algorithm>
#include <utility>

namespace Gateway {

using Common::LogLevel;

GatewayLinks::GatewayLinks(GatewayControl &control, ControlMailbox &mailbox,
                           DispatchEffectHandler carryOut)
    : control(control)
    , mailbox(mailbox)
    , carryOut(std::move(carryOut))
{}

void GatewayLinks::start()
{
    const Schema::GatewaySettings &settings = this->control.settings;
    this->hub = std::make_unique<Net::PeerHub>(
            Net::eventsTo(this->mailbox), this->control.budget->of(Net::Listener::Links),
            Net::countReleases(this->control.metrics, Net::Listener::Links));
    this->listenPort =
            this->hub->listen(settings.host, static_cast<std::uint16_t>(settings.peerPort));
}

void GatewayLinks::setSelf(const std::string &instance)
{
    this->links.self = instance;
}

void GatewayLinks::stop()
{
    this->hub->stop();
}

std::uint16_t GatewayLinks::port() const
{
    return this->listenPort;
}

Net::PeerHubTraffic GatewayLinks::traffic() const
{
    return this->hub->traffic();
}

void GatewayLinks::on(const Net::LinkUp &up)
{
    markLinkOpen(this->links, up.link, this->control.now);
}

void GatewayLinks::on(Net::FrameArrived &arrived)
{
    const auto known = this->links.links.find(arrived.link);
    if (known == this->links.links.end()) {
        return;
    }
    const Sender sender = senderOf(arrived.frame);
    if (sender.kind != PeerKind::Unidentified) {
        const Net::LinkId replaced = identifyLink(this->links, arrived.link, sender.kind,
                                                  sender.instance, this->control.now);
        if (replaced != 0) {
            this->closeLink(replaced);
        }
    }
    Link &link = this->links.links.at(arrived.link);
    link.lastReceivedMs = this->control.now.steadyMs;
    const PeerKind kind = link.kind;
    const std::string instance = link.instance;
    if (kind == PeerKind::Unidentified) {
        holdEarlyFrame(link, std::move(arrived.frame));
        return;
    }
    for (const Schema::Frame &frame : releaseEarlyFrames(link, std::move(arrived.frame))) {
        if (kind == PeerKind::Agent) {
            this->carryOut(Dispatch::handleAgentFrame(this->control.state, instance, frame,
                                                      this->control.now, this->control.random));
        } else {
            this->carryOut(Dispatch::handleGatewayFrame(this->control.state, instance, frame,
                                                        this->control.now));
        }
    }
}

void GatewayLinks::on(const Net::LinkDown &down)
{
    this->closeLink(down.link);
}

/// Closes and removes the link, and informs the decision code. A link that this gateway closes
/// itself is handled here at once, not only when the hub reports it as closed.
void GatewayLinks::closeLink(Net::LinkId id)
{
    this->hub->close(id);
    const Link link = removeLink(this->links, id);
    if (link.kind == PeerKind::Agent) {
        // Also needed if a new link of the same agent has replaced this one: frames on the old link
        // may be lost, so the agent has to be asked what arrived.
        Dispatch::handleAgentDisconnected(this->control.state, link.instance, this->control.now);
    } else if (link.kind == PeerKind::Gateway) {
        Dispatch::handleGatewayDisconnected(this->control.state, link.instance);
    }
}

void GatewayLinks::sendTo(const Dispatch::SendToGateway &send)
{
    const Net::LinkId link = linkTo(this->links, send.instance);
    if (link == 0 || !this->hub->send(link, send.frame)) {
        this->countUndeliverable("gateway");
        // A forwarded request that could not be sent is tried again, like all others forwarded to
        // that gateway: the owner answers a request once, and has not received this one.
        if (send.frame.type == Schema::FrameType::Forward) {
            Dispatch::handleGatewayDisconnected(this->control.state, send.instance);
        }
        return;
    }
    this->countSent(send.frame);
}

void GatewayLinks::sendTo(const Dispatch::SendToAgent &send)
{
    const Net::LinkId link = linkTo(this->links, send.instance);
    if (link == 0) {
        this->countUndeliverable("agent");
        return;
    }
    if (!this->hub->send(link, send.frame)) {
        // The frame is lost. The agent is asked what arrived only after it has connected again, so
        // the link is closed.
        this->countUndeliverable("agent");
        this->closeLink(link);
        return;
    }
    this->countSent(send.frame);
    if (send.frame.startTasks) {
        this->control.metrics.count("auburntrail_task_starts_sent_total", {},
                                    static_cast<double>(send.frame.startTasks->tasks.size()));
    }
}

void GatewayLinks::countSent(const Schema::Frame &frame)
{
    this->control.metrics.count("auburntrail_frames_sent_total",
                                {{"type", Schema::enumName(frame.type)}});
}

void GatewayLinks::countUndeliverable(const char *peer)
{
    this->control.metrics.count("auburntrail_frames_undeliverable_total", {{"to", peer}});
}

void GatewayLinks::dialMembers()
{
    const Dispatch::ControlTable &table = this->control.state.site.ownership.table;
    // Members do not know a gateway that has not joined yet, so it dials all of them.
    const bool isMember = Dispatch::onRoster(table, this->control.state.self.instance);
    for (const Schema::Member &member : table.roster) {
        const bool isDialledByUs = !isMember || shouldDial(this->links, member.instance);
        if (member.instance == this->control.state.self.instance || !isDialledByUs
            || this->links.outboundTo.count(member.instance) != 0) {
            continue;
        }
        std::int64_t &lastMs = this->lastDialMs[member.instance];
        if (lastMs != 0
            && this->control.now.steadyMs < lastMs + this->control.settings.heartbeatMs) {
            continue;
        }
        lastMs = this->control.now.steadyMs;
        const Net::LinkId link =
                this->hub->connect(member.host, static_cast<std::uint16_t>(member.peerPort));
        addDialledLink(this->links, link, member.instance, this->control.now);
    }
}

void GatewayLinks::closeSilentLinks()
{
    const auto silent = silentLinks(
            this->links, this->control.now,
            std::max(this->control.settings.agentSilenceMs, this->control.settings.peerSilenceMs));
    for (const Net::LinkId id : silent) {
        Common::logEvent(LogLevel::Warning, "link_silent",
                         {{"peer", this->links.links.at(id).instance}});
        this->control.metrics.count("auburntrail_links_silent_total");
        this->closeLink(id);
    }
}

} // namespace Gateway
