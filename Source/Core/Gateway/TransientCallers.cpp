#include "Gateway/TransientCallers.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "platform/Platform.h"

namespace Gateway {

using Common::LogLevel;
using Schema::Reason;

namespace {

constexpr int RetrySeconds = 1;
constexpr const char *StoppingDetail = "this gateway ends; nothing has run";
constexpr const char *CallerGoneDetail = "the connection has ended; nothing has run";
constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Gone = 410;
constexpr int Unavailable = 503;
/// Subtracted from the remaining timeout: an answer sent at the last moment still has to reach its
/// caller.
constexpr std::int64_t AnswerTransitMs = 20;
constexpr const char *RefusedRequests = "auburntrail_requests_refused_total";
constexpr const char *UndeliveredAnswers = "auburntrail_answers_undelivered_total";

/// Status of a request whose path names no job and no queue.
int statusOf(Reason reason)
{
    switch (reason) {
    case Reason::NoConfiguration:
        return Unavailable;
    case Reason::UnknownQueue:
        return NotFound;
    default:
        return BadRequest;
    }
}

/// Builds a refusal. With status 503 a later attempt may succeed: Retry-After is set.
Net::HttpResponse refusal(int status, const std::string &detail)
{
    Net::HttpResponse response = Platform::encodeRefusal(status, detail);
    if (status == Unavailable) {
        response.retryAfterSeconds = RetrySeconds;
    }
    return response;
}

} // namespace

TransientCallers::TransientCallers(TransientControl &control, TransientMailbox &mailbox,
                                   TransientEffectHandler carryOut)
    : control(control)
    , mailbox(mailbox)
    , carryOut(std::move(carryOut))
{}

void TransientCallers::start()
{
    this->startCallerServer();
    this->startProbeServer();
    this->metricsServer =
            Net::serveMetrics(this->control.settings.host,
                              static_cast<std::uint16_t>(this->control.settings.metricsPort),
                              this->control.metrics, this->control.budget);
}

void TransientCallers::startCallerServer()
{
    const Net::Address caller = Net::parseAddress(this->control.settings.callerAddress);
    this->callerServer =
            Net::serverWithin(this->control.budget, Net::Listener::Callers, this->control.metrics)
                    .listenOn(caller.host, caller.port)
                    .maxBodyBytes(static_cast<std::size_t>(this->control.settings.maxBodyBytes))
                    .disconnected([this](std::uint64_t connection) {
                        this->mailbox.post(CallerDisconnected{connection});
                    })
                    .handler([this](Net::HttpRequest request, Net::HttpReply reply) {
                        this->handleRequest(std::move(request), std::move(reply));
                    })
                    .build();
}

void TransientCallers::startProbeServer()
{
    const Net::Address probe = Net::parseAddress(this->control.settings.probeAddress);
    this->probeServer =
            Net::serverWithin(this->control.budget, Net::Listener::Probe, this->control.metrics)
                    .listenOn(probe.host, probe.port)
                    .maxBodyBytes(Net::SmallBodyBytes)
                    .handler([this](const Net::HttpRequest &, const Net::HttpReply &reply) {
                        Net::HttpResponse response;
                        response.status = this->ready ? Ok : Unavailable;
                        response.body = this->ready ? "{\"ready\":true}" : "{\"ready\":false}";
                        reply.send(response);
                    })
                    .build();
}

void TransientCallers::stop()
{
    this->callerServer->stop();
    this->probeServer->stop();
    this->metricsServer->stop();
}

std::uint16_t TransientCallers::callerPort() const
{
    return this->callerServer->port();
}

std::uint16_t TransientCallers::metricsPort() const
{
    return this->metricsServer->port();
}

void TransientCallers::refuseNewRequests()
{
    const std::lock_guard<std::mutex> lock(this->intakeMutex);
    this->isRefusing = true;
}

void TransientCallers::refuseUnprocessed(const CallerRequest &event)
{
    this->refuse(event, {Unavailable, Reason::Stopping, StoppingDetail, {}});
}

/// Called on the HTTP thread.
void TransientCallers::handleRequest(Net::HttpRequest request, Net::HttpReply reply)
{
    const std::lock_guard<std::mutex> lock(this->intakeMutex);
    if (this->isRefusing) {
        Net::HttpResponse response = refusal(Unavailable, StoppingDetail);
        response.closesConnection = true;
        reply.send(std::move(response));
        return;
    }
    CallerRequest callerRequest = makeCallerRequest(request, std::move(reply));
    if (request.method == "POST") {
        callerRequest.body = std::move(request.body);
        if (!this->isQueueStanding) {
            decodeBody(callerRequest);
        }
    }
    this->control.load.requestRead(Common::currentMoment().steadyMs - request.arrivedMs);
    this->mailbox.postWork(std::move(callerRequest));
}

void TransientCallers::on(CallerRequest &event)
{
    Common::handle(
            [this, &event]() -> Common::Outcome<void> {
                BOOST_LEAF_AUTO(route, findRoute(this->control.queues, event.host, event.path));
                this->handleRouted(event, route);
                return {};
            },
            [this, &event](const Common::Failure &failure) {
                this->refuse(event, {statusOf(failure.reason), failure.reason, failure.detail, {}});
            });
}

void TransientCallers::handleRouted(CallerRequest &callerRequest, const CallerRoute &route)
{
    const bool isRead = callerRequest.method == "GET";
    if (!route.job && isRead) {
        this->reply(callerRequest.reply, Platform::encodePendingJobs(Transient::waitingJobs(
                                                 this->control.state, route.queue->name)));
    } else if (!route.job) {
        this->refuse(callerRequest, {BadRequest, Reason::Malformed, NoJobIdDetail, {}});
    } else if (callerRequest.method == "POST") {
        this->submit(callerRequest, *route.queue, *route.job);
    } else if (isRead || callerRequest.method == "DELETE") {
        this->handleStateOrCancel(callerRequest, *route.queue, *route.job);
    } else {
        this->refuse(callerRequest,
                     {BadRequest, Reason::Malformed, "no such call", route.job->text()});
    }
}

void TransientCallers::submit(CallerRequest &callerRequest, const Schema::JobQueue &queue,
                              const Platform::JobId &id)
{
    if (callerRequest.reply.hasCallerLeft()) {
        // The request was held up, and its caller may have submitted the job again elsewhere by
        // now. Tasks would start before the end of the connection is processed.
        this->refuse(callerRequest, {Unavailable, Reason::CallerGone, CallerGoneDetail, id.text()});
        return;
    }
    if (this->refuseWaited(callerRequest, id)) {
        return;
    }
    if (!isDecoded(callerRequest)) {
        decodeBody(callerRequest);
    }
    if (!callerRequest.job) {
        const Common::Failure &failure = callerRequest.failure;
        const bool isUnsupported = failure.reason == Reason::UnsupportedJob;
        this->refuse(callerRequest, {isUnsupported ? Unavailable : BadRequest, failure.reason,
                                     failure.detail, id.text()});
        return;
    }
    observeOwnDelaySince(this->control, callerRequest.arrivedMs);
    Transient::Submission submission;
    submission.token = this->openRequest(callerRequest);
    submission.queue = queue;
    submission.request.id = id.text();
    submission.request.payload = std::move(callerRequest.job->payload);
    submission.request.steps = std::move(callerRequest.job->steps);
    submission.remainingTimeoutMs =
            std::max<std::int64_t>(0, callerRequest.remainingTimeoutMs - AnswerTransitMs);
    submission.arrivedMs = callerRequest.arrivedMs;
    this->carryOut(Transient::jobSubmitted(this->control.state, std::move(submission),
                                           this->control.now, this->control.random));
}

/// Returns the token of the request, by which it is answered.
std::string TransientCallers::openRequest(const CallerRequest &callerRequest)
{
    std::string token = std::to_string(++this->lastToken);
    this->requests.emplace(token, OpenRequest{callerRequest.connection, callerRequest.reply});
    return token;
}

/// Refuses a submission that has waited too long for the control thread. Returns false if it is to
/// be handled.
bool TransientCallers::refuseWaited(const CallerRequest &callerRequest, const Platform::JobId &id)
{
    TransientControl &control = this->control;
    control.load.requestDecided(control.now.steadyMs - callerRequest.arrivedMs);
    const std::string token = this->openRequest(callerRequest);
    auto refused = Transient::refuseWaited(control.state, token, id.text(), callerRequest.arrivedMs,
                                           control.now, control.random);
    this->isQueueStanding = Transient::isStanding(control.state.requestQueue, control.now.steadyMs);
    if (!refused) {
        this->requests.erase(token);
        return false;
    }
    control.load.requestRefusedUnread();
    this->carryOut(*std::move(refused));
    return true;
}

/// Handles GET and DELETE of a job. Transient jobs are not kept after they have ended: an ended job
/// is answered like an unknown one.
void TransientCallers::handleStateOrCancel(const CallerRequest &callerRequest,
                                           const Schema::JobQueue &queue, const Platform::JobId &id)
{
    if (!Transient::isOpenJob(this->control.state, id.text(), queue)) {
        this->refuse(callerRequest, {Gone, Reason::UnknownJob, "no such job", id.text()});
        return;
    }
    if (callerRequest.method == "DELETE") {
        this->carryOut(Transient::jobCancelled(this->control.state, id.text(), this->control.now));
    }
    this->reply(callerRequest.reply, Platform::encodeRunning());
}

void TransientCallers::on(const CallerDisconnected &event)
{
    std::vector<std::string> abandonedTokens;
    for (const auto &[token, request] : this->requests) {
        if (request.connection == event.connection) {
            abandonedTokens.push_back(token);
        }
    }
    for (const std::string &token : abandonedTokens) {
        this->requests.erase(token);
        this->carryOut(
                Transient::handleCallerDisconnected(this->control.state, token, this->control.now));
    }
}

void TransientCallers::answer(const Transient::AnswerCaller &effect)
{
    const auto found = this->requests.find(effect.token);
    if (found == this->requests.end()) {
        return;
    }
    const OpenRequest open = found->second;
    this->requests.erase(found);
    if (!this->reply(open.reply, Platform::encodeResult(effect.result))) {
        Common::logEvent(LogLevel::Info, "answer_undelivered",
                         {{"job", effect.job}, {"connection", open.connection}});
    }
}

void TransientCallers::refuse(const CallerRequest &callerRequest, const Refusal &refused)
{
    const std::string reason = Schema::enumName(refused.reason);
    this->control.metrics.count(RefusedRequests, {{"reason", reason}});
    Common::logEvent(LogLevel::Info, "request_refused",
                     {{"job", refused.job},
                      {"method", callerRequest.method},
                      {"host", callerRequest.host},
                      {"path", callerRequest.path},
                      {"queues_version", this->control.queues.version},
                      {"queues_confirmed_ms_ago",
                       this->control.now.steadyMs - this->control.queuesConfirmedMs},
                      {"reason", reason},
                      {"detail", refused.detail}});
    this->reply(callerRequest.reply, refusal(refused.status, refused.detail));
}

bool TransientCallers::reply(const Net::HttpReply &reply, Net::HttpResponse response)
{
    response.closesConnection = this->control.state.isStopping;
    const bool isSent = reply.send(std::move(response));
    if (!isSent) {
        this->control.metrics.count(UndeliveredAnswers, {});
    }
    return isSent;
}

void TransientCallers::runPeriodicWork(bool isReady)
{
    this->ready = isReady;
    if (!this->requests.empty()) {
        this->idleSinceMs = 0;
    } else if (this->idleSinceMs == 0) {
        this->idleSinceMs = this->control.now.steadyMs;
    }
}

std::size_t TransientCallers::openRequests() const
{
    return this->requests.size();
}

bool TransientCallers::isIdle() const
{
    constexpr std::int64_t MinIdleMs = 200;
    return this->requests.empty() && this->callerServer->openConnections() == 0
           && this->idleSinceMs != 0 && this->control.now.steadyMs >= this->idleSinceMs + MinIdleMs;
}

} // namespace Gateway
