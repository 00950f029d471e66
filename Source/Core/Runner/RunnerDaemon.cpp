#include "Runner/RunnerDaemon.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <variant>

#include "Common/Common.h"
#include "Net/Net.h"
#include "platform/Platform.h"
#include "Runner/Observation.h"
#include "Runner/Release.h"
#include "Runner/Reports.h"
#include "Runner/Runner.h"
#include "StoreClient/StoreClient.h"

namespace Runner {

namespace {

using Common::LogLevel;
using Common::Moment;

constexpr std::int64_t StopTimeoutMs = 120;
/// Added to the wait that an observation requests.
constexpr std::int64_t ObserveTimeoutMs = 150;
constexpr int BackendConnections = 96;
/// Longest announcement of a backend server; a usual one has a few hundred bytes.
constexpr std::size_t MaxRegistrationBytes = std::size_t{64} << 10U;
/// One order in twenty may go unanswered for seconds without a fault of the connections. When each
/// of these timeouts led to a new connection for every call, 2,700 connections were made in 44 s.
constexpr int TimeoutsUntilSuspect = 3;
/// A lost connection may be restored at once if its gateway still runs, so tasks of the gateway
/// continue for this long. This is far below the time after which callers submit again.
constexpr std::int64_t ReconnectGraceMs = 300;
/// Interval of reading the gateways' addresses from the store while no gateway is connected.
constexpr std::int64_t StoreReadIntervalMs = 2000;

struct RegistrationReceived
{
    Platform::Registration registration;
    Net::HttpReply reply;
};

struct StartEnded
{
    RunId run = 0;
    std::int64_t number = 0;
    Transient::StartAnswer answer;
};

struct StopEnded
{
    std::string task;
    std::int64_t number = 0;
    bool accepted = false;
};

struct ObserveEnded
{
    std::uint64_t observation = 0;
    Transient::ObserveAnswer answer;
};

struct GatewaysRead
{
    std::vector<Schema::Member> gateways;
};

struct OperatorsRead
{
    Transient::EvacuationRecords records;
    std::int64_t sentMs = 0;
};

struct StopRequested
{};

using ControlMessage = std::variant<Net::LinkUp, Net::LinkDown, Net::FrameArrived,
                                    RegistrationReceived, StartEnded, StopEnded, ObserveEnded,
                                    GatewaysRead, OperatorsRead, StopRequested>;

/// A connection to a gateway, from the connection attempt on.
struct GatewayLink
{
    std::string address;
    /// Empty until the gateway has announced itself.
    std::string instance;
    std::int64_t lastReceivedMs = 0;
    GatewayReports reports;
};

} // namespace

struct RunnerDaemon::Implementation
{
    explicit Implementation(Schema::TransientAgentSettings chosen);

    void start();
    bool run();

    void on(const Net::LinkUp &event);
    void on(const Net::LinkDown &event);
    void on(const Net::FrameArrived &event);
    void on(const RegistrationReceived &event);
    void on(const StartEnded &event);
    void on(const StopEnded &event);
    void on(const ObserveEnded &event);
    void on(const GatewaysRead &event);
    void on(const OperatorsRead &event);
    void on(const StopRequested &event);

    void carryOut(const Effects &effects);
    void carryOut(const CallStart &effect);
    void carryOut(const CallStop &effect);
    void carryOut(const CallObserve &effect);
    void carryOut(const ReportAttempt &effect);
    void carryOut(const Announce &effect);
    void carryOut(const Transient::CountReason &effect);
    void carryOut(const Transient::ObserveSeconds &effect);
    void carryOut(const Transient::SetGauge &effect);
    void carryOut(const Transient::LogLine &effect);

    void gatewayAnnounced(Net::LinkId id, const Schema::GatewayAnnouncement &announcement);
    bool giveUpDuplicate(Net::LinkId id, const std::string &instance);
    void evacuationsAnnounced(const Schema::GatewayAnnouncement &announcement);
    void announceTo(Net::LinkId id, GatewayLink &link);
    void runPeriodicWork();
    void dialGateways();
    void closeSilentLinks();
    void releaseGateways();
    void readGatewaysFromStore();
    void readOperatorsFromStore();
    void sendReports();
    void sendTo(Net::LinkId id, const Schema::Frame &frame);
    void handleRegistration(const Net::HttpRequest &request, const Net::HttpReply &reply);
    Platform::BackendTarget target() const;
    std::int64_t nextWake() const;

