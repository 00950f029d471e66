#include "Worker.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>

namespace Review {

namespace {

using Json = nlohmann::json;

/// The platform's bound holdMaxMs.
constexpr std::int64_t LongestLeaseMs = 1000;
constexpr std::int64_t LongestWaitMs = 2000;
constexpr std::int64_t TimerMs = 2;
constexpr int Conflict = 409;
constexpr int Misdirected = 421;
constexpr int NotFound = 404;

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

Response json(int status, const Json &body)
{
    return {status, body.dump(), "application/json", false};
}

} // namespace

Worker::Worker(WorkerOptions chosen, Record &record)
    : options(std::move(chosen))
    , record(record)
    , bornMs(wallMs())
    , clockStartMs(nowMs() - 1000)
    , server(std::make_unique<Server>(
              this->options.port, [this](const Request &request) { return this->answer(request); }))
{
    this->options.port = this->server->port();
    this->record.write("worker " + this->options.id + " is up");
    this->timers = std::thread([this] { this->runTimers(); });
    if (this->options.registrationPort != 0) {
        this->announcer = std::thread([this] { this->ping(); });
    }
}

Worker::~Worker()
{
    this->crash();
}

void Worker::crash()
{
    if (this->isOver.exchange(true)) {
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->advance();
        while (!this->runs.empty()) {
            this->endRun(0, "crashed", nowMs());
        }
    }
    this->ended.notify_all();
    this->server->stop();
    this->timers.join();
    if (this->announcer.joinable()) {
        this->announcer.join();
    }
    this->record.write("worker " + this->options.id + " is down");
}

std::vector<std::string> Worker::running()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->advance();
    std::vector<std::string> tasks;
    for (const Run &run : this->runs) {
        tasks.push_back(run.task);
    }
    return tasks;
}

std::string Worker::pingBody()
{
    return Json{
            {"service", this->options.service},
            {"address", "127.0.0.1:" + std::to_string(this->options.port)},
            {"zone", "tunis"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"capacity", {{"cpu", this->options.cpu}, {"memMb", this->options.memMb}, {"gpu", 0}}},
            {"labels", this->options.labels},
            {"clockMs", this->clockMs()},
            {"born", this->bornMs},
            {"sequence", static_cast<std::int64_t>(++this->sequence)}}
            .dump();
}

std::int64_t Worker::clockMs() const
{
    return nowMs() - this->clockStartMs;
}

Response Worker::answer(const Request &request)
{
    const auto expected = request.headers.find("x-auburntrail-expect-instance");
    if (expected != request.headers.end() && expected->second != this->options.id) {
        return json(Misdirected, Json::object());
    }
    Response response = json(NotFound, Json::object());
    if (request.path == "/run-start") {
        response = this->start(request.body);
    } else if (request.path == "/run-stop") {
        response = this->stop(request.body);
    } else if (request.path == "/hold") {
        response = this->hold(request.body);
    }
    // A worker that has crashed answers nothing any more.
    response.isWithheld = this->isOver;
    return response;
}

Response Worker::start(const std::string &body)
{
    const Json order = Json::parse(body);
    const Json spec = Json::parse(order.at("spec").get<std::string>());
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->isOver) {
        return json(NotFound, Json::object());
    }
    this->advance();
    const auto conflict = [this](const char *reason) {
        return json(Conflict, {{"clockMs", this->clockMs()}, {"reason", reason}});
    };
    const std::int64_t token = order.value("fencingToken", std::int64_t{0});
    if (token < this->fence) {
        return conflict("fence");
    }
    this->fence = token;
    Run run;
    run.task = order.at("task").get<std::string>();
    run.number = order.at("runId").get<std::int64_t>();
    run.workMs = spec.at("ms").get<std::int64_t>();
    run.cpu = spec.at("cpu").get<std::int64_t>();
    run.startMs = nowMs();
    const std::int64_t untilMs = order.value("untilMs", std::int64_t{0});
    std::int64_t used = 0;
    for (const Run &other : this->runs) {
        if (other.task == run.task && other.number == run.number) {
            this->renew(untilMs);
            return json(200, {{"clockMs", this->clockMs()}});
        }
        used += other.cpu;
    }
    const auto known = this->barred.find(run.task);
    if (known != this->barred.end() && run.number <= known->second) {
        this->renew(untilMs);
        return conflict("old");
    }
    if (untilMs <= this->clockMs()) {
        return conflict("late");
    }
    this->renew(untilMs);
    if (used + run.cpu > this->options.cpu) {
        return conflict("room");
    }
    this->runs.push_back(run);
    this->record.add({run.startMs, this->options.id, this->options.service, this->options.labels,
                      run.task, run.number, ""});
    return json(200, {{"clockMs", this->clockMs()}});
}

