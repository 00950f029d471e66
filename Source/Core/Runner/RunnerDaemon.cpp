#include "Runner/RunnerDaemon.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <variant>

#include "Common/Common.h"
#include "Net/Net.h"
#include "platform/Platform.h"
#include "Runner/GatewayLinks.h"
#include "Runner/Observation.h"
#include "Runner/Runner.h"
#include "StoreClient/StoreClient.h"

namespace Runner {

namespace {

using Common::LogLevel;

constexpr std::int64_t StopTimeoutMs = 120;
/// Added to the wait that an observation requests.
constexpr std::int64_t ObserveTimeoutMs = 150;
constexpr int BackendConnections = 96;
/// Longest announcement of a backend server; a usual one has a few hundred bytes.
constexpr std::size_t MaxRegistrationBytes = std::size_t{64} << 10U;
/// One order in twenty may go unanswered for seconds without a fault of the connections. When each
/// of these timeouts led to a new connection for every call, 2,700 connections were made in 44 s.
constexpr int TimeoutsUntilSuspect = 3;
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

} // namespace

struct RunnerDaemon::Implementation
{
    explicit Implementation(Schema::TransientAgentSettings chosen);

    void start();
    bool run();

    void on(const Net::LinkUp &event) { this->links.on(event); }
    void on(const Net::LinkDown &event) { this->links.on(event); }
    void on(const Net::FrameArrived &event) { this->links.on(event); }
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
    void carryOut(const Announce & /*effect*/) { this->links.announce(); }
    void carryOut(const Transient::CountReason &effect);
    void carryOut(const Transient::ObserveSeconds &effect);
    void carryOut(const Transient::SetGauge &effect);
    void carryOut(const Transient::LogLine &effect);

    void runPeriodicWork();
    void readGatewaysFromStore();
    void readOperatorsFromStore();
    void handleRegistration(const Net::HttpRequest &request, const Net::HttpReply &reply);
    Platform::BackendTarget target() const;
    std::int64_t nextWake() const;

    RunnerControl control;
    /// What the clients of this process may make it hold.
    Net::ResourceBudget budget;
    /// Used by the HTTP thread only: an odd announcement is repeated with every heartbeat.
    Common::ReportedKeys refusedRegistrations;
    Common::Mailbox<ControlMessage> mailbox;
    std::int64_t stopDeadlineMs = 0;
    std::int64_t storeReadMs = 0;
    Transient::OperatorsReading operatorsReading;
    Common::Random random = Common::makeRandom();