    Schema::TransientAgentSettings settings;
    RunnerState state;
    Transient::Discovery discovery;
    Common::Metrics metrics;
    /// What the clients of this process may make it hold.
    Net::ResourceBudget budget;
    /// Used by the HTTP thread only: an odd announcement is repeated with every heartbeat.
    Common::ReportedKeys refusedRegistrations;
    Common::Mailbox<ControlMessage> mailbox;
    Moment now;
    std::map<Net::LinkId, GatewayLink> links;
    /// Gateways whose connection was lost, by instance, and when.
    std::map<std::string, std::int64_t> disconnectedGateways;
    /// By address: the gateway instance that last announced itself there.
    std::map<std::string, std::string> instanceAt;
    std::int64_t stopDeadlineMs = 0;
    std::int64_t storeReadMs = 0;
    Transient::OperatorsReading operatorsReading;
    Common::Random random = Common::makeRandom();

    // Declared last, so that their threads end before the members that they use are destroyed.
    std::unique_ptr<Net::PeerHub> hub;
    std::unique_ptr<Net::HttpClient> backend;
    std::unique_ptr<StoreClient::Client> store;
    std::unique_ptr<Net::HttpServer> registration;
    std::unique_ptr<Net::HttpServer> metricsServer;
};

RunnerDaemon::Implementation::Implementation(Schema::TransientAgentSettings chosen)
    : settings(std::move(chosen))
    , discovery(Transient::makeDiscovery({this->settings.name,
                                          this->settings.failureDomain,
                                          {},
                                          this->settings.seeds,
                                          static_cast<std::size_t>(this->settings.gatewayLinks)}))
    , budget(Net::processLimits(this->settings),
             {Net::Listener::Registration, Net::Listener::Metrics})
    , now(Common::currentMoment())
    , operatorsReading(
              Transient::scheduleOperatorsReading(this->settings.evacuationsMaxAgeMs, this->now))
{
    this->state.name = this->settings.name;
    this->state.instance = this->settings.name + '-' + Common::randomId(this->random);
    this->state.failureDomain = this->settings.failureDomain;
    this->state.service = this->settings.service;
    this->state.times.leaseMs = this->settings.leaseMs;
    this->state.times.heartbeatMs = this->settings.heartbeatMs;
    this->state.times.grantMs = this->settings.silenceMs;
    this->state.times.suspectMs = Transient::suspectTimeMs(this->settings.leaseMs);
    switchOff(this->state, this->settings.disabledDecisions);
    // A later process has a higher fence, so that orders of the previous one that are still in
    // transit have no effect.
    this->state.fence = this->now.wallMs;
}

void RunnerDaemon::Implementation::start()
{
    this->hub = std::make_unique<Net::PeerHub>(Net::eventsTo(this->mailbox));
    this->backend = std::make_unique<Net::HttpClient>(BackendConnections, TimeoutsUntilSuspect);
    StoreClient::StoreSettings storeSettings;
    storeSettings.address = this->settings.storeAddress;
    storeSettings.metrics = &this->metrics;
    this->store = std::make_unique<StoreClient::Client>(storeSettings);
    const Net::Address address = Net::parseAddress(this->settings.registrationAddress);
    this->registration =
            Net::serverWithin(this->budget, Net::Listener::Registration, this->metrics)
                    .listenOn(address.host, address.port)
                    .maxBodyBytes(MaxRegistrationBytes)
                    .handler([this](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        this->handleRegistration(request, reply);
                    })
                    .build();
    this->metricsServer = Net::serveMetrics(this->settings.host,
                                            static_cast<std::uint16_t>(this->settings.metricsPort),
                                            this->metrics, this->budget);
}

/// Runs on the HTTP thread. The control thread acknowledges the announcement once it has taken note
/// of it: a backend server relies on an acknowledged leaving, which no process would know of if the
/// agent ended before that.
void RunnerDaemon::Implementation::handleRegistration(const Net::HttpRequest &request,
                                                      const Net::HttpReply &reply)
{
    Common::handle(
            [&]() -> Common::Outcome<void> {
                BOOST_LEAF_AUTO(registration, Platform::decodeRegistration(request));
                this->mailbox.post(RegistrationReceived{std::move(registration), reply});
                return {};
            },
            [&](const Common::Failure &failure) {
                constexpr int BadRequest = 400;
                this->metrics.count("auburntrail_requests_refused_total",
                                    {{"reason", Schema::enumName(failure.reason)}});
                if (Common::addReported(this->refusedRegistrations,
                                        request.path + ' ' + failure.detail)) {
                    Common::logEvent(LogLevel::Warning, "registration_refused",
                                     {{"path", request.path}, {"detail", failure.detail}});
                }
                reply.send(Platform::encodeRefusal(BadRequest, failure.detail));
            });
}

bool RunnerDaemon::Implementation::run()
{
    Common::logEvent(LogLevel::Info, "agent_started",
                     {{"instance", this->state.instance},
                      {"service", this->settings.service},
                      {"seeds", this->settings.seeds.size()},
                      {"fence", this->state.fence}});
    while (true) {
        const std::int64_t waitMs = this->nextWake() - Common::currentMoment().steadyMs;
        auto messages =
                this->mailbox.take(std::chrono::milliseconds(std::max<std::int64_t>(waitMs, 0)));
        this->now = Common::currentMoment();
        for (const ControlMessage &message : messages) {
            std::visit([this](const auto &event) { this->on(event); }, message);
        }
        this->runPeriodicWork();
        if (!this->state.isStopping) {
            continue;
        }
        const bool isDone = isStopped(this->state);
        if (isDone || this->now.steadyMs >= this->stopDeadlineMs) {
            return isDone;
        }
    }
}

std::int64_t RunnerDaemon::Implementation::nextWake() const
{
    std::int64_t next = nextWakeMs(this->state, this->now);
    for (const auto &[id, link] : this->links) {
        if (!link.instance.empty()) {
            next = std::min(next, link.reports.sentMs + this->settings.heartbeatMs);
        }
    }
    for (const auto &[instance, sinceMs] : this->disconnectedGateways) {
        next = std::min(next, sinceMs + ReconnectGraceMs);
    }
    return std::min(next, Transient::nextDialMs(this->discovery));
}

void RunnerDaemon::Implementation::on(const Net::LinkUp &event)
{
    const auto found = this->links.find(event.link);
    if (found != this->links.end()) {
        found->second.lastReceivedMs = this->now.steadyMs;
    }
}

void RunnerDaemon::Implementation::on(const Net::LinkDown &event)
{
    const auto found = this->links.find(event.link);
    if (found == this->links.end()) {
        return;
    }
    Transient::dialEnded(this->discovery, found->second.address, this->now);
    const std::string &instance = found->second.instance;
    if (found->second.reports.releasedMs && !hasRuns(this->state, instance)) {
        Common::logEvent(LogLevel::Info, "gateway_released", {{"gateway", instance}});
        gatewayReleased(this->state, instance);
    } else if (!instance.empty()) {
        Common::logEvent(LogLevel::Info, "gateway_unlinked", {{"gateway", instance}});
        this->disconnectedGateways[instance] = this->now.steadyMs;
    }
    this->links.erase(found);
}

void RunnerDaemon::Implementation::on(const Net::FrameArrived &event)
{
    const auto found = this->links.find(event.link);
    if (found == this->links.end()) {
        return;
    }
    GatewayLink &link = found->second;
    link.lastReceivedMs = this->now.steadyMs;
    const Schema::Frame &frame = event.frame;
    if (frame.gatewayAnnouncement) {
        this->gatewayAnnounced(event.link, *frame.gatewayAnnouncement);
    } else if (link.instance.empty()) {
        Common::logEvent(LogLevel::Warning, "frame_unexpected",
                         {{"type", Schema::enumName(frame.type)}});
    } else if (frame.taskOrders) {
        this->carryOut(ordersReceived(this->state, link.instance, *frame.taskOrders, this->now));
    } else if (frame.withdrawTasks) {
        this->carryOut(
                withdrawReceived(this->state, link.instance, *frame.withdrawTasks, this->now));
    }
}

void RunnerDaemon::Implementation::gatewayAnnounced(Net::LinkId id,
                                                    const Schema::GatewayAnnouncement &announcement)
{
    Transient::addGateways(this->discovery, announcement.others, this->now);
    this->evacuationsAnnounced(announcement);
    if (this->giveUpDuplicate(id, announcement.gateway.instance)) {
        return;
    }
    GatewayLink &link = this->links.at(id);
    link.reports.loadIntervalMs = announcement.loadIntervalMs.value_or(0);
    if (!link.instance.empty()) {
        grantReceived(this->state, link.instance, announcement.echoMs);
        return;
    }
    link.instance = announcement.gateway.instance;
    Schema::Member gateway = announcement.gateway;
    // A gateway behind a proxy gives another address for itself. If both were dialled, it would
    // take each connection for a replacement of the other, and the agent for lost.
    const Net::Address dialled = Net::parseAddress(link.address);
    gateway.host = dialled.host;
    gateway.peerPort = dialled.port;
    Transient::addAnnouncedGateway(this->discovery, gateway, this->now);
    Transient::gatewayConnected(this->discovery, link.address, this->now);
    std::string &lastHere = this->instanceAt[link.address];
    if (!lastHere.empty() && lastHere != link.instance) {
        this->disconnectedGateways.erase(lastHere);
        this->carryOut(gatewayLost(this->state, lastHere, this->now));
    }
    lastHere = link.instance;
    this->disconnectedGateways.erase(link.instance);
    Common::logEvent(LogLevel::Info, "gateway_linked",
                     {{"gateway", link.instance}, {"address", link.address}});
    this->announceTo(id, link);
    const auto recentEnds = this->state.recentEnds.find(link.instance);
    if (recentEnds != this->state.recentEnds.end()) {
        for (const RecentEnd &end : recentEnds->second) {
            link.reports.unsent.push_back(end.state);
        }
    }
}

/// Closes a link to a gateway that answers on another one already: its address was listed in two
/// spellings. Before this agent has announced itself, the gateway holds nothing for the link. With
/// both links, the gateway took each announcement for a new connection of the agent and closed the
/// other link, and the agent connected again without an end.
bool RunnerDaemon::Implementation::giveUpDuplicate(Net::LinkId id, const std::string &instance)
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
    Transient::markAlias(this->discovery, address, elder->second.address);
    this->hub->close(id);
    this->links.erase(id);
    return true;
}

