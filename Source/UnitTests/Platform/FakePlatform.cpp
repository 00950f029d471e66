#include "FakePlatform.h"

#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

namespace FakePlatform {

namespace {

using Json = nlohmann::json;

constexpr const char *Id = "i-1";

std::int64_t nowMs()
{
    return Common::currentMoment().steadyMs;
}

Net::HttpResponse json(int status, const Json &body)
{
    Net::HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
}

std::string wireTask(const std::string &task)
{
    const std::size_t end = task.find('.');
    return task.substr(0, end) + ".0" + task.substr(end);
}

std::string ownTask(const std::string &task)
{
    const std::size_t end = task.find('.');
    return task.substr(0, end) + task.substr(task.find('.', end + 1));
}

const char *endName(Transient::RunEnd end)
{
    switch (end) {
    case Transient::RunEnd::Succeeded:
        return "done";
    case Transient::RunEnd::Failed:
        return "failed";
    case Transient::RunEnd::LeaseLapsed:
        return "lapsed";
    default:
        return "stopped";
    }
}

const char *conflictName(Transient::StartOutcome outcome)
{
    switch (outcome) {
    case Transient::StartOutcome::Fenced:
        return "fence";
    case Transient::StartOutcome::NumberUsed:
        return "old";
    case Transient::StartOutcome::LeaseTooShort:
        return "late";
    default:
        return "room";
    }
}

Json observationJson(const Transient::Observation &seen)
{
    Json body{{"clockMs", seen.clockMs},
              {"born", seen.startedAtMs},
              {"active", Json::array()},
              {"ended", Json::array()}};
    for (const Transient::ActiveRun &run : seen.active) {
        body["active"].push_back(Json::array({wireTask(run.task), run.number, "", run.percent, 0}));
    }
    for (const Transient::EndedRun &run : seen.ended) {
        body["ended"].push_back(
                Json::array({run.position, wireTask(run.task), run.number, endName(run.end), ""}));
    }
    return body;
}

} // namespace

Store::Store()
    : server(Net::HttpServerBuilder()
                     .handler([this](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                         this->answer(request, reply);
                     })
                     .build())
{}

Store::~Store()
{
    this->server->stop();
    this->timers.stop();
}

std::string Store::address() const
{
    return "127.0.0.1:" + std::to_string(this->server->port());
}

void Store::setQueues(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->queues = text;
}

void Store::setSilent(bool silent)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->isSilent = silent;
}

void Store::setLearned(const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->learnedByKey[key] = value;
}

std::string Store::learned(const std::string &key) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->learnedByKey.find(key);
    return found == this->learnedByKey.end() ? std::string() : found->second;
}

int Store::writes() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->writeCount;
}

void Store::answer(const Net::HttpRequest &request, const Net::HttpReply &reply)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->isSilent) {
        constexpr std::chrono::seconds Long{5};
        this->timers.after(Long, [reply] { reply.send({}); });
        return;
    }
    if (request.path == "/log-append") {
        ++this->writeCount;
        if (request.query.at("topic") == "keyed.learned") {
            // Length of the record, length of the key, key, value.
            constexpr std::size_t KeyLengthAt = 4;
            const auto keyLength = static_cast<unsigned char>(request.body.at(KeyLengthAt));
            const std::string key = request.body.substr(KeyLengthAt + 1, keyLength);
            this->learnedByKey[key] = request.body.substr(KeyLengthAt + 1 + keyLength);
        }
        reply.send(json(200, Json{{"offset", 0}, {"endOffset", 1}}));
        return;
    }
    if (request.path == "/log-read") {
        constexpr std::chrono::milliseconds Wait{50};
        this->timers.after(Wait, [reply] {
            Net::HttpResponse nothing;
            nothing.body = std::string(16, '\0');
            reply.send(nothing);
        });
        return;
    }
    Json items = Json::array();
    if (request.query.at("topic") == "keyed.op" && !this->queues.empty()) {
        items.push_back({{"key", "config"},
                         {"value", websocketpp::base64_encode(this->queues)},
                         {"offset", 0}});
    }
    if (request.query.at("topic") == "keyed.learned") {
        for (const auto &[key, value] : this->learnedByKey) {
            items.push_back(
                    {{"key", key}, {"value", websocketpp::base64_encode(value)}, {"offset", 0}});
        }
    }
    reply.send(json(200, Json{{"items", items}, {"hasMore", false}, {"endOffset", 1}}));
}