    // Declared last, so that their threads end before the members that they use are destroyed.
    GatewayLinks links;
    std::unique_ptr<Net::HttpClient> backend;
    std::unique_ptr<StoreClient::Client> store;
    std::unique_ptr<Net::HttpServer> registration;
    std::unique_ptr<Net::HttpServer> metricsServer;
};

RunnerDaemon::Implementation::Implementation(Schema::TransientAgentSettings chosen)
    : control{std::move(chosen), {}, {}, {}, Common::currentMoment()}
    , budget(Net::processLimits(this->control.settings),
             {Net::Listener::Registration, Net::Listener::Metrics})
    , operatorsReading(Transient::scheduleOperatorsReading(
              this->control.settings.evacuationsMaxAgeMs, this->control.now))
    , links(this->control, [this](const Effects &effects) { this->carryOut(effects); })
{
    this->control.discovery = Transient::makeDiscovery(
            {this->control.settings.name,
             this->control.settings.failureDomain,
             {},
             this->control.settings.seeds,
             static_cast<std::size_t>(this->control.settings.gatewayLinks)});
    this->control.state.name = this->control.settings.name;
    this->control.state.instance =
            this->control.settings.name + '-' + Common::randomId(this->random);
    this->control.state.failureDomain = this->control.settings.failureDomain;
    this->control.state.service = this->control.settings.service;
    this->control.state.times.leaseMs = this->control.settings.leaseMs;
    this->control.state.times.heartbeatMs = this->control.settings.heartbeatMs;
    this->control.state.times.grantMs = this->control.settings.silenceMs;
    this->control.state.times.suspectMs = Transient::suspectTimeMs(this->control.settings.leaseMs);
    switchOff(this->control.state, this->control.settings.disabledDecisions);
    // A later process has a higher fence, so that orders of the previous one that are still in
    // transit have no effect.
    this->control.state.fence = this->control.now.wallMs;
}

void RunnerDaemon::Implementation::start()
{
    this->links.start(Net::eventsTo(this->mailbox));
    this->backend = std::make_unique<Net::HttpClient>(BackendConnections, TimeoutsUntilSuspect);
    StoreClient::StoreSettings storeSettings;
    storeSettings.address = this->control.settings.storeAddress;
    storeSettings.metrics = &this->control.metrics;
    this->store = std::make_unique<StoreClient::Client>(storeSettings);
    const Net::Address address = Net::parseAddress(this->control.settings.registrationAddress);
    this->registration =
            Net::serverWithin(this->budget, Net::Listener::Registration, this->control.metrics)
                    .listenOn(address.host, address.port)
                    .maxBodyBytes(MaxRegistrationBytes)
                    .handler([this](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        this->handleRegistration(request, reply);
                    })
                    .build();
    this->metricsServer =
            Net::serveMetrics(this->control.settings.host,
                              static_cast<std::uint16_t>(this->control.settings.metricsPort),
                              this->control.metrics, this->budget);
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
                this->control.metrics.count("auburntrail_requests_refused_total",
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
                     {{"instance", this->control.state.instance},
                      {"service", this->control.settings.service},
                      {"seeds", this->control.settings.seeds.size()},
                      {"fence", this->control.state.fence}});
    while (true) {
        const std::int64_t waitMs = this->nextWake() - Common::currentMoment().steadyMs;
        auto messages =
                this->mailbox.take(std::chrono::milliseconds(std::max<std::int64_t>(waitMs, 0)));
        this->control.now = Common::currentMoment();
        for (const ControlMessage &message : messages) {
            std::visit([this](const auto &event) { this->on(event); }, message);
        }
        this->runPeriodicWork();
        if (!this->control.state.isStopping) {
            continue;
        }
        const bool isDone = isStopped(this->control.state);
        if (isDone || this->control.now.steadyMs >= this->stopDeadlineMs) {
            return isDone;
        }
    }
}

std::int64_t RunnerDaemon::Implementation::nextWake() const
{
    return std::min(nextWakeMs(this->control.state, this->control.now), this->links.nextWakeMs());
}

void RunnerDaemon::Implementation::on(const RegistrationReceived &event)
{
    const Platform::Registration &registration = event.registration;
    if (registration.kind == Platform::RegistrationKind::Leave) {
        this->carryOut(backendLeft(this->control.state, registration.id, this->control.now));
    } else {
        this->carryOut(backendAnnounced(this->control.state, registration.announcement,
                                        this->control.now));
    }
    event.reply.send({200, "{}", "application/json", 0, false});
}

void RunnerDaemon::Implementation::on(const StartEnded &event)
{
    this->carryOut(startAnswered(this->control.state, event.run, event.number, event.answer,
                                 this->control.now));
}

void RunnerDaemon::Implementation::on(const StopEnded &event)
{
    stopAnswered(this->control.state, event.task, event.number, event.accepted, this->control.now);
}

void RunnerDaemon::Implementation::on(const ObserveEnded &event)
{
    this->carryOut(observeAnswered(this->control.state, event.observation, event.answer,
                                   this->control.now));
}

void RunnerDaemon::Implementation::on(const GatewaysRead &event)
{
    Transient::addGateways(this->control.discovery, event.gateways, this->control.now);
}

void RunnerDaemon::Implementation::on(const OperatorsRead &event)
{
    this->carryOut(
            evacuationsRead(this->control.state, event.records, event.sentMs, this->control.now));
}

void RunnerDaemon::Implementation::on(const StopRequested & /*event*/)
{
    if (this->control.state.isStopping) {
        return;
    }
    Common::logEvent(LogLevel::Info, "stop_requested",
                     {{"runs", this->control.state.runs.size()},
                      {"queued", this->control.state.queue.size()}});
    this->stopDeadlineMs = this->control.now.steadyMs + this->control.settings.stopTimeoutMs;
    this->carryOut(beginStop(this->control.state, this->control.now));
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
    target.address = this->control.settings.backendAddress;
    if (this->control.state.backend) {
        // The present incarnation answers at the address of the previous one until it announces
        // another.
        target.address = this->control.state.backend->address;
        target.id = this->control.state.backend->id;
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
    Net::HttpCall call = Platform::stopCall(this->target(), effect.task, effect.number,
                                            this->control.state.fence);
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
    request.fence = this->control.state.fence;
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
    this->control.metrics.count("auburntrail_runner_attempts_total",
                                {{"phase", Schema::enumName(effect.state.phase)},
                                 {"reason", Schema::enumName(effect.state.reason)}});
    this->links.report(effect);
}

void RunnerDaemon::Implementation::carryOut(const Transient::CountReason &effect)
{
    this->control.metrics.count(effect.counter, {{"reason", Schema::enumName(effect.reason)}});
}

void RunnerDaemon::Implementation::carryOut(const Transient::ObserveSeconds &effect)
{
    static const std::vector<double> bounds{0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 30};
    this->control.metrics.observe(effect.histogram, effect.seconds, bounds, effect.labels);
}

void RunnerDaemon::Implementation::carryOut(const Transient::SetGauge &effect)
{
    this->control.metrics.set(effect.gauge, effect.value);
}

void RunnerDaemon::Implementation::carryOut(const Transient::LogLine &effect)
{
    Common::logEvent(effect.level, effect.event, effect.fields);
}

void RunnerDaemon::Implementation::runPeriodicWork()
{
    this->carryOut(tick(this->control.state, this->control.now));
    Transient::ignoreDomains(this->control.discovery,
                             Transient::anyEvacuated(this->control.state.evacuations));
    this->links.runPeriodicWork();
    this->readGatewaysFromStore();
    this->readOperatorsFromStore();
    this->links.sendReports();
}

void RunnerDaemon::Implementation::readGatewaysFromStore()
{
    if (this->links.hasGateway()
        || this->control.now.steadyMs < this->storeReadMs + StoreReadIntervalMs) {
        return;
    }
    this->storeReadMs = this->control.now.steadyMs;
    this->store->readOnce(
            Platform::StoreTopic::Gateways, [this](const StoreClient::StoreUpdate &news) {
                this->mailbox.post(GatewaysRead{this->store->usable(
                        Platform::StoreTopic::Gateways, Platform::decodeMembers(news.records))});
            });
}

void RunnerDaemon::Implementation::readOperatorsFromStore()
{
    if (!Transient::takeOperatorsReadDue(this->operatorsReading, this->control.state.evacuations,
                                         this->control.now, this->random)) {
        return;
    }
    const std::int64_t sentMs = this->control.now.steadyMs;
    this->store->readOnce(
            Platform::StoreTopic::Operators, [this, sentMs](const StoreClient::StoreUpdate &news) {
                if (news.available) {
                    this->mailbox.post(OperatorsRead{{Platform::decodeEvacuations(news.records),
                                                      news.nextOffset, news.isComplete},
                                                     sentMs});
                }
            });
}

RunnerDaemon::RunnerDaemon(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

RunnerDaemon::~RunnerDaemon()
{
    this->implementation->registration->stop();
    this->implementation->metricsServer->stop();
    this->implementation->store->stop();
    this->implementation->links.stop();
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
