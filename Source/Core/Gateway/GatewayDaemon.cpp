#include "Gateway/GatewayDaemon.h"

#include <chrono>
#include <unordered_map>

#include "Common/Common.h"
#include "Dispatch/Dispatch.h"
#include "Gateway/ControlMessage.h"
#include "Gateway/Links.h"
#include "Net/Net.h"
#include "PlatformLog/PlatformLog.h"

namespace Gateway {

using Common::LogLevel;
using Common::Moment;
using Dispatch::Effects;
using Dispatch::LogStream;

namespace {

/// Requests refused before they reach a decision.
constexpr const char *RefusedRequests = "auburntrail_requests_refused_total";
/// Longest wait for an event: bounds how late a timer of the decisions can fire.
constexpr std::chrono::milliseconds TickMs{5};
/// After the last answer a caller's connection gets this long to take it.
constexpr std::int64_t LingerMs = 200;

PlatformLog::Stream streamOf(LogStream stream)
{
    switch (stream) {
    case LogStream::Control:
        return PlatformLog::Stream::Control;
    case LogStream::Journal:
        return PlatformLog::Stream::Journal;
    case LogStream::Config:
        break;
    }
    return PlatformLog::Stream::Config;
}

Dispatch::AppendStatus statusOfAppend(PlatformLog::AppendStatus status)
{
    switch (status) {
    case PlatformLog::AppendStatus::Durable:
        return Dispatch::AppendStatus::Durable;
    case PlatformLog::AppendStatus::Unknown:
        return Dispatch::AppendStatus::Unknown;
    case PlatformLog::AppendStatus::Refused:
        return Dispatch::AppendStatus::Refused;
    case PlatformLog::AppendStatus::Unavailable:
        break;
    }
    return Dispatch::AppendStatus::Unavailable;
}

} // namespace

struct GatewayDaemon::Implementation
{
    explicit Implementation(const Schema::GatewaySettings &settings);

    bool run();
    void handle(ControlMessage message);
    void on(ApiCalled &called);
    void on(Net::LinkUp &up);
    void on(Net::FrameArrived &arrived);
    void on(Net::LinkDown &down);
    void on(LogDelivered &delivered);
    void on(LogAppended &appended);
    void on(StopRequested &stop);

    void carryOut(Effects effects);
    void carryOut(Dispatch::SendToGateway &send);
    void carryOut(Dispatch::SendToAgent &send);
    void carryOut(Dispatch::AppendToLog &append);
    void carryOut(Dispatch::AnswerRequest &answer);
    void carryOut(Dispatch::AnswerConfigure &answer);
    void carryOut(Dispatch::AnswerQuery &answer);
    void carryOut(Dispatch::CountReason &count);
    void carryOut(Dispatch::Note &note);

    void askDispatch(ApiCalled &called);
    void dialMembers();
    void dropSilentLinks();
    void forgetLink(Net::LinkId id);
    void exportMetrics();
    std::string keepReply(Net::HttpReply reply);
    void answerHttp(const Net::HttpRequest &request, Net::HttpReply reply);
    void follow(LogStream stream);