void RunnerDaemon::Implementation::evacuationsAnnounced(
        const Schema::GatewayAnnouncement &announcement)
{
    if (announcement.evacuations) {
        this->carryOut(evacuationsTold(this->state, *announcement.evacuations,
                                       announcement.gateway.instance, this->now));
    }
    Transient::confirmEvacuations(this->state.evacuations, announcement, this->now);
}

void RunnerDaemon::Implementation::announceTo(Net::LinkId id, GatewayLink &link)
{
    this->sendTo(id, makeAnnouncement(this->state, link.reports, link.instance, this->now));
}

void RunnerDaemon::Implementation::sendTo(Net::LinkId id, const Schema::Frame &frame)
{
    if (!this->hub->send(id, frame)) {
        // The content of the frame is sent again on the next connection.
        this->metrics.count("auburntrail_frames_undeliverable_total", {{"to", "gateway"}});
        this->hub->close(id);
    }
}

void RunnerDaemon::Implementation::on(const RegistrationReceived &event)
{
    const Platform::Registration &registration = event.registration;
    if (registration.kind == Platform::RegistrationKind::Leave) {
        this->carryOut(backendLeft(this->state, registration.id, this->now));
    } else {
        this->carryOut(backendAnnounced(this->state, registration.announcement, this->now));
    }
    event.reply.send({200, "{}", "application/json", 0, false});
}

