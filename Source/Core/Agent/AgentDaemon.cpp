#include "Agent/AgentDaemon.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <utility>
#include <variant>

#include "Agent/AgentCore.h"
#include "Agent/AgentMetrics.h"
#include "Agent/BackendAnswer.h"
#include "Common/Common.h"
#include "Net/Net.h"

namespace Agent {

namespace {

constexpr std::int64_t TickIntervalMs = 20;
constexpr std::int64_t PublishIntervalMs = 500;
constexpr std::int64_t MinHealthTimeoutMs = 1000;
constexpr int StatusUnavailable = 503;
constexpr int StatusNotFound = 404;

struct RunAnswered
{
    TaskKey key;
    Net::HttpResult answer;
};

struct HealthAnswered
{
    bool healthy = false;
};

struct StopRequested
{};

/// Messages that other threads post to the control thread.
using ControlMessage = std::variant<Net::LinkUp, Net::LinkDown, Net::FrameArrived, RunAnswered,
                                    HealthAnswered, StopRequested>;

std::string uniqueInstance(const std::string &name, Common::Random &random)
{
    return name + '-' + Common::randomId(random);
}

/// Replaces bytes that are not valid UTF-8: CBOR strings from a gateway may hold them, but JSON
/// cannot. An exception here would end the agent and lose the outcomes it keeps.
std::string jsonText(const Schema::RunTask &task)
{
    return nlohmann::json(task).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

AgentState makeState(const Schema::AgentSettings &settings)
{
    Common::Random random = Common::makeRandom();
    std::string instance = uniqueInstance(settings.name, random);
    return makeAgentState(settings, std::move(instance), random);
}

} // namespace

struct AgentDaemon::Implementation
{
    explicit Implementation(Schema::AgentSettings chosen);

    void start();
    bool run();

    void handleMessage(ControlMessage message);
    Effects decide(const Net::LinkUp &event, Common::Moment now);
    Effects decide(const Net::LinkDown &event, Common::Moment now);
    Effects decide(const Net::FrameArrived &event, Common::Moment now);
    Effects decide(const RunAnswered &event, Common::Moment now);
    Effects decide(const HealthAnswered &event, Common::Moment now);
    Effects decide(const StopRequested &event, Common::Moment now);

    void carryOut(const Effects &effects);
    void carryOut(const ConnectGateway &effect);
    void carryOut(const CloseLink &effect);
    void carryOut(const SendToGateway &effect);
    void carryOut(const RunTask &effect);
    void carryOut(const CountReason &effect);
    void carryOut(const LogLine &effect);

    void runPeriodicWork(Common::Moment now);
    void checkHealth();
    void publish(Common::Moment now);
    Net::HttpResponse handleHttpRequest(const Net::HttpRequest &request);
    LinkNumber numberOf(Net::LinkId link) const;

    Schema::AgentSettings settings;
    AgentState state;
    Common::Metrics metrics;
    /// What the clients of this process may make it hold.
    Net::ResourceBudget budget;
    Common::Mailbox<ControlMessage> mailbox;
    std::atomic<bool> ready{false};

    /// Maps between the link numbers of the state machine and the link ids of the hub. Used by the
    /// control thread only.
    std::map<LinkNumber, Net::LinkId> hubLinks;
    std::map<Net::LinkId, LinkNumber> linkNumbers;
    std::int64_t nextTickMs = 0;
    std::int64_t nextHealthMs = 0;
    std::int64_t nextPublishMs = 0;
    bool healthCheckPending = false;

