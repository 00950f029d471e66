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
constexpr const char *EndingDetail = "this gateway ends; nothing has run";
constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Gone = 410;
constexpr int Unavailable = 503;
/// Of a caller that does not say how long it waits.
constexpr std::int64_t DefaultPatienceMs = 30'000;
/// An answer at the last moment has to reach its caller.
constexpr std::int64_t ReturnMs = 20;
constexpr const char *RefusedRequests = "auburntrail_requests_refused_total";
constexpr const char *UndeliveredAnswers = "auburntrail_answers_undelivered_total";

Common::Outcome<void> decodeBody(CallerAsked &asked, const std::string &body)
{
    BOOST_LEAF_AUTO(job, Platform::decodeJob(asked.id, body));
    asked.job = std::move(job);
    return {};
}

/// Tells the caller when to come back where that helps.
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
                                   CarryOut carryOut)
    : control(control)
    , mailbox(mailbox)
    , carryOut(std::move(carryOut))
{}

void TransientCallers::start()
{
    this->startCallerServer();
    this->startProbeServer();
    this->metricsServer = Net::serveMetrics(
            this->control.settings.host,
            static_cast<std::uint16_t>(this->control.settings.metricsPort), this->control.metrics);
}

void TransientCallers::startCallerServer()
{
    const Net::Address caller = Net::parseAddress(this->control.settings.callerAddress);
    this->callerServer =
            Net::HttpServerBuilder()
                    .listenOn(caller.host, caller.port)
                    .maxBodyBytes(static_cast<std::size_t>(this->control.settings.maxBodyBytes))
                    .refused([this](Reason reason) {
                        this->control.metrics.count(RefusedRequests,
                                                    {{"reason", Schema::enumName(reason)}});
                    })
                    .disconnected([this](std::uint64_t connection) {
                        this->mailbox.post(CallerLeft{connection});
                    })
                    .handler([this](const Net::HttpRequest &request, Net::HttpReply reply) {
                        this->takeCall(request, std::move(reply));
                    })
                    .build();
}

