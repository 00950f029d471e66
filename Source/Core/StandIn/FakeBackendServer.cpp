#include "StandIn/FakeBackendServer.h"

#include <mutex>
#include <vector>

#include "Net/HttpServer.h"
#include "StandIn/Replies.h"

namespace StandIn {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxBodyBytes = 16U << 20U;
constexpr double MicrosecondsPerMillisecond = 1000;

struct RunRequest
{
    Schema::RunTask task;
    FakeTask fake;
};

Common::Outcome<RunRequest> parseRun(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded()) {
        return Common::failure(Schema::Reason::Malformed, "not JSON");
    }
    BOOST_LEAF_CHECK(Common::checkMessage(json, "RunTask"));
    RunRequest request;
    request.task = json.get<Schema::RunTask>();
    BOOST_LEAF_ASSIGN(request.fake, parsePayload(request.task.payload));
    return request;
}

Net::HttpResponse refusal(RunStatus runStatus)
{
    switch (runStatus) {
    case RunStatus::NotAfterPassed:
        return reasonResponse(HttpStatus::PreconditionFailed, "not_after_passed");
    case RunStatus::NoSlot:
        return reasonResponse(HttpStatus::Unavailable, "no_slot");
    case RunStatus::NoResources:
        return reasonResponse(HttpStatus::Unavailable, "no_resources");
    default:
        return reasonResponse(HttpStatus::Unavailable, "backend_refused");
    }
}

/// A request that a silent server has not answered yet, and the answer it gets later.
struct WithheldAnswer
{
    Net::HttpReply reply;
    Net::HttpResponse response;
};

/// A task that runs until the fault "hang" is switched off.
struct HangingTask
{
    FakeTask task;
    Net::HttpReply reply;
};

} // namespace

struct FakeBackendServer::Implementation
{
    void handle(const Net::HttpRequest &request, const Net::HttpReply &reply);
    void handleRun(const Net::HttpRequest &request, const Net::HttpReply &reply);
    void handleControl(const Net::HttpRequest &request, const Net::HttpReply &reply);
    void begin(const FakeTask &task, const Net::HttpReply &reply);
    void end(const FakeTask &task, bool hasFailed, const Net::HttpReply &reply);
    void answer(const Net::HttpReply &reply, Net::HttpResponse response);
    void changeControl(const FakeBackendControl &control);
    void stop();

    std::mutex mutex;
    FakeBackend backend;
    std::vector<WithheldAnswer> withheld;
    std::vector<HangingTask> hanging;
    bool stopping = false;
    std::string host;
    Common::TimerThread timers;
    std::unique_ptr<Net::HttpServer> server;
};

void FakeBackendServer::Implementation::handle(const Net::HttpRequest &request,
                                               const Net::HttpReply &reply)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->stopping) {
        reply.send(reasonResponse(HttpStatus::Unavailable, "stopping"));
        return;
    }
    if (request.path.compare(0, 8, "/control") == 0) {
        this->handleControl(request, reply);
        return;
    }
    if (request.path == "/health") {
        const bool isHealthy = !this->backend.control.unhealthy;
        this->answer(reply, isHealthy ? jsonResponse({{"healthy", true}})
                                      : reasonResponse(HttpStatus::Unavailable, "unhealthy"));
        return;
    }
    if (request.path == "/run" && request.method == "POST") {
        this->handleRun(request, reply);
        return;
    }
    reply.send(reasonResponse(HttpStatus::NotFound, "no such path"));
}

void FakeBackendServer::Implementation::handleRun(const Net::HttpRequest &request,
                                                  const Net::HttpReply &reply)
{
    if (this->backend.control.silent) {
        // No task is started. The refusal is sent when the fault "silent" is switched off.
        ++this->backend.refusedAll;
        this->answer(reply, refusal(RunStatus::Refused));
        return;
    }
    Common::handle(
            [&]() -> Common::Outcome<void> {
                BOOST_LEAF_AUTO(run, parseRun(request.body));
                const RunStatus runStatus = startTask(this->backend, run.task, run.fake,
                                                      Common::currentMoment().wallMs);
                if (runStatus == RunStatus::Started) {
                    this->begin(run.fake, reply);
                } else {
                    this->answer(reply, refusal(runStatus));
                }
                return {};
            },
            [&](const Common::Failure &failed) {
                reply.send(reasonResponse(HttpStatus::BadRequest, "malformed", failed.detail));
            });
}