BackendServer::BackendServer()
    : server(Net::HttpServerBuilder()
                     .handler([this](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                         this->answer(request, reply);
                     })
                     .build())
{
    this->model.startedAtMs = nowMs();
}

BackendServer::~BackendServer()
{
    this->server->stop();
    this->timers.stop();
}

std::string BackendServer::address() const
{
    return "127.0.0.1:" + std::to_string(this->server->port());
}

bool BackendServer::announce(const std::string &registration, const std::string &service,
                             bool leaving)
{
    Net::HttpClient client(1);
    Net::HttpCall call;
    call.method = "PUT";
    call.url = "http://" + registration + "/instances/" + Id;
    call.body = Json{{"service", service},
                     {"address", this->address()},
                     {"state", leaving ? "draining" : "ready"},
                     {"capacity", {{"cpu", 8000}, {"memMb", 1000}, {"gpu", 0}}},
                     {"labels", {"a"}},
                     {"born", this->model.startedAtMs},
                     {"sequence", ++this->sequence}}
                        .dump();
    const Net::HttpResult result = client.perform(call);
    return result.transport == Net::HttpTransport::Answered && result.status == 200;
}

std::size_t BackendServer::running()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    TransientSite::advance(this->model, nowMs());
    return this->model.runs.size();
}

int BackendServer::starts()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->startCount;
}

void BackendServer::answer(const Net::HttpRequest &request, const Net::HttpReply &reply)
{
    const Json body = Json::parse(request.body);
    if (request.path == "/hold") {
        const std::int64_t waitMs = body.value("waitMs", std::int64_t{0});
        this->observe(request.body, reply, nowMs() + waitMs);
        return;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    TransientSite::advance(this->model, nowMs());
    const std::string task = ownTask(body.at("task").get<std::string>());
    const auto number = body.at("runId").get<std::int64_t>();
    const auto fence = body.at("fencingToken").get<std::int64_t>();
    const std::int64_t clockMs = TransientSite::clockOf(this->model, nowMs());
    if (request.path == "/run-stop") {
        TransientSite::applyStop(this->model, task, number, fence, nowMs());
        reply.send(json(200, Json{{"clockMs", clockMs}}));
        return;
    }
    Transient::RunStart start;
    start.task = task;
    start.number = number;
    start.fence = fence;
    start.payload = body.at("spec").get<std::string>();
    start.leaseUntilMs = body.at("untilMs").get<std::int64_t>();
    const auto outcome = TransientSite::applyStart(this->model, start, nowMs()).outcome;
    if (outcome == Transient::StartOutcome::Started) {
        ++this->startCount;
        reply.send(json(200, Json{{"clockMs", clockMs}}));
        return;
    }
    reply.send(json(409, Json{{"clockMs", clockMs}, {"reason", conflictName(outcome)}}));
}

void BackendServer::observe(const std::string &text, const Net::HttpReply &reply,
                            std::int64_t untilMs)
{
    const Json body = Json::parse(text);
    const auto lastEnd = body.at("lastSeen").get<std::int64_t>();
    const std::lock_guard<std::mutex> lock(this->mutex);
    TransientSite::advance(this->model, nowMs());
    const auto answer =
            TransientSite::applyObserve(this->model, body.at("fencingToken").get<std::int64_t>(),
                                        lastEnd, body.value("untilMs", std::int64_t{0}), nowMs());
    if (answer.outcome == Transient::ObserveOutcome::Fenced) {
        reply.send(json(409, Json{{"reason", "fence"}}));
        return;
    }
    if (TransientSite::hasNews(this->model, lastEnd) || nowMs() >= untilMs) {
        reply.send(json(200, observationJson(answer.seen)));
        return;
    }
    constexpr std::chrono::milliseconds LookAgain{2};
    this->timers.after(LookAgain,
                       [this, text, reply, untilMs] { this->observe(text, reply, untilMs); });
}

std::uint16_t freePort()
{
    const auto server = Net::HttpServerBuilder()
                                .handler([](const Net::HttpRequest &, const Net::HttpReply &) {})
                                .build();
    return server->port();
}

std::string oneQueue(std::int64_t version, const std::string &service)
{
    return Json{{"version", version},
                {"routes",
                 {{{"name", "checks"},
                   {"host", "desk.example"},
                   {"pathPrefix", "/checks/"},
                   {"service", service},
                   {"priority", 1},
                   {"maxAttempts", 2},
                   {"slackFactor", 1.6},
                   {"targetLatencyMs", 2000}}}}}
            .dump();
}

} // namespace FakePlatform
