#include "Runner/GatewayLinks.h"

#include <algorithm>
#include <utility>

#include "Runner/Load.h"
#include "Runner/Runner.h"

namespace Runner {

namespace {

using Common::LogLevel;

/// A lost connection may be restored at once if its gateway still runs, so tasks of the gateway
/// continue for this long. This is far below the time after which callers submit again.
constexpr std::int64_t ReconnectGraceMs = 300;

} // namespace

GatewayLinks::GatewayLinks(RunnerControl &control, std::function<void(const Effects &)> handle)
    : control(control)
    , handle(std::move(handle))
{}

void GatewayLinks::start(Net::PeerHubEvents events)
{
    this->hub = std::make_unique<Net::PeerHub>(std::move(events));
}

void GatewayLinks::stop()
{
    this->hub->stop();
}

std::int64_t GatewayLinks::nextWakeMs() const
{
    std::int64_t next = Transient::nextDialMs(this->control.discovery);
    for (const auto &[id, link] : this->links) {
        if (!link.instance.empty()) {
            next = std::min(next, link.reports.sentMs + this->control.settings.heartbeatMs);
        }
    }
    for (const auto &[instance, sinceMs] : this->disconnectedGateways) {
        next = std::min(next, sinceMs + ReconnectGraceMs);
    }
    return next;
}

bool GatewayLinks::hasGateway() const
{
    return std::any_of(this->links.begin(), this->links.end(),
                       [](const auto &entry) { return !entry.second.instance.empty(); });
}

void GatewayLinks::runPeriodicWork()
{
    this->closeSilentLinks();
    this->dialGateways();
    this->releaseGateways();
}

void GatewayLinks::on(const Net::LinkUp &event)
{
    const auto found = this->links.find(event.link);
    if (found != this->links.end()) {
        found->second.lastReceivedMs = this->control.now.steadyMs;
    }
}

void GatewayLinks::on(const Net::LinkDown &event)
{
    const auto found = this->links.find(event.link);
    if (found == this->links.end()) {
        return;
    }
    Transient::dialEnded(this->control.discovery, found->second.address, this->control.now);
    const std::string &instance = found->second.instance;
    if (found->second.reports.releasedMs && !hasRuns(this->control.state, instance)) {
        Common::logEvent(LogLevel::Info, "gateway_released", {{"gateway", instance}});
        gatewayReleased(this->control.state, instance);
    } else if (!instance.empty()) {
        Common::logEvent(LogLevel::Info, "gateway_unlinked", {{"gateway", instance}});
        this->disconnectedGateways[instance] = this->control.now.steadyMs;
    }
    this->links.erase(found);
}

void GatewayLinks::on(const Net::FrameArrived &event)
{
    const auto found = this->links.find(event.link);
    if (found == this->links.end()) {
        return;
    }
    GatewayLink &link = found->second;
    link.lastReceivedMs = this->control.now.steadyMs;
    const Schema::Frame &frame = event.frame;
    if (frame.gatewayAnnouncement) {
        this->gatewayAnnounced(event.link, *frame.gatewayAnnouncement);
    } else if (link.instance.empty()) {
        Common::logEvent(LogLevel::Warning, "frame_unexpected",
                         {{"type", Schema::enumName(frame.type)}});
    } else if (frame.taskOrders) {
        this->handle(ordersReceived(this->control.state, link.instance, *frame.taskOrders,
                                    this->control.now));
    } else if (frame.withdrawTasks) {
        this->handle(withdrawReceived(this->control.state, link.instance, *frame.withdrawTasks,
                                      this->control.now));
    }
}

void GatewayLinks::gatewayAnnounced(Net::LinkId id, const Schema::GatewayAnnouncement &announcement)
{
    Transient::addGateways(this->control.discovery, announcement.others, this->control.now);
    this->evacuationsAnnounced(announcement);
    if (this->giveUpDuplicate(id, announcement.gateway.instance)) {
        return;
    }
    GatewayLink &link = this->links.at(id);
    link.reports.loadIntervalMs = announcement.loadIntervalMs.value_or(0);
    if (!link.instance.empty()) {
        grantReceived(this->control.state, link.instance, announcement.echoMs);
        return;
    }
    link.instance = announcement.gateway.instance;
    Schema::Member gateway = announcement.gateway;
    // A gateway behind a proxy gives another address for itself. If both were dialled, it would
    // take each connection for a replacement of the other, and the agent for lost.
    const Net::Address dialled = Net::parseAddress(link.address);
    gateway.host = dialled.host;
    gateway.peerPort = dialled.port;
    Transient::addAnnouncedGateway(this->control.discovery, gateway, this->control.now);
    Transient::gatewayConnected(this->control.discovery, link.address, this->control.now);
    std::string &lastHere = this->instanceAt[link.address];
    if (!lastHere.empty() && lastHere != link.instance) {
        this->disconnectedGateways.erase(lastHere);
        this->handle(gatewayLost(this->control.state, lastHere, this->control.now));
    }
    lastHere = link.instance;
    this->disconnectedGateways.erase(link.instance);
    Common::logEvent(LogLevel::Info, "gateway_linked",
                     {{"gateway", link.instance}, {"address", link.address}});
    this->announceTo(id, link);
    const auto recentEnds = this->control.state.recentEnds.find(link.instance);
    if (recentEnds != this->control.state.recentEnds.end()) {
        for (const RecentEnd &end : recentEnds->second) {
            link.reports.unsent.push_back(end.state);
        }
    }
}

/// Closes a link to a gateway that answers on another one already: its address was listed in two
/// spellings. Before this agent has announced itself, the gateway holds nothing for the link. With
/// both links, the gateway took each announcement for a new connection of the agent and closed the
/// other link, and the agent connected again without an end.
bool GatewayLinks::giveUpDuplicate(Net::LinkId id, const std::string &instance)
{
    const auto elder = std::find_if(
            this->links.begin(), this->links.end(), [&instance, id](const auto &entry) {
                return entry.first != id && entry.second.instance == instance;
            });
    if (elder == this->links.end() || !this->links.at(id).instance.empty()) {
        return false;
    }
    const std::string address = this->links.at(id).address;
    Common::logEvent(
            LogLevel::Info, "gateway_address_is_alias",
            {{"gateway", instance}, {"address", address}, {"known_as", elder->second.address}});
    Transient::markAlias(this->control.discovery, address, elder->second.address);
    this->hub->close(id);
    this->links.erase(id);
    return true;
}

void GatewayLinks::evacuationsAnnounced(const Schema::GatewayAnnouncement &announcement)
{
    if (announcement.evacuations) {
        this->handle(evacuationsTold(this->control.state, *announcement.evacuations,
                                     announcement.gateway.instance, this->control.now));
    }
    Transient::confirmEvacuations(this->control.state.evacuations, announcement, this->control.now);
}

void GatewayLinks::announceTo(Net::LinkId id, GatewayLink &link)
{
    this->sendTo(id, makeAnnouncement(this->control.state, link.reports, link.instance,
                                      this->control.now));
}

void GatewayLinks::sendTo(Net::LinkId id, const Schema::Frame &frame)
{
    if (!this->hub->send(id, frame)) {
        // The content of the frame is sent again on the next connection.
        this->control.metrics.count("auburntrail_frames_undeliverable_total", {{"to", "gateway"}});
        this->hub->close(id);
    }
}

void GatewayLinks::report(const ReportAttempt &effect)
{
    for (auto &[id, link] : this->links) {
        if (link.instance == effect.gateway) {
            link.reports.unsent.push_back(effect.state);
            return;
        }
    }
}

void GatewayLinks::announce()
{
    for (auto &[id, link] : this->links) {
        if (!link.instance.empty()) {
            this->announceTo(id, link);
        }
    }
}

void GatewayLinks::dialGateways()
{
    for (const std::string &address :
         Transient::gatewaysToDial(this->control.discovery, this->control.now)) {
        const Net::Address target = Net::parseAddress(address);
        const Net::LinkId id =
                this->hub->connect(target.host, target.port, Transient::DialTimeoutMs);
        GatewayLink link;
        link.address = address;
        link.lastReceivedMs = this->control.now.steadyMs;
        this->links.emplace(id, std::move(link));
    }
}

void GatewayLinks::closeSilentLinks()
{
    for (const auto &[id, link] : this->links) {
        if (this->control.now.steadyMs > link.lastReceivedMs + this->control.settings.silenceMs) {
            // Gateways send heartbeats three times as often, so the connection or the gateway has
            // failed, unless frames wait for this thread.
            this->hub->closeIfSilent(id, this->control.settings.silenceMs);
        }
    }
    for (auto entry = this->disconnectedGateways.begin();
         entry != this->disconnectedGateways.end();) {
        if (this->control.now.steadyMs < entry->second + ReconnectGraceMs) {
            ++entry;
            continue;
        }
        this->handle(gatewayLost(this->control.state, entry->first, this->control.now));
        entry = this->disconnectedGateways.erase(entry);
    }
}

void GatewayLinks::releaseGateways()
{
    for (auto &[id, link] : this->links) {
        if (link.instance.empty()) {
            continue;
        }
        const bool isSurplus = Transient::isSurplus(this->control.discovery, link.address);
        const ReleaseStep step = nextReleaseStep(this->control.state, link.reports, link.instance,
                                                 isSurplus, this->control.now);
        if (step == ReleaseStep::Announce) {
            this->announceTo(id, link);
        } else if (step == ReleaseStep::Close) {
            this->hub->close(id);
        }
    }
}

void GatewayLinks::sendReports()
{
    for (auto &[id, link] : this->links) {
        if (!link.instance.empty()
            && isReportDue(this->control.state, link.reports, this->links.size(),
                           this->control.now)) {
            this->sendTo(id, makeReport(this->control.state, link.reports, link.instance,
                                        this->control.now));
        }
    }
}

} // namespace Runner