    // Declared last, so that their threads end before the members that they post to are destroyed.
    std::unique_ptr<Net::PeerHub> hub;
    std::unique_ptr<Net::HttpClient> runClient;
    /// A separate client, so that health is checked also while every connection of runClient is
    /// busy with tasks.
    std::unique_ptr<Net::HttpClient> healthClient;
    std::unique_ptr<Net::HttpServer> server;
};

AgentDaemon::Implementation::Implementation(Schema::AgentSettings chosen)
    : settings(std::move(chosen))
    , state(makeState(this->settings))
    , budget(Net::processLimits(this->settings), {Net::Listener::Metrics})
{}

void AgentDaemon::Implementation::start()
{
    this->server =
            Net::serverWithin(this->budget, Net::Listener::Metrics, this->metrics)
                    .listenOn(this->settings.host,
                              static_cast<std::uint16_t>(this->settings.metricsPort))
                    .maxBodyBytes(Net::SmallBodyBytes)
                    .handler([this](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        reply.send(this->handleHttpRequest(request));
                    })
                    .build();
    this->hub = std::make_unique<Net::PeerHub>(Net::eventsTo(this->mailbox));
    this->runClient =
            std::make_unique<Net::HttpClient>(static_cast<int>(this->settings.connections));
    this->healthClient = std::make_unique<Net::HttpClient>(1);
}

bool AgentDaemon::Implementation::run()
{
    Common::logEvent(Common::LogLevel::Info, "agent_started",
                     {{"instance", this->state.instance},
                      {"backend", this->settings.backendUrl},
                      {"metrics_port", this->server->port()}});
    while (!stopFinished(this->state, Common::currentMoment())) {
        for (ControlMessage &message :
             this->mailbox.take(std::chrono::milliseconds(TickIntervalMs))) {
            this->handleMessage(std::move(message));
        }
        this->runPeriodicWork(Common::currentMoment());
        this->carryOut(flush(this->state, Common::currentMoment()));
    }
    return this->state.slots.running.empty() && this->state.outcomes.pendingReports.empty();
}

void AgentDaemon::Implementation::handleMessage(ControlMessage message)
{
    // Reads the clock for each message, so that a message that waited through a pause of the
    // process is not checked against an older time.
    this->carryOut(std::visit(
            [this](const auto &event) { return this->decide(event, Common::currentMoment()); },
            message));
}

LinkNumber AgentDaemon::Implementation::numberOf(Net::LinkId link) const
{
    const auto found = this->linkNumbers.find(link);
    return found == this->linkNumbers.end() ? 0 : found->second;
}

Effects AgentDaemon::Implementation::decide(const Net::LinkUp &event, Common::Moment now)
{
    return linkOpened(this->state, this->numberOf(event.link), now);
}

Effects AgentDaemon::Implementation::decide(const Net::LinkDown &event, Common::Moment now)
{
    const LinkNumber number = this->numberOf(event.link);
    this->linkNumbers.erase(event.link);
    this->hubLinks.erase(number);
    return linkClosed(this->state, number, now);
}

Effects AgentDaemon::Implementation::decide(const Net::FrameArrived &event, Common::Moment now)
{
    return frameReceived(this->state, this->numberOf(event.link), event.frame, now);
}

Effects AgentDaemon::Implementation::decide(const RunAnswered &event, Common::Moment now)
{
    return runAnswered(this->state, event.key, event.answer, now);
}

Effects AgentDaemon::Implementation::decide(const HealthAnswered &event, Common::Moment now)
{
    this->healthCheckPending = false;
    return healthAnswered(this->state, event.healthy, now);
}

Effects AgentDaemon::Implementation::decide(const StopRequested &, Common::Moment now)
{
    return this->state.stopping ? Effects() : beginStop(this->state, now);
}

void AgentDaemon::Implementation::carryOut(const Effects &effects)
{
    for (const Effect &effect : effects) {
        std::visit([this](const auto &one) { this->carryOut(one); }, effect);
    }
}

void AgentDaemon::Implementation::carryOut(const ConnectGateway &effect)
{
    const Net::LinkId link = this->hub->connect(effect.host, effect.port);
    this->hubLinks[effect.link] = link;
    this->linkNumbers[link] = effect.link;
}

void AgentDaemon::Implementation::carryOut(const CloseLink &effect)
{
    const auto found = this->hubLinks.find(effect.link);
    if (found != this->hubLinks.end()) {
        this->hub->close(found->second);
    }
}

void AgentDaemon::Implementation::carryOut(const SendToGateway &effect)
{
    const auto found = this->hubLinks.find(effect.link);
    if (found != this->hubLinks.end() && !this->hub->send(found->second, effect.frame)) {
        this->metrics.count("auburntrail_agent_frames_dropped_total");
    }
}

void AgentDaemon::Implementation::carryOut(const RunTask &effect)
{
    Net::HttpCall call;
    call.method = "POST";
    call.url = this->settings.backendUrl + "/run";
    call.body = jsonText(effect.task);
    call.timeoutMs = this->settings.taskTimeoutMs;
    this->metrics.count("auburntrail_agent_task_starts_total");
    this->runClient->send(
            std::move(call),
            [this, key = TaskKey{effect.task.job, effect.task.index}](Net::HttpResult answer) {
                this->mailbox.post(RunAnswered{key, std::move(answer)});
            });
}

void AgentDaemon::Implementation::carryOut(const CountReason &effect)
{
    this->metrics.count(effect.counter, {{"reason", Schema::enumName(effect.reason)}},
                        effect.amount);
}

void AgentDaemon::Implementation::carryOut(const LogLine &effect)
{
    Common::logEvent(Common::LogLevel::Info, effect.event, effect.fields);
}

void AgentDaemon::Implementation::runPeriodicWork(Common::Moment now)
{
    if (now.steadyMs >= this->nextHealthMs && !this->healthCheckPending) {
        this->nextHealthMs = now.steadyMs + this->settings.heartbeatMs;
        this->checkHealth();
    }
    if (now.steadyMs >= this->nextTickMs) {
        this->nextTickMs = now.steadyMs + TickIntervalMs;
        this->carryOut(tick(this->state, now));
    }
    if (now.steadyMs >= this->nextPublishMs) {
        this->nextPublishMs = now.steadyMs + PublishIntervalMs;
        this->publish(now);
    }
    this->ready = isReady(this->state, now);
}

void AgentDaemon::Implementation::checkHealth()
{
    this->healthCheckPending = true;
    Net::HttpCall call;
    call.url = this->settings.backendUrl + "/health";
    call.timeoutMs = std::max(MinHealthTimeoutMs, this->settings.heartbeatMs);
    this->healthClient->send(std::move(call), [this](const Net::HttpResult &answer) {
        this->mailbox.post(HealthAnswered{readHealthAnswer(answer)});
    });
}

void AgentDaemon::Implementation::publish(Common::Moment now)
{
    publishState(this->metrics, this->state, now);
    publishTraffic(this->metrics, this->hub->traffic());
}

Net::HttpResponse AgentDaemon::Implementation::handleHttpRequest(const Net::HttpRequest &request)
{
    Net::HttpResponse response;
    if (request.path == "/metrics") {
        response.contentType = "text/plain; version=0.0.4";
        Net::exportUsage(this->metrics, this->budget);
        response.body = this->metrics.expose();
    } else if (request.path == "/health") {
        response.body = R"({"live":true})";
    } else if (request.path == "/ready") {
        const bool isReadyNow = this->ready;
        response.status = isReadyNow ? response.status : StatusUnavailable;
        response.body = isReadyNow ? R"({"ready":true})" : R"({"ready":false})";
    } else {
        response.status = StatusNotFound;
        response.body = R"({"error":"no such path"})";
    }
    return response;
}

AgentDaemon::AgentDaemon(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

AgentDaemon::~AgentDaemon()
{
    this->implementation->server->stop();
    this->implementation->hub->stop();
}

std::uint16_t AgentDaemon::metricsPort() const
{
    return this->implementation->server->port();
}

void AgentDaemon::requestStop()
{
    this->implementation->mailbox.post(StopRequested{});
}

bool AgentDaemon::run()
{
    return this->implementation->run();
}

AgentDaemonBuilder &AgentDaemonBuilder::settings(Schema::AgentSettings settings)
{
    this->chosen = std::move(settings);
    return *this;
}

std::unique_ptr<AgentDaemon> AgentDaemonBuilder::build()
{
    auto implementation = std::make_unique<AgentDaemon::Implementation>(this->chosen);
    implementation->start();
    return std::unique_ptr<AgentDaemon>(new AgentDaemon(std::move(implementation)));
}

} // namespace Agent