void RunnerDaemon::Implementation::on(const StartEnded &event)
{
    this->carryOut(startAnswered(this->state, event.run, event.number, event.answer, this->now));
}

void RunnerDaemon::Implementation::on(const StopEnded &event)
{
    stopAnswered(this->state, event.task, event.number, event.accepted, this->now);
}

void RunnerDaemon::Implementation::on(const ObserveEnded &event)
{
    this->carryOut(observeAnswered(this->state, event.observation, event.answer, this->now));
}

void RunnerDaemon::Implementation::on(const GatewaysRead &event)
{
    Transient::addGateways(this->discovery, event.gateways, this->now);
}

void RunnerDaemon::Implementation::on(const OperatorsRead &event)
{
    this->carryOut(evacuationsRead(this->state, event.records, event.sentMs, this->now));
}

void RunnerDaemon::Implementation::on(const StopRequested & /*event*/)
{
    if (this->state.isStopping) {
        return;
    }
    Common::logEvent(LogLevel::Info, "stop_requested",
                     {{"runs", this->state.runs.size()}, {"queued", this->state.queue.size()}});
    this->stopDeadlineMs = this->now.steadyMs + this->settings.stopTimeoutMs;
    this->carryOut(beginStop(this->state, this->now));
}

void RunnerDaemon::Implementation::carryOut(const Effects &effects)
{
    for (const Effect &effect : effects) {
        std::visit([this](const auto &one) { this->carryOut(one); }, effect);
    }
}

