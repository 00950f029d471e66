#include "StandIn/FakeBackendServer.h"

#include <vector>

#include "StandIn/FakeService.h"

namespace StandIn {

namespace {

using Json = nlohmann::json;

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

struct FakeBackendService : FakeService
{
    void handle(const Net::HttpRequest &request, const Net::HttpReply &reply);
    void handleRun(const Net::HttpRequest &request, const Net::HttpReply &reply);
    void begin(const FakeTask &task, const Net::HttpReply &reply);
    void end(const FakeTask &task, bool hasFailed, const Net::HttpReply &reply);
    void answer(const Net::HttpReply &reply, Net::HttpResponse response);
    void changeControl(const FakeBackendControl &control);
    const FakeBackendControl &control() const { return this->backend.control; }
    nlohmann::json stats() const { return backendStats(this->backend); }
    void dropUnanswered();

    FakeBackend backend;
    std::vector<WithheldAnswer> withheld;
    std::vector<HangingTask> hanging;
};

void FakeBackendService::handle(const Net::HttpRequest &request, const Net::HttpReply &reply)
{
    if (request.path == "/control/starts") {
        reply.send(jsonResponse(backendStarts(this->backend)));
        return;
    }
    if (request.path.compare(0, 8, "/control") == 0) {
        handleControl(*this, request, reply);
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

void FakeBackendService::handleRun(const Net::HttpRequest &request, const Net::HttpReply &reply)
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

void FakeBackendService::begin(const FakeTask &task, const Net::HttpReply &reply)
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

void FakeBackendService::end(const FakeTask &task, bool hasFailed, const Net::HttpReply &reply)
{
    endTask(this->backend, task, hasFailed);
    if (hasFailed) {
        this->answer(reply, reasonResponse(HttpStatus::InternalError, "task_failed", task.result));
        return;
    }
    this->answer(reply, jsonResponse({{"result", task.result}}));
}

void FakeBackendService::answer(const Net::HttpReply &reply, Net::HttpResponse response)
{
    if (this->backend.control.silent) {
        this->withheld.push_back({reply, std::move(response)});
        return;
    }
    reply.send(response);
}

void FakeBackendService::changeControl(const FakeBackendControl &control)
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

void FakeBackendService::dropUnanswered()
{
    this->withheld.clear();
    this->hanging.clear();
}

template class FakeServer<FakeBackendService, FakeBackendControl>;

FakeBackendServer::FakeBackendServer(std::unique_ptr<FakeBackendService> service)
    : FakeServer(std::move(service))
{}

nlohmann::json FakeBackendServer::starts() const
{
    const std::lock_guard<std::mutex> lock(this->service->mutex);
    return backendStarts(this->service->backend);
}

std::unique_ptr<FakeBackendServer> FakeBackendServerBuilder::build()
{
    auto service = std::make_unique<FakeBackendService>();
    service->backend.control = this->initialControl;
    startService(*service, this->address);
    return std::unique_ptr<FakeBackendServer>(new FakeBackendServer(std::move(service)));
}

} // namespace StandIn