void FakeBackendServer::Implementation::handleControl(const Net::HttpRequest &request,
                                                      const Net::HttpReply &reply)
{
    if (request.path == "/control/stats") {
        reply.send(jsonResponse(backendStats(this->backend)));
        return;
    }
    if (request.path == "/control/starts") {
        reply.send(jsonResponse(backendStarts(this->backend)));
        return;
    }
    if (request.method == "GET") {
        reply.send(jsonResponse(controlJson(this->backend.control)));
        return;
    }
    Common::handle(
            [&]() -> Common::Outcome<void> {
                BOOST_LEAF_AUTO(control, changedControl(this->backend.control,
                                                        Json::parse(request.body, nullptr, false)));
                this->changeControl(control);
                reply.send(jsonResponse(controlJson(this->backend.control)));
                return {};
            },
            [&](const Common::Failure &failed) {
                reply.send(reasonResponse(HttpStatus::BadRequest, "malformed", failed.detail));
            });
}

void FakeBackendServer::Implementation::begin(const FakeTask &task, const Net::HttpReply &reply)
{
    const FakeBackendControl &control = this->backend.control;
    if (control.hang) {
        this->hanging.push_back({task, reply});
        return;
    }
    const bool hasFailed = task.fail || control.failAll;
    const auto runTime = std::chrono::microseconds(
            static_cast<std::int64_t>(runTimeMs(control, task) * MicrosecondsPerMillisecond));
    this->timers.after(runTime, [this, task, hasFailed, reply] {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->end(task, hasFailed, reply);
    });
}

void FakeBackendServer::Implementation::end(const FakeTask &task, bool hasFailed,
                                            const Net::HttpReply &reply)
{
    endTask(this->backend, task, hasFailed);
    if (hasFailed) {
        this->answer(reply, reasonResponse(HttpStatus::InternalError, "task_failed", task.result));
        return;
    }
    this->answer(reply, jsonResponse({{"result", task.result}}));
}

void FakeBackendServer::Implementation::answer(const Net::HttpReply &reply,
                                               Net::HttpResponse response)
{
    if (this->backend.control.silent) {
        this->withheld.push_back({reply, std::move(response)});
        return;
    }
    reply.send(response);
}

void FakeBackendServer::Implementation::changeControl(const FakeBackendControl &control)
{
    this->backend.control = control;
    if (!control.hang) {
        for (const HangingTask &hangingTask : this->hanging) {
            this->end(hangingTask.task, hangingTask.task.fail, hangingTask.reply);
        }
        this->hanging.clear();
    }
    if (!control.silent) {
        for (WithheldAnswer &late : this->withheld) {
            late.reply.send(late.response);
        }
        this->withheld.clear();
    }
}

void FakeBackendServer::Implementation::stop()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
        this->withheld.clear();
        this->hanging.clear();
    }
    this->timers.stop();
    this->server->stop();
}

FakeBackendServer::FakeBackendServer(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

FakeBackendServer::~FakeBackendServer()
{
    this->implementation->stop();
}

std::uint16_t FakeBackendServer::port() const
{
    return this->implementation->server->port();
}

std::string FakeBackendServer::url() const
{
    return "http://" + this->implementation->host + ':' + std::to_string(this->port());
}

FakeBackendControl FakeBackendServer::control() const
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    return this->implementation->backend.control;
}

void FakeBackendServer::setControl(const FakeBackendControl &control)
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    this->implementation->changeControl(control);
}

nlohmann::json FakeBackendServer::stats() const
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    return backendStats(this->implementation->backend);
}

nlohmann::json FakeBackendServer::starts() const
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    return backendStarts(this->implementation->backend);
}

FakeBackendServerBuilder &FakeBackendServerBuilder::listenOn(std::string host, std::uint16_t port)
{
    this->host = std::move(host);
    this->port = port;
    return *this;
}

FakeBackendServerBuilder &FakeBackendServerBuilder::threads(int count)
{
    this->threadCount = count;
    return *this;
}

FakeBackendServerBuilder &FakeBackendServerBuilder::control(const FakeBackendControl &control)
{
    this->initialControl = control;
    return *this;
}

std::unique_ptr<FakeBackendServer> FakeBackendServerBuilder::build()
{
    auto implementation = std::make_unique<FakeBackendServer::Implementation>();
    FakeBackendServer::Implementation &state = *implementation;
    state.host = this->host;
    state.backend.control = this->initialControl;
    state.server = Net::HttpServerBuilder()
                           .listenOn(this->host, this->port)
                           .threads(this->threadCount)
                           .maxBodyBytes(MaxBodyBytes)
                           .handler([&state](const Net::HttpRequest &request,
                                             const Net::HttpReply &reply) {
                               state.handle(request, reply);
                           })
                           .build();
    return std::unique_ptr<FakeBackendServer>(new FakeBackendServer(std::move(implementation)));
}

} // namespace StandIn