Platform::BackendTarget RunnerDaemon::Implementation::target() const
{
    Platform::BackendTarget target;
    target.address = this->settings.backendAddress;
    if (this->state.backend) {
        // The present incarnation answers at the address of the previous one until it announces
        // another.
        target.address = this->state.backend->address;
        target.id = this->state.backend->id;
    }
    return target;
}

void RunnerDaemon::Implementation::carryOut(const CallStart &effect)
{
    Net::HttpCall call = Platform::startCall(this->target(), effect.start);
    call.timeoutMs = effect.timeoutMs;
    call.connectTimeoutMs = effect.timeoutMs;
    call.marksSuspectConnections = false;
    this->backend->send(std::move(call), [this, run = effect.run, number = effect.start.number](
                                                 const Net::HttpResult &result) {
        this->mailbox.post(StartEnded{run, number, Platform::decodeStart(result)});
    });
}

void RunnerDaemon::Implementation::carryOut(const CallStop &effect)
{
    Net::HttpCall call =
            Platform::stopCall(this->target(), effect.task, effect.number, this->state.fence);
    call.timeoutMs = StopTimeoutMs;
    call.connectTimeoutMs = StopTimeoutMs;
    this->backend->send(std::move(call), [this, task = effect.task,
                                          number = effect.number](const Net::HttpResult &result) {
        this->mailbox.post(StopEnded{task, number, Platform::decodeStop(result)});
    });
}

void RunnerDaemon::Implementation::carryOut(const CallObserve &effect)
{
    Platform::ObserveRequest request;
    request.fence = this->state.fence;
    request.lastEnd = effect.lastEnd;
    request.leaseUntilMs = effect.leaseUntilMs;
    request.waitMs = effect.waitMs;
    Net::HttpCall call = Platform::observeCall(this->target(), request);
    call.timeoutMs = effect.waitMs + ObserveTimeoutMs;
    call.connectTimeoutMs = ObserveTimeoutMs;
    this->backend->send(std::move(call), [this, observation = effect.observation](
                                                 const Net::HttpResult &result) {
        this->mailbox.post(ObserveEnded{observation, Platform::decodeObservation(result)});
    });
}

void RunnerDaemon::Implementation::carryOut(const ReportAttempt &effect)
{
    this->metrics.count("auburntrail_runner_attempts_total",
                        {{"phase", Schema::enumName(effect.state.phase)},
                         {"reason", Schema::enumName(effect.state.reason)}});
    for (auto &[id, link] : this->links) {
        if (link.instance == effect.gateway) {
            link.reports.unsent.push_back(effect.state);
            return;
        }
    }
}

void RunnerDaemon::Implementation::carryOut(const Announce & /*effect*/)
{
    for (auto &[id, link] : this->links) {
        if (!link.instance.empty()) {
            this->announceTo(id, link);
        }
    }
}

void RunnerDaemon::Implementation::carryOut(const Transient::CountReason &effect)
{
    this->metrics.count(effect.counter, {{"reason", Schema::enumName(effect.reason)}});
}

void RunnerDaemon::Implementation::carryOut(const Transient::ObserveSeconds &effect)
{
    static const std::vector<double> bounds{0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 30};
    this->metrics.observe(effect.histogram, effect.seconds, bounds, effect.labels);
}

void RunnerDaemon::Implementation::carryOut(const Transient::SetGauge &effect)
{
    this->metrics.set(effect.gauge, effect.value);
}

void RunnerDaemon::Implementation::carryOut(const Transient::LogLine &effect)
{
    Common::logEvent(effect.level, effect.event, effect.fields);
}

void RunnerDaemon::Implementation::runPeriodicWork()
{
    this->carryOut(tick(this->state, this->now));
    Transient::ignoreDomains(this->discovery, Transient::anyEvacuated(this->state.evacuations));
    this->closeSilentLinks();
    this->dialGateways();
    this->releaseGateways();
    this->readGatewaysFromStore();
    this->readOperatorsFromStore();
    this->sendReports();
}

