#include "Gateway/GatewayCallers.h"

#include <utility>

namespace Gateway {

namespace {

/// Counts requests that are refused before they reach the decision code.
constexpr const char *RefusedRequests = "auburntrail_requests_refused_total";
constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Unavailable = 503;

Net::HttpResponse jsonResponse(int status, const nlohmann::json &body)
{
    return {status, body.dump(), "application/json", 0};
}

} // namespace

GatewayCallers::GatewayCallers(GatewayControl &control, ControlMailbox &mailbox,
                               DispatchEffectHandler carryOut)
    : control(control)
    , mailbox(mailbox)
    , carryOut(std::move(carryOut))
{}

void GatewayCallers::start()
{
    const Schema::GatewaySettings &settings = this->control.settings;
    this->server =
            Net::serverWithin(*this->control.budget, Net::Listener::Callers, this->control.metrics)
                    .listenOn(settings.host, static_cast<std::uint16_t>(settings.httpPort))
                    .threads(static_cast<int>(settings.httpThreads))
                    .maxBodyBytes(static_cast<std::size_t>(settings.maxBodyBytes))
                    .handler([this](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        this->handleRequest(request, reply);
                    })
                    .build();
}

void GatewayCallers::stop()
{
    this->server->stop();
}

std::uint16_t GatewayCallers::port() const
{
    return this->server->port();
}

/// Called on the HTTP threads. Health checks, requests for metrics and invalid requests need no
/// decision and are answered at once.
void GatewayCallers::handleRequest(const Net::HttpRequest &request, const Net::HttpReply &reply)
{
    Common::handle([&] { return this->decodeRequest(request, reply); },
                   [&](const Common::Failure &failure) {
                       this->control.metrics.count(RefusedRequests,
                                                   {{"reason", Schema::enumName(failure.reason)}});
                       reply.send(failureResponse(failure));
                   });
}

Common::Outcome<void> GatewayCallers::decodeRequest(const Net::HttpRequest &request,
                                                    const Net::HttpReply &reply)
{
    BOOST_LEAF_AUTO(parsed, parseRequest(request));
    if (parsed.call == ApiCall::Health) {
        reply.send({Ok, "{\"ok\":true}", "application/json", 0});
    } else if (parsed.call == ApiCall::Metrics) {
        Net::exportUsage(this->control.metrics, *this->control.budget);
        reply.send({Ok, this->control.metrics.expose(), "text/plain; version=0.0.4", 0});
    } else {
        this->mailbox.postWork(ApiCalled{std::move(parsed), reply});
    }
    return {};
}

void GatewayCallers::on(ApiCalled &called)
{
    switch (called.request.call) {
    case ApiCall::Ready:
        this->answerReady(called.reply);
        return;
    case ApiCall::GetConfiguration: {
        const nlohmann::json document = Dispatch::configuration(this->control.state.site.config);
        called.reply.send(jsonResponse(Ok, document));
        return;
    }
    case ApiCall::SetConfiguration: {
        const std::string token = this->storeReply(called.reply);
        this->carryOut(Dispatch::handleConfigChange(this->control.state, token,
                                                    *called.request.change, called.request.basedOn,
                                                    this->control.now, this->control.random));
        return;
    }
    case ApiCall::Query: {
        const std::string token = this->storeReply(called.reply);
        this->carryOut(Dispatch::handleQuery(this->control.state, token, called.request.text,
                                             this->control.now));
        return;
    }
    default:
        this->handleJobRequest(called);
    }
}

void GatewayCallers::answerReady(const Net::HttpReply &reply)
{
    if (Dispatch::isReady(this->control.state)) {
        reply.send({Ok, "{\"ready\":true}", "application/json", 0});
        return;
    }
    const char *body = this->control.state.stopping ? "{\"ready\":false,\"reason\":\"stopping\"}"
                                                    : "{\"ready\":false,\"reason\":\"not_ready\"}";
    reply.send({Unavailable, body, "application/json", 0});
}

void GatewayCallers::handleJobRequest(ApiCalled &called)
{
    Dispatch::CallerRequest callerRequest;
    callerRequest.token = this->storeReply(called.reply);
    callerRequest.wait = called.request.wait;
    callerRequest.job = called.request.job;
    callerRequest.submit = std::move(called.request.submit);
    if (called.request.call == ApiCall::Submit) {
        callerRequest.kind = Schema::ForwardKind::Submit;
    } else if (called.request.call == ApiCall::Cancel) {
        callerRequest.kind = Schema::ForwardKind::Cancel;
    }
    this->carryOut(Dispatch::handleCallerRequest(this->control.state, std::move(callerRequest),
                                                 this->control.now, this->control.random));
}

std::string GatewayCallers::storeReply(Net::HttpReply reply)
{
    std::string token = "h" + std::to_string(++this->lastToken);
    this->replies.emplace(token, std::move(reply));
    return token;
}

void GatewayCallers::sendReply(const std::string &token, const Net::HttpResponse &response)
{
    const auto reply = this->replies.find(token);
    if (reply != this->replies.end()) {
        reply->second.send(response);
        this->replies.erase(reply);
    }
}

void GatewayCallers::answer(const Dispatch::AnswerRequest &answer)
{
    if (this->replies.count(answer.requestId) == 0) {
        return;
    }
    this->control.metrics.count("auburntrail_answers_total",
                                {{"outcome", Schema::enumName(answer.answer.outcome)},
                                 {"reason", Schema::enumName(answer.answer.reason)}});
    this->sendReply(answer.requestId, jobResponse(answer.answer));
}

void GatewayCallers::answer(const Dispatch::AnswerConfigure &answer)
{
    const bool isAccepted = answer.reason == Schema::Reason::None;
    this->sendReply(answer.requestId, isAccepted ? jsonResponse(Ok, {{"version", answer.version}})
                                                 : failureResponse({answer.reason, answer.detail}));
}

void GatewayCallers::answer(const Dispatch::AnswerQuery &answer)
{
    this->sendReply(answer.requestId,
                    jsonResponse(answer.answer.ok ? Ok : BadRequest, answer.answer));
}

bool GatewayCallers::hasOpenRequests() const
{
    return !this->replies.empty();
}

} // namespace Gateway