Response Worker::stop(const std::string &body)
{
    const Json order = Json::parse(body);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->advance();
    const std::int64_t token = order.value("fencingToken", std::int64_t{0});
    if (token < this->fence) {
        return json(Conflict, {{"clockMs", this->clockMs()}, {"reason", "fence"}});
    }
    this->fence = token;
    const std::string task = order.at("task").get<std::string>();
    const std::int64_t number = order.at("runId").get<std::int64_t>();
    for (std::size_t index = 0; index < this->runs.size(); ++index) {
        if (this->runs[index].task == task && this->runs[index].number == number) {
            this->endRun(index, "stopped", nowMs());
            break;
        }
    }
    this->barred[task] = std::max(this->barred[task], number);
    this->ended.notify_all();
    return json(200, {{"clockMs", this->clockMs()}});
}

Response Worker::hold(const std::string &body)
{
    const Json order = Json::parse(body);
    std::unique_lock<std::mutex> lock(this->mutex);
    this->advance();
    const std::int64_t token = order.value("fencingToken", std::int64_t{0});
    if (token < this->fence) {
        return json(Conflict, {{"clockMs", this->clockMs()}, {"reason", "fence"}});
    }
    this->fence = token;
    const std::int64_t seen = order.value("lastSeen", std::int64_t{0});
    this->ends.erase(std::remove_if(this->ends.begin(), this->ends.end(),
                                    [seen](const End &end) { return end.position <= seen; }),
                     this->ends.end());
    this->renew(order.value("untilMs", std::int64_t{0}));
    const std::int64_t waitMs = std::min(order.value("waitMs", std::int64_t{0}), LongestWaitMs);
    this->ended.wait_for(lock, std::chrono::milliseconds(waitMs),
                         [this] { return this->isOver || !this->ends.empty(); });
    this->advance();
    Json seenNow{{"clockMs", this->clockMs()},
                 {"born", this->bornMs},
                 {"active", Json::array()},
                 {"ended", Json::array()}};
    for (const Run &run : this->runs) {
        const std::int64_t percent =
                std::min<std::int64_t>(99, (nowMs() - run.startMs) * 100 / run.workMs);
        seenNow["active"].push_back(Json::array({run.task, run.number, "", percent, run.cpu}));
    }
    for (const End &end : this->ends) {
        seenNow["ended"].push_back(Json::array({end.position, end.task, end.number, end.how, ""}));
    }
    return json(200, seenNow);
}

/// The caller holds the mutex.
void Worker::renew(std::int64_t untilMs)
{
    this->leaseUntilMs =
            std::max(this->leaseUntilMs, std::min(untilMs, this->clockMs() + LongestLeaseMs));
}

/// The caller holds the mutex.
void Worker::endRun(std::size_t index, const std::string &how, std::int64_t atMs)
{
    const Run run = this->runs[index];
    this->runs.erase(this->runs.begin() + static_cast<std::ptrdiff_t>(index));
    this->ends.push_back({++this->lastEnd, run.task, run.number, how});
    this->barred[run.task] = std::max(this->barred[run.task], run.number);
    this->record.add({atMs, this->options.id, this->options.service, this->options.labels, run.task,
                      run.number, how});
}

/// Ends the runs that are done or whose lease has expired. The caller holds the mutex.
void Worker::advance()
{
    for (std::size_t index = 0; index < this->runs.size();) {
        const std::int64_t doneMs = this->runs[index].startMs + this->runs[index].workMs;
        const std::int64_t lapseMs = this->leaseUntilMs + this->clockStartMs;
        if (nowMs() >= std::min(doneMs, lapseMs)) {
            this->endRun(index, doneMs <= lapseMs ? "done" : "lapsed", std::min(doneMs, lapseMs));
        } else {
            ++index;
        }
    }
}

void Worker::runTimers()
{
    while (!this->isOver) {
        bool hasEnds = false;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->advance();
            hasEnds = !this->ends.empty();
        }
        if (hasEnds) {
            this->ended.notify_all();
        }
        sleepMs(TimerMs);
    }
}

void Worker::ping()
{
    std::int64_t nextMs = nowMs() + this->options.firstPingAfterMs;
    while (!this->isOver) {
        if (nowMs() < nextMs) {
            sleepMs(TimerMs);
            continue;
        }
        nextMs = nowMs() + this->options.pingIntervalMs;
        Call call;
        call.port = this->options.registrationPort;
        call.method = "PUT";
        call.path = "/instances/" + this->options.id;
        call.headers = {{"Host", "agent"}, {"Content-Type", "application/json"}};
        call.body = this->pingBody();
        const Answer answer = send(call);
        if (!this->registered && answer.status == 200) {
            this->record.write("worker " + this->options.id + " is registered");
        }
        this->registered = this->registered || answer.status == 200;
    }
}

} // namespace Review