void RunnerDaemon::Implementation::dialGateways()
{
    for (const std::string &address : Transient::gatewaysToDial(this->discovery, this->now)) {
        const Net::Address target = Net::parseAddress(address);
        const Net::LinkId id =
                this->hub->connect(target.host, target.port, Transient::DialTimeoutMs);
        GatewayLink link;
        link.address = address;
        link.lastReceivedMs = this->now.steadyMs;
        this->links.emplace(id, std::move(link));
    }
}

void RunnerDaemon::Implementation::closeSilentLinks()
{
    for (const auto &[id, link] : this->links) {
        if (this->now.steadyMs > link.lastReceivedMs + this->settings.silenceMs) {
            // Gateways send heartbeats three times as often, so the connection or the gateway has
            // failed, unless frames wait for this thread.
            this->hub->closeIfSilent(id, this->settings.silenceMs);
        }
    }
    for (auto entry = this->disconnectedGateways.begin();
         entry != this->disconnectedGateways.end();) {
        if (this->now.steadyMs < entry->second + ReconnectGraceMs) {
            ++entry;
            continue;
        }
        this->carryOut(gatewayLost(this->state, entry->first, this->now));
        entry = this->disconnectedGateways.erase(entry);
    }
}

void RunnerDaemon::Implementation::releaseGateways()
{
    for (auto &[id, link] : this->links) {
        if (link.instance.empty()) {
            continue;
        }
        const bool isSurplus = Transient::isSurplus(this->discovery, link.address);
        const ReleaseStep step =
                nextReleaseStep(this->state, link.reports, link.instance, isSurplus, this->now);
        if (step == ReleaseStep::Announce) {
            this->announceTo(id, link);
        } else if (step == ReleaseStep::Close) {
            this->hub->close(id);
        }
    }
}

void RunnerDaemon::Implementation::readGatewaysFromStore()
{
    const bool hasGateway =
            std::any_of(this->links.begin(), this->links.end(),
                        [](const auto &entry) { return !entry.second.instance.empty(); });
    if (hasGateway || this->now.steadyMs < this->storeReadMs + StoreReadIntervalMs) {
        return;
    }
    this->storeReadMs = this->now.steadyMs;
    this->store->readOnce(
            Platform::StoreTopic::Gateways, [this](const StoreClient::StoreUpdate &news) {
                this->mailbox.post(GatewaysRead{this->store->usable(
                        Platform::StoreTopic::Gateways, Platform::decodeMembers(news.records))});
            });
}

void RunnerDaemon::Implementation::readOperatorsFromStore()
{
    if (!Transient::takeOperatorsReadDue(this->operatorsReading, this->state.evacuations, this->now,
                                         this->random)) {
        return;
    }
    const std::int64_t sentMs = this->now.steadyMs;
    this->store->readOnce(
            Platform::StoreTopic::Operators, [this, sentMs](const StoreClient::StoreUpdate &news) {
                if (news.available) {
                    this->mailbox.post(OperatorsRead{{Platform::decodeEvacuations(news.records),
                                                      news.nextOffset, news.isComplete},
                                                     sentMs});
                }
            });
}

void RunnerDaemon::Implementation::sendReports()
{
    for (auto &[id, link] : this->links) {
        if (!link.instance.empty()
            && isReportDue(this->state, link.reports, this->links.size(), this->now)) {
            this->sendTo(id, makeReport(this->state, link.reports, link.instance, this->now));
        }
    }
}

RunnerDaemon::RunnerDaemon(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

RunnerDaemon::~RunnerDaemon()
{
    this->implementation->registration->stop();
    this->implementation->metricsServer->stop();
    this->implementation->store->stop();
    this->implementation->hub->stop();
}

std::uint16_t RunnerDaemon::metricsPort() const
{
    return this->implementation->metricsServer->port();
}

void RunnerDaemon::requestStop()
{
    this->implementation->mailbox.post(StopRequested{});
}

bool RunnerDaemon::run()
{
    return this->implementation->run();
}

RunnerDaemonBuilder &RunnerDaemonBuilder::settings(Schema::TransientAgentSettings settings)
{
    this->chosen = std::move(settings);
    return *this;
}

std::unique_ptr<RunnerDaemon> RunnerDaemonBuilder::build()
{
    auto implementation = std::make_unique<RunnerDaemon::Implementation>(this->chosen);
    implementation->start();
    return std::unique_ptr<RunnerDaemon>(new RunnerDaemon(std::move(implementation)));
}

} // namespace Runner
