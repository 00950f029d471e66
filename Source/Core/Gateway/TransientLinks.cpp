#include "Gateway/TransientLinks.h"

#include <algorithm>
#include <utility>

namespace Gateway {

using Common::LogLevel;

namespace {

constexpr std::int64_t TrafficReportIntervalMs = 1000;

} // namespace

TransientLinks::TransientLinks(TransientControl &control, TransientMailbox &mailbox,
                               TransientEffectHandler carryOut)
    : control(control)
    , mailbox(mailbox)
    , carryOut(std::move(carryOut))
{}

void TransientLinks::start()
{
    Net::PeerHubEvents events = Net::eventsTo(this->mailbox);
    events.received = [this, post = events.received](Net::LinkId link, Schema::Frame frame) {
        post(link, std::move(frame));
        this->control.load.frameRead();
    };
    this->hub = std::make_unique<Net::PeerHub>(
            std::move(events), this->control.budget.of(Net::Listener::Links),
            Net::countReleases(this->control.metrics, Net::Listener::Links));
    const Net::Address own = Net::parseAddress(this->control.settings.peerAddress);
    this->control.self.peerPort = this->hub->listen(own.host, own.port);
    this->trafficReportedMs = Common::currentMoment().steadyMs;
}

void TransientLinks::stop()
{
    this->hub->stop();
}

void TransientLinks::on(const Net::LinkUp &event)
{
    PeerLink &link = this->links[event.link];
    link.isOpen = true;
    link.lastReceivedMs = this->control.now.steadyMs;
    this->announceTo(event.link, link);
}

void TransientLinks::on(const Net::LinkDown &event)
{
    const auto found = this->links.find(event.link);
    if (found == this->links.end()) {
        return;
    }
    const PeerLink link = found->second;
    this->links.erase(found);
    if (!link.address.empty()) {
        Transient::dialEnded(this->control.discovery, link.address, this->control.now);
    }
    if (link.gateway) {
        Common::logEvent(LogLevel::Info, "gateway_unlinked", {{"gateway", link.gateway->instance}});
        this->gatewayLinks.erase(link.forwardingKey);
        this->carryOut(Transient::handlePeerLost(this->control.state, link.forwardingKey,
                                                 this->control.now));
    }
    const auto agent = this->agentLinks.find(link.agent);
    if (agent != this->agentLinks.end() && agent->second == event.link) {
        this->agentLinks.erase(agent);
        this->carryOut(Transient::handleAgentDisconnected(this->control.state, link.agent,
                                                          this->control.now));
    }
}

void TransientLinks::on(const Net::FrameArrived &event)
{
    const auto found = this->links.find(event.link);
    if (found == this->links.end()) {
        return;
    }
    PeerLink &link = found->second;
    link.lastReceivedMs = this->control.now.steadyMs;
    this->longestFrameDelayMs =
            std::max(this->longestFrameDelayMs, this->control.now.steadyMs - event.arrivedMs);
    observeOwnDelaySince(this->control, event.arrivedMs);
    const Schema::Frame &frame = event.frame;
    this->control.load.begin(link.agent.empty() ? ControlWork::GatewayFrames
                                                : ControlWork::AgentFrames);
    if (frame.agentAnnouncement) {
        this->agentAnnounced(event.link, *frame.agentAnnouncement);
    } else if (frame.agentReport && !link.agent.empty()) {
        this->carryOut(Transient::agentReported(this->control.state, link.agent, *frame.agentReport,
                                                this->control.now, this->control.random));
    } else if (frame.gatewayAnnouncement) {
        this->gatewayAnnounced(event.link, *frame.gatewayAnnouncement);
    } else if (frame.queueTable) {
        this->takeQueues(*frame.queueTable, link.gateway ? link.gateway->instance : "unknown");
    } else if (!link.gateway || !this->handleForwardingFrame(link, frame)) {
        Common::logEvent(LogLevel::Warning, "frame_unexpected",
                         {{"type", Schema::enumName(frame.type)}});
    }
}

void TransientLinks::agentAnnounced(Net::LinkId id, const Schema::AgentAnnouncement &announcement)
{
    const std::optional<Net::LinkId> otherLink = this->otherLinkOf(announcement.name, id);
    if (otherLink && *otherLink > id) {
        // It was sent before the agent connected again, or by the agent's previous process.
        Common::logEvent(LogLevel::Warning, "agent_announcement_late",
                         {{"agent", announcement.instance}});
        this->hub->close(id);
        this->links.erase(id);
        return;
    }
    if (otherLink) {
        this->replaceLink(*otherLink);
    }
    PeerLink &link = this->links.at(id);
    link.agent = announcement.instance;
    link.agentName = announcement.name;
    this->agentLinks[announcement.instance] = id;
    this->carryOut(Transient::agentAnnounced(this->control.state, announcement, this->control.now,
                                             this->control.random));
    this->announceTo(id, link);
}

std::optional<Net::LinkId> TransientLinks::otherLinkOf(const std::string &agentName,
                                                       Net::LinkId id) const
{
    const auto found = std::find_if(
            this->links.begin(), this->links.end(), [&agentName, id](const auto &entry) {
                return entry.first != id && entry.second.agentName == agentName;
            });
    return found == this->links.end() ? std::nullopt : std::optional(found->first);
}

/// Closes the link on which an agent was before it connected again. The frames sent on it may be
/// lost, so that the agent counts as disconnected. Those that arrive from now on are dropped: an
/// announcement among them would not list what the agent has received on its present link, and its
/// tasks would be sent to others while they run.
void TransientLinks::replaceLink(Net::LinkId id)
{
    const std::string agent = this->links.at(id).agent;
    Common::logEvent(LogLevel::Info, "agent_link_replaced", {{"agent", agent}});
    this->hub->close(id);
    this->links.erase(id);
    this->agentLinks.erase(agent);
    this->carryOut(
            Transient::handleAgentDisconnected(this->control.state, agent, this->control.now));
}

void TransientLinks::gatewayAnnounced(Net::LinkId id,
                                      const Schema::GatewayAnnouncement &announcement)
{
    if (this->giveUpDuplicate(id, announcement.gateway.instance)) {
        return;
    }
    PeerLink &link = this->links.at(id);
    Transient::addAnnouncedGateway(this->control.discovery, announcement.gateway,
                                   this->control.now);
    Transient::addGateways(this->control.discovery, announcement.others, this->control.now);
    if (!link.gateway) {
        Common::logEvent(LogLevel::Info, "gateway_linked",
                         {{"gateway", announcement.gateway.instance},
                          {"queues_version", announcement.queuesVersion}});
        if (!link.address.empty()) {
            Transient::gatewayConnected(this->control.discovery, link.address, this->control.now);
        }
    }
    link.gateway = announcement.gateway;
    this->observeSpare(id, announcement);
    if (announcement.evacuations) {
        this->carryOut(Transient::evacuationsTold(this->control.state, *announcement.evacuations,
                                                  announcement.gateway.instance, this->control.now,
                                                  this->control.random));
    }
    Transient::confirmEvacuations(this->control.state.fleet.evacuations, announcement,
                                  this->control.now);
    if (announcement.orphanLists) {
        Transient::receiveLists(this->control.state.orphanRelay, link.toldOrphans,
                                *announcement.orphanLists, this->control.now);
    }
    Transient::observeQueuesVersion(link.queues, announcement.queuesVersion,
                                    this->control.queues.version, this->control.now);
    if (Transient::takeQueuesDue(link.queues, this->control.now)) {
        this->sendQueues(id);
    }
}

/// Closes a dialled link to this gateway itself, or to one that answers on another dialled link
/// already: its address was listed in two spellings. The accepting end waits for that.
bool TransientLinks::giveUpDuplicate(Net::LinkId id, const std::string &instance)
{
    const PeerLink &link = this->links.at(id);
    const bool isSelf = instance == this->control.self.instance;
    if (link.gateway || (link.address.empty() && !isSelf)) {
        return false;
    }
    if (link.address.empty()) {
        return true;
    }
    const auto elder =
            std::find_if(this->links.begin(), this->links.end(), [&instance, id](const auto &one) {
                return one.first != id && !one.second.address.empty() && one.second.gateway
                       && one.second.gateway->instance == instance;
            });
    if (!isSelf && elder == this->links.end()) {
        return false;
    }
    const std::string address = link.address;
    const std::string known =
            isSelf ? this->control.discovery.settings.self : elder->second.address;
    Common::logEvent(LogLevel::Info, "gateway_address_is_alias",
                     {{"gateway", instance}, {"address", address}, {"known_as", known}});
    Transient::markAlias(this->control.discovery, address, known);
    this->hub->close(id);
    this->links.erase(id);
    return true;
}

void TransientLinks::observeSpare(Net::LinkId id, const Schema::GatewayAnnouncement &announcement)
{
    const std::string &instance = announcement.gateway.instance;
    PeerLink &link = this->links.at(id);
    if (link.forwardingKey.empty()) {
        link.forwardingKey = instance + '#' + std::to_string(id);
        this->gatewayLinks[link.forwardingKey] = id;
    }
    link.countsSpare =
            std::none_of(this->links.begin(), this->links.end(), [&instance, id](const auto &one) {
                return one.first != id && one.second.countsSpare && one.second.gateway
                       && one.second.gateway->instance == instance;
            });
    if (link.countsSpare) {
        Transient::spareAnnounced(this->control.state, link.forwardingKey, announcement,
                                  this->control.now);
    }
}

bool TransientLinks::handleForwardingFrame(const PeerLink &link, const Schema::Frame &frame)
{
    Transient::GatewayState &state = this->control.state;
    const std::string peer = link.forwardingKey;
    if (frame.forwardedJob) {
        this->carryOut(Transient::forwardedJobReceived(state, peer, *frame.forwardedJob,
                                                       this->control.now, this->control.random));
    } else if (frame.forwardedResult) {
        this->carryOut(Transient::forwardedResultReceived(state, peer, *frame.forwardedResult,
                                                          this->control.now, this->control.random));
    } else if (frame.forwardedCancel) {
        this->carryOut(Transient::forwardedCancelReceived(state, peer, *frame.forwardedCancel,
                                                          this->control.now));
    } else {
        return false;
    }
    return true;
}

void TransientLinks::sendQueues(Net::LinkId id)
{
    Schema::Frame frame = frameOf(Schema::FrameType::QueueTable);
    frame.queueTable = this->control.queues;
    this->hub->send(id, frame);
}

void TransientLinks::takeQueues(Schema::QueueTable newer, const std::string &source)
{
    const std::int64_t before = this->control.queues.version;
    if (!Transient::takeQueues(this->control.queues, std::move(newer))) {
        return;
    }
    Common::logEvent(
            LogLevel::Info, "queues_in_force",
            {{"version", this->control.queues.version},
             {"before", before},
             {"queues", this->control.queues.queues.size()},
             {"source", source},
             {"confirmed_ms_ago", this->control.now.steadyMs - this->control.queuesConfirmedMs}});
    this->control.metrics.set("auburntrail_queues_version",
                              static_cast<double>(this->control.queues.version));
}

void TransientLinks::sendTo(const Transient::SendToAgent &effect)
{
    const auto link = this->agentLinks.find(effect.agent);
    if (link != this->agentLinks.end() && this->hub->send(link->second, effect.frame)) {
        if (effect.frame.taskOrders) {
            // Orders grant the agent as much time as a heartbeat.
            this->links.at(link->second).told.sentMs = this->control.now.steadyMs;
        }
        return;
    }
    this->control.metrics.count("auburntrail_frames_undeliverable_total", {{"to", "agent"}});
    if (link != this->agentLinks.end()) {
        // Lost frames are detected when the agent announces itself on a new link.
        this->hub->close(link->second);
    }
}

void TransientLinks::sendTo(const Transient::SendToGateway &effect)
{
    const auto found = this->gatewayLinks.find(effect.peer);
    if (found != this->gatewayLinks.end() && this->hub->send(found->second, effect.frame)) {
        return;
    }
    this->control.metrics.count("auburntrail_frames_undeliverable_total", {{"to", "gateway"}});
    if (found != this->gatewayLinks.end()) {
        this->hub->close(found->second);
    }
    this->carryOut(Transient::handlePeerLost(this->control.state, effect.peer, this->control.now));
}

void TransientLinks::announceTo(Net::LinkId id, PeerLink &link)
{
    Schema::Frame frame = frameOf(Schema::FrameType::GatewayAnnouncement);
    frame.gatewayAnnouncement = Transient::makeHeartbeat(
            this->control.self, this->control.discovery, this->control.state.fleet.evacuations,
            link.told, this->control.now);
    frame.gatewayAnnouncement->queuesVersion = this->control.queues.version;
    if (link.gateway) {
        auto lists = Transient::listsFor(this->control.state.orphanRelay, link.toldOrphans,
                                         this->control.now);
        if (!lists.empty()) {
            frame.gatewayAnnouncement->orphanLists = std::move(lists);
        }
    }
    const Transient::AgentView *agent =
            link.agent.empty() ? nullptr
                               : Transient::findAgent(this->control.state.fleet, link.agent);
    frame.gatewayAnnouncement->echoMs = agent == nullptr ? 0 : agent->load.sentMs;
    if (link.gateway) {
        Transient::addSpare(*frame.gatewayAnnouncement, this->control.state, link.forwardingKey,
                            this->control.now);
    }
    if (agent != nullptr) {
        frame.gatewayAnnouncement->loadIntervalMs = Transient::loadIntervalMs(
                Transient::presentCapacity(this->control.state), this->agentLinks.size());
    }
    this->hub->send(id, frame);
}

void TransientLinks::closeSilentLinks()
{
    for (const auto &[id, link] : this->links) {
        if (link.isOpen
            && this->control.now.steadyMs
                       > link.lastReceivedMs + this->control.settings.silenceMs) {
            // Frames may wait for this thread: the hub knows when the last one arrived.
            this->hub->closeIfSilent(id, this->control.settings.silenceMs);
        }
    }
}

void TransientLinks::sendHeartbeats()
{
    const std::int64_t nowMs = this->control.now.steadyMs;
    for (auto &[id, link] : this->links) {
        const std::int64_t dueMs = this->nextHeartbeatMs(link);
        if (link.isOpen && nowMs >= dueMs) {
            this->control.load.heartbeatSent(nowMs - dueMs);
            this->announceTo(id, link);
        }
    }
}

void TransientLinks::runPeriodicWork()
{
    this->closeSilentLinks();
    this->dialGateways();
    this->closeSurplusLinks();
    this->reportTraffic();
    this->control.load.reportIfDue(this->control.now.steadyMs);
}

void TransientLinks::reportTraffic()
{
    const std::int64_t nowMs = this->control.now.steadyMs;
    if (nowMs < this->trafficReportedMs + TrafficReportIntervalMs) {
        return;
    }
    constexpr double MsPerSecond = 1000;
    const double cpuSeconds = Common::processCpuSeconds();
    const Net::PeerHubTraffic traffic = this->hub->traffic();
    std::vector<std::pair<std::string, std::string>> fields{
            {"after_ms", std::to_string(nowMs - this->trafficReportedMs)},
            {"cpu_ms", std::to_string(static_cast<std::int64_t>(
                               (cpuSeconds - this->reportedCpuSeconds) * MsPerSecond))},
            {"longest_frame_delay_ms", std::to_string(this->longestFrameDelayMs)},
            {"unsent_bytes", std::to_string(traffic.unsentBytes)}};
    Common::append(fields, Net::trafficFields(traffic, this->reportedTraffic));
    Common::logEvent(LogLevel::Info, "peer_traffic", fields);
    Net::publishTraffic(this->control.metrics, traffic, this->reportedTraffic);
    this->trafficReportedMs = nowMs;
    this->reportedTraffic = traffic;
    this->reportedCpuSeconds = cpuSeconds;
    this->longestFrameDelayMs = 0;
}

void TransientLinks::dialGateways()
{
    for (const std::string &address :
         Transient::gatewaysToDial(this->control.discovery, this->control.now)) {
        const Net::Address target = Net::parseAddress(address);
        const Net::LinkId id =
                this->hub->connect(target.host, target.port, Transient::DialTimeoutMs);
        PeerLink link;
        link.address = address;
        this->links.emplace(id, std::move(link));
    }
}

/// A gateway that has connected to more gateways than it needs, as at its start, when it knew only
/// those of its settings, gives these links up.
void TransientLinks::closeSurplusLinks()
{
    for (const auto &[id, link] : this->links) {
        if (link.gateway && !link.address.empty()
            && Transient::isSurplus(this->control.discovery, link.address)
            && !Transient::usesPeer(this->control.state.forwarding, link.forwardingKey)) {
            this->hub->close(id);
        }
    }
}

std::int64_t TransientLinks::nextHeartbeatMs(const PeerLink &link) const
{
    const bool announcesSpare =
            link.gateway && Transient::takesPartInForwarding(this->control.state);
    const std::int64_t intervalMs = announcesSpare ? std::min(this->control.settings.heartbeatMs,
                                                              Transient::SpareIntervalMs)
                                                   : this->control.settings.heartbeatMs;
    const std::int64_t heartbeatMs = Transient::nextHeartbeatMs(
            link.told, this->control.discovery, this->control.state.fleet.evacuations, intervalMs);
    if (!link.gateway) {
        return heartbeatMs;
    }
    return std::min(heartbeatMs, Transient::nextListsMs(this->control.state.orphanRelay,
                                                        link.toldOrphans, link.told.sentMs));
}

std::int64_t TransientLinks::nextWakeMs() const
{
    std::int64_t next = Transient::nextDialMs(this->control.discovery);
    for (const auto &[id, link] : this->links) {
        if (link.isOpen) {
            next = std::min(next, this->nextHeartbeatMs(link));
            next = std::min(next, link.lastReceivedMs + this->control.settings.silenceMs + 1);
        }
    }
    return next;
}

bool TransientLinks::hasAgents() const
{
    return !this->agentLinks.empty();
}

} // namespace Gateway