    Schema::GatewaySettings settings;
    Common::Metrics metrics;
    Common::Mailbox<ControlMessage> mailbox;
    Common::Random random;
    Moment now;
    Dispatch::GatewayState state;
    LinkTable links;
    std::map<std::string, std::int64_t> lastDialMs;
    std::unordered_map<std::string, Net::HttpReply> replies;
    std::uint64_t lastToken = 0;
    std::int64_t lastHousekeepingMs = 0;
    // Last, so that their threads end before what they post to.
    std::unique_ptr<Net::PeerHub> hub;
    std::unique_ptr<PlatformLog::LogClient> log;
    std::unique_ptr<Net::HttpServer> http;
    std::uint16_t peerPort = 0;
};

GatewayDaemon::Implementation::Implementation(const Schema::GatewaySettings &settings)
    : settings(settings)
    , random(Common::makeRandom())
    , now(Common::currentMoment())
{
    this->hub = std::make_unique<Net::PeerHub>(Net::eventsTo(this->mailbox));
    this->peerPort =
            this->hub->listen(settings.host, static_cast<std::uint16_t>(settings.peerPort));

    PlatformLog::LogClientSettings logSettings;
    logSettings.url = settings.logUrl;
    logSettings.metrics = &this->metrics;
    this->log = std::make_unique<PlatformLog::LogClient>(logSettings);

    this->http = Net::HttpServerBuilder()
                         .listenOn(settings.host, static_cast<std::uint16_t>(settings.httpPort))
                         .threads(static_cast<int>(settings.httpThreads))
                         .maxBodyBytes(static_cast<std::size_t>(settings.maxBodyBytes))
                         .refused([this](Schema::Reason reason) {
                             this->metrics.count(RefusedRequests,
                                                 {{"reason", Schema::enumName(reason)}});
                         })
                         .handler([this](const Net::HttpRequest &request, Net::HttpReply reply) {
                             this->answerHttp(request, std::move(reply));
                         })
                         .build();

    Schema::Member self;
    self.instance = settings.name + '-' + Common::randomId(this->random);
    self.host = settings.host;
    self.httpPort = this->http->port();
    self.peerPort = this->peerPort;
    self.failureDomain = settings.failureDomain;
    this->links.self = self.instance;
    this->state = Dispatch::makeGateway(settings, self, this->now);
    this->follow(LogStream::Control);
    this->follow(LogStream::Journal);
    this->follow(LogStream::Config);
    Common::logEvent(LogLevel::Info, "gateway_started",
                     {{"instance", self.instance},
                      {"http_port", self.httpPort},
                      {"peer_port", self.peerPort}});
}

void GatewayDaemon::Implementation::follow(LogStream stream)
{
    this->log->follow(streamOf(stream), 0, [this, stream](PlatformLog::ReadResult read) {
        this->mailbox.post(LogDelivered{stream, std::move(read)});
    });
}

/// Runs on the HTTP threads. Probes and refusals need no decision and are answered at once.
void GatewayDaemon::Implementation::answerHttp(const Net::HttpRequest &request,
                                               Net::HttpReply reply)
{
    const auto accept = [&]() -> Common::Outcome<void> {
        BOOST_LEAF_AUTO(parsed, parseRequest(request));
        if (parsed.call == ApiCall::Health) {
            reply.send({200, "{\"ok\":true}", "application/json", 0});
        } else if (parsed.call == ApiCall::Metrics) {
            reply.send({200, this->metrics.expose(), "text/plain; version=0.0.4", 0});
        } else {
            this->mailbox.post(ApiCalled{std::move(parsed), reply});
        }
        return {};
    };
    Common::handle(accept, [&](const Common::Failure &failure) {
        this->metrics.count(RefusedRequests, {{"reason", Schema::enumName(failure.reason)}});
        reply.send(failureResponse(failure));
    });
}

bool GatewayDaemon::Implementation::run()
{
    std::int64_t stopBeganMs = 0;
    std::int64_t doneSinceMs = 0;
    while (true) {
        std::deque<ControlMessage> messages = this->mailbox.take(TickMs);
        this->now = Common::currentMoment();
        for (ControlMessage &message : messages) {
            this->handle(std::move(message));
        }
        this->carryOut(Dispatch::settle(this->state, this->now, this->random));
        this->dialMembers();
        if (this->now.steadyMs >= this->lastHousekeepingMs + this->settings.heartbeatMs) {
            this->lastHousekeepingMs = this->now.steadyMs;
            this->dropSilentLinks();
            this->exportMetrics();
        }
        if (!this->state.stopping) {
            continue;
        }
        stopBeganMs = stopBeganMs == 0 ? this->now.steadyMs : stopBeganMs;
        const bool isDone = Dispatch::isStopped(this->state) && this->replies.empty();
        doneSinceMs = isDone ? (doneSinceMs == 0 ? this->now.steadyMs : doneSinceMs) : 0;
        if (isDone && this->now.steadyMs >= doneSinceMs + LingerMs) {
            return true;
        }
        if (this->now.steadyMs >= stopBeganMs + this->settings.stopTimeoutMs) {
            return false;
        }
    }
}

void GatewayDaemon::Implementation::handle(ControlMessage message)
{
    std::visit([this](auto &event) { this->on(event); }, message);
}

std::string GatewayDaemon::Implementation::keepReply(Net::HttpReply reply)
{
    std::string token = "h" + std::to_string(++this->lastToken);
    this->replies.emplace(token, std::move(reply));
    return token;
}

void GatewayDaemon::Implementation::on(ApiCalled &called)
{
    switch (called.request.call) {
    case ApiCall::Ready: {
        const bool isReady = Dispatch::isReady(this->state);
        const char *body = this->state.stopping ? "{\"ready\":false,\"reason\":\"stopping\"}"
                                                : "{\"ready\":false,\"reason\":\"not_ready\"}";
        called.reply.send(
                {isReady ? 200 : 503, isReady ? "{\"ready\":true}" : body, "application/json", 0});
        return;
    }
    case ApiCall::GetConfiguration: {
        const nlohmann::json document = Dispatch::configuration(this->state.site.config);
        called.reply.send({200, document.dump(), "application/json", 0});
        return;
    }
    case ApiCall::SetConfiguration: {
        const std::string token = this->keepReply(called.reply);
        this->carryOut(Dispatch::configureAsked(this->state, token, *called.request.change,
                                                called.request.basedOn, this->now, this->random));
        return;
    }
    case ApiCall::Query: {
        const std::string token = this->keepReply(called.reply);
        this->carryOut(Dispatch::queryAsked(this->state, token, called.request.text, this->now));
        return;
    }
    default:
        this->askDispatch(called);
    }
}

void GatewayDaemon::Implementation::askDispatch(ApiCalled &called)
{
    Dispatch::CallerRequest asked;
    asked.token = this->keepReply(called.reply);
    asked.wait = called.request.wait;
    asked.job = called.request.job;
    asked.submit = std::move(called.request.submit);
    if (called.request.call == ApiCall::Submit) {
        asked.kind = Schema::ForwardKind::Submit;
    } else if (called.request.call == ApiCall::Cancel) {
        asked.kind = Schema::ForwardKind::Cancel;
    }
    this->carryOut(Dispatch::callerAsked(this->state, std::move(asked), this->now, this->random));
}

void GatewayDaemon::Implementation::on(Net::LinkUp &up)
{
    linkOpened(this->links, up.link, this->now);
}

void GatewayDaemon::Implementation::on(Net::FrameArrived &arrived)
{
    const auto known = this->links.links.find(arrived.link);
    if (known == this->links.links.end()) {
        return;
    }
    const Sender sender = senderOf(arrived.frame);
    if (sender.kind != PeerKind::Unidentified) {
        const Net::LinkId replaced =
                linkIdentified(this->links, arrived.link, sender.kind, sender.instance, this->now);
        if (replaced != 0) {
            this->forgetLink(replaced);
        }
    }
    Link &link = this->links.links.at(arrived.link);
    link.lastHeardMs = this->now.steadyMs;
    const PeerKind kind = link.kind;
    const std::string instance = link.instance;
    if (kind == PeerKind::Unidentified) {
        holdEarly(link, std::move(arrived.frame));
        return;
    }
    for (const Schema::Frame &frame : releaseEarly(link, std::move(arrived.frame))) {
        if (kind == PeerKind::Agent) {
            this->carryOut(Dispatch::agentFrameHeard(this->state, instance, frame, this->now,
                                                     this->random));
        } else {
            this->carryOut(Dispatch::gatewayFrameHeard(this->state, instance, frame, this->now));
        }
    }
}

void GatewayDaemon::Implementation::on(Net::LinkDown &down)
{
    this->forgetLink(down.link);
}

/// Also for a link that is closed on purpose: the decisions learn of it at once, not when the hub
/// reports it.
void GatewayDaemon::Implementation::forgetLink(Net::LinkId id)
{
    this->hub->close(id);
    const Link link = linkClosed(this->links, id);
    if (link.kind == PeerKind::Agent) {
        // Also where a new link of the same agent has taken its place: frames on the old one may be
        // lost, so that the agent is asked what arrived.
        Dispatch::agentLinkLost(this->state, link.instance, this->now);
    } else if (link.kind == PeerKind::Gateway) {
        Dispatch::gatewayLinkLost(this->state, link.instance);
    }
}

void GatewayDaemon::Implementation::on(LogDelivered &delivered)
{
    if (!delivered.read.available) {
        Common::logEvent(LogLevel::Warning, "log_unavailable",
                         {{"stream", PlatformLog::streamName(streamOf(delivered.stream))}});
        return;
    }
    Dispatch::LogRead read;
    read.entries = std::move(delivered.read.entries);
    read.nextOffset = delivered.read.nextOffset;
    read.atEnd = delivered.read.atEnd;
    read.oldestOffset = delivered.read.oldestOffset;
    this->carryOut(Dispatch::logHeard(this->state, delivered.stream, read, this->now));
}

void GatewayDaemon::Implementation::on(LogAppended &appended)
{
    this->carryOut(Dispatch::appendEnded(this->state, appended.stream, appended.batch,
                                         statusOfAppend(appended.result.status), this->now));
}

void GatewayDaemon::Implementation::on(StopRequested & /*stop*/)
{
    Common::logEvent(LogLevel::Info, "stop_requested", {});
    Dispatch::beginStop(this->state);
}

void GatewayDaemon::Implementation::carryOut(Effects effects)
{
    for (Dispatch::Effect &effect : effects) {
        std::visit([this](auto &one) { this->carryOut(one); }, effect);
    }
}

void GatewayDaemon::Implementation::carryOut(Dispatch::SendToGateway &send)
{
    const Net::LinkId link = linkTo(this->links, send.instance);
    if (link == 0 || !this->hub->send(link, send.frame)) {
        this->metrics.count("auburntrail_frames_undeliverable_total", {{"to", "gateway"}});
        // A request that could not be handed on is tried again; the owner would have answered once.
        if (send.frame.type == Schema::FrameType::Forward) {
            Dispatch::gatewayLinkLost(this->state, send.instance);
        }
        return;
    }
    this->metrics.count("auburntrail_frames_sent_total",
                        {{"type", Schema::enumName(send.frame.type)}});
}

void GatewayDaemon::Implementation::carryOut(Dispatch::SendToAgent &send)
{
    const Net::LinkId link = linkTo(this->links, send.instance);
    if (link == 0) {
        this->metrics.count("auburntrail_frames_undeliverable_total", {{"to", "agent"}});
        return;
    }
    if (!this->hub->send(link, send.frame)) {
        // The frame is lost: without a new connection nobody would ask what arrived.
        this->metrics.count("auburntrail_frames_undeliverable_total", {{"to", "agent"}});
        this->forgetLink(link);
        return;
    }
    this->metrics.count("auburntrail_frames_sent_total",
                        {{"type", Schema::enumName(send.frame.type)}});
    if (send.frame.startTasks) {
        this->metrics.count("auburntrail_task_starts_sent_total", {},
                            static_cast<double>(send.frame.startTasks->tasks.size()));
    }
}

void GatewayDaemon::Implementation::carryOut(Dispatch::AppendToLog &append)
{
    const LogStream stream = append.stream;
    const std::uint64_t batch = append.batch;
    this->log->append(streamOf(stream), append.records,
                      [this, stream, batch](PlatformLog::AppendResult result) {
                          this->mailbox.post(LogAppended{stream, batch, result});
                      });
}

void GatewayDaemon::Implementation::carryOut(Dispatch::AnswerRequest &answer)
{
    const auto reply = this->replies.find(answer.requestId);
    if (reply == this->replies.end()) {
        return;
    }
    this->metrics.count("auburntrail_answers_total",
                        {{"outcome", Schema::enumName(answer.answer.outcome)},
                         {"reason", Schema::enumName(answer.answer.reason)}});
    reply->second.send(jobResponse(answer.answer));
    this->replies.erase(reply);
}

void GatewayDaemon::Implementation::carryOut(Dispatch::AnswerConfigure &answer)
{
    const auto reply = this->replies.find(answer.requestId);
    if (reply == this->replies.end()) {
        return;
    }
    if (answer.reason == Schema::Reason::None) {
        const nlohmann::json body = {{"version", answer.version}};
        reply->second.send({200, body.dump(), "application/json", 0});
    } else {
        reply->second.send(failureResponse({answer.reason, answer.detail}));
    }
    this->replies.erase(reply);
}

void GatewayDaemon::Implementation::carryOut(Dispatch::AnswerQuery &answer)
{
    const auto reply = this->replies.find(answer.requestId);
    if (reply == this->replies.end()) {
        return;
    }
    constexpr int BadRequest = 400;
    const nlohmann::json body = answer.answer;
    reply->second.send({answer.answer.ok ? 200 : BadRequest, body.dump(), "application/json", 0});
    this->replies.erase(reply);
}

void GatewayDaemon::Implementation::carryOut(Dispatch::CountReason &count)
{
    this->metrics.count(count.counter, {{"reason", Schema::enumName(count.reason)}});
}

void GatewayDaemon::Implementation::carryOut(Dispatch::Note &note)
{
    Common::logEvent(LogLevel::Info, note.event, note.fields);
}

void GatewayDaemon::Implementation::dialMembers()
{
    const Dispatch::ControlTable &table = this->state.site.ownership.table;
    // Members do not know of a gateway that has not joined: it dials them all.
    const bool isMember = Dispatch::onRoster(table, this->state.self.instance);
    for (const Schema::Member &member : table.roster) {
        const bool isOurs = !isMember || dials(this->links, member.instance);
        if (member.instance == this->state.self.instance || !isOurs
            || this->links.outboundTo.count(member.instance) != 0) {
            continue;
        }
        std::int64_t &lastMs = this->lastDialMs[member.instance];
        if (lastMs != 0 && this->now.steadyMs < lastMs + this->settings.heartbeatMs) {
            continue;
        }
        lastMs = this->now.steadyMs;
        const Net::LinkId link =
                this->hub->connect(member.host, static_cast<std::uint16_t>(member.peerPort));
        linkDialled(this->links, link, member.instance, this->now);
    }
}

void GatewayDaemon::Implementation::dropSilentLinks()
{
    const auto silent =
            silentLinks(this->links, this->now,
                        std::max(this->settings.agentSilenceMs, this->settings.peerSilenceMs));
    for (const Net::LinkId id : silent) {
        Common::logEvent(LogLevel::Warning, "link_silent",
                         {{"peer", this->links.links.at(id).instance}});
        this->metrics.count("auburntrail_links_silent_total");
        this->forgetLink(id);
    }
}

void GatewayDaemon::Implementation::exportMetrics()
{
    const auto &ownership = this->state.site.ownership;
    const auto serving = Dispatch::shardsIn(ownership, Dispatch::ShardPhase::Serving).size();
    this->metrics.set("auburntrail_shards_serving", static_cast<double>(serving));
    this->metrics.set("auburntrail_ownership_version",
                      static_cast<double>(Dispatch::ownershipVersion(ownership)));
    this->metrics.set(
            "auburntrail_config_version",
            static_cast<double>(Dispatch::configuration(this->state.site.config).version));
    this->metrics.set("auburntrail_jobs_remembered",
                      static_cast<double>(this->state.ledger.jobs.size()));
    this->metrics.set("auburntrail_tasks_queued",
                      static_cast<double>(Dispatch::totalDemand(this->state.scheduler)));
    this->metrics.set("auburntrail_requests_open",
                      static_cast<double>(this->state.requests.requests.size()));
    const Net::PeerHubTraffic traffic = this->hub->traffic();
    this->metrics.set("auburntrail_peer_bytes_sent", static_cast<double>(traffic.bytesSent));
    this->metrics.set("auburntrail_peer_bytes_received",
                      static_cast<double>(traffic.bytesReceived));
    this->metrics.set("auburntrail_peer_frames_sent", static_cast<double>(traffic.framesSent));
    this->metrics.set("auburntrail_peer_frames_received",
                      static_cast<double>(traffic.framesReceived));
}

GatewayDaemon::GatewayDaemon(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

GatewayDaemon::~GatewayDaemon()
{
    this->implementation->http->stop();
    this->implementation->log->stop();
    this->implementation->hub->stop();
}

std::uint16_t GatewayDaemon::httpPort() const
{
    return this->implementation->http->port();
}

std::uint16_t GatewayDaemon::peerPort() const
{
    return this->implementation->peerPort;
}

void GatewayDaemon::requestStop()
{
    this->implementation->mailbox.post(StopRequested{});
}

bool GatewayDaemon::run()
{
    return this->implementation->run();
}

GatewayDaemonBuilder &GatewayDaemonBuilder::settings(Schema::GatewaySettings settings)
{
    this->chosen = std::move(settings);
    return *this;
}

std::unique_ptr<GatewayDaemon> GatewayDaemonBuilder::build()
{
    auto implementation = std::make_unique<GatewayDaemon::Implementation>(this->chosen);
    return std::unique_ptr<GatewayDaemon>(new GatewayDaemon(std::move(implementation)));
}

} // namespace Gateway