void TransientCallers::startProbeServer()
{
    const Net::Address probe = Net::parseAddress(this->control.settings.probeAddress);
    this->probeServer =
            Net::HttpServerBuilder()
                    .listenOn(probe.host, probe.port)
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

void TransientCallers::refuseFromNowOn()
{
    const std::lock_guard<std::mutex> lock(this->intakeMutex);
    this->isRefusing = true;
}

void TransientCallers::refuseUnread(const CallerAsked &event)
{
    this->refuse(event, Unavailable, Reason::Stopping, EndingDetail);
}

/// Runs on the HTTP thread.
void TransientCallers::takeCall(const Net::HttpRequest &request, Net::HttpReply reply)
{
    const std::lock_guard<std::mutex> lock(this->intakeMutex);
    if (this->isRefusing) {
        Net::HttpResponse response = refusal(Unavailable, EndingDetail);
        response.closesConnection = true;
        reply.send(response);
        return;
    }
    CallerAsked asked{
            request.method,  {}, request.path, {}, 0, std::nullopt, {}, request.connection,
            std::move(reply)};
    const auto host = request.headers.find("host");
    asked.host = host == request.headers.end() ? std::string() : host->second;
    asked.id = request.path.substr(request.path.rfind('/') + 1);
    asked.remainingTimeoutMs = Platform::callerPatienceMs(request).value_or(DefaultPatienceMs);
    if (request.method == "POST") {
        Common::handle([&] { return decodeBody(asked, request.body); },
                       [&asked](const Common::Failure &failure) { asked.failure = failure; });
    }
    this->mailbox.post(std::move(asked));
}

void TransientCallers::on(CallerAsked &event)
{
    if (this->control.queues.version == 0) {
        this->refuse(event, Unavailable, Reason::NoConfiguration, "no configuration yet");
        return;
    }
    const Schema::JobQueue *queue =
            Transient::findQueue(this->control.queues, event.host, event.path);
    if (queue == nullptr) {
        this->refuse(event, NotFound, Reason::UnknownQueue, "no such queue");
        return;
    }
    const std::string rest = event.path.substr(queue->path.size());
    if (event.method == "GET" && rest.empty()) {
        this->reply(event.reply, Platform::encodeWaiting(
                                         Transient::waitingJobs(this->control.state, queue->name)));
        return;
    }
    if (!Platform::isJobId(rest)) {
        this->refuse(event, BadRequest, Reason::Malformed, "the path must end with a job's id");
        return;
    }
    if (event.method == "POST") {
        this->submit(event, *queue);
    } else if (event.method == "GET" || event.method == "DELETE") {
        this->askState(event, *queue);
    } else {
        this->refuse(event, BadRequest, Reason::Malformed, "no such call");
    }
}

void TransientCallers::submit(CallerAsked &asked, const Schema::JobQueue &queue)
{
    if (!asked.job) {
        const bool isUnsupported = asked.failure.reason == Reason::UnsupportedJob;
        this->refuse(asked, isUnsupported ? Unavailable : BadRequest, asked.failure.reason,
                     asked.failure.detail);
        return;
    }
    Transient::Submission submission;
    submission.token = std::to_string(++this->lastToken);
    submission.queue = queue;
    submission.request = std::move(*asked.job);
    submission.remainingTimeoutMs = std::max<std::int64_t>(0, asked.remainingTimeoutMs - ReturnMs);
    this->requests.emplace(submission.token, OpenRequest{asked.connection, asked.reply});
    this->carryOut(Transient::jobSubmitted(this->control.state, std::move(submission),
                                           this->control.now, this->control.random));
}

/// Transient jobs are not kept: what has ended is not known any more.
void TransientCallers::askState(const CallerAsked &asked, const Schema::JobQueue &queue)
{
    const auto found = this->control.state.jobs.find(asked.id);
    const bool isKnown = found != this->control.state.jobs.end()
                         && found->second.queue.name == queue.name && !found->second.result;
    if (!isKnown) {
        this->refuse(asked, Gone, Reason::UnknownJob, "no such job");
        return;
    }
    if (asked.method == "DELETE") {
        this->carryOut(Transient::jobCancelled(this->control.state, asked.id, this->control.now));
    }
    this->reply(asked.reply, Platform::encodeRunning());
}

void TransientCallers::on(const CallerLeft &event)
{
    std::vector<std::string> left;
    for (const auto &[token, request] : this->requests) {
        if (request.connection == event.connection) {
            left.push_back(token);
        }
    }
    for (const std::string &token : left) {
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

void TransientCallers::refuse(const CallerAsked &asked, int status, Reason reason,
                              const std::string &detail)
{
    this->control.metrics.count(RefusedRequests, {{"reason", Schema::enumName(reason)}});
    Common::logEvent(LogLevel::Info, "request_refused",
                     {{"job", asked.id},
                      {"method", asked.method},
                      {"host", asked.host},
                      {"path", asked.path},
                      {"queues_version", this->control.queues.version},
                      {"reason", Schema::enumName(reason)},
                      {"detail", detail}});
    this->reply(asked.reply, refusal(status, detail));
}

bool TransientCallers::reply(const Net::HttpReply &reply, Net::HttpResponse response)
{
    response.closesConnection = this->control.state.isStopping;
    const bool isHandedOver = reply.send(response);
    if (!isHandedOver) {
        this->control.metrics.count(UndeliveredAnswers, {});
    }
    return isHandedOver;
}

void TransientCallers::passTime(bool isReady)
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

bool TransientCallers::isQuiet() const
{
    constexpr std::int64_t QuietMs = 200;
    return this->requests.empty() && this->callerServer->openConnections() == 0
           && this->idleSinceMs != 0 && this->control.now.steadyMs >= this->idleSinceMs + QuietMs;
}

} // namespace Gateway
