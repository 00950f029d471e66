#include "Kit.h"

#include <algorithm>
#include <cstdlib>

namespace Kit {

namespace {

constexpr const char *OperatorsTopic = "keyed.op";
constexpr std::size_t LengthBytes = 4;

std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t index = bytes; index > 0; --index) {
        text[index - 1] = static_cast<char>(value & 0xffU);
        value >>= 8U;
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            const bool isThere = at + index < bytes.size();
            group = (group << 8U) | (isThere ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            const bool isThere = at + index <= bytes.size();
            text += isThere ? digits[(group >> (18 - 6 * index)) & 0x3fU] : '=';
        }
    }
    return text;
}

Response json(int status, const Json &body)
{
    Response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

std::string valueOf(const Request &request, const std::string &name, const std::string &otherwise)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? otherwise : found->second;
}

} // namespace

Store::Store() = default;

Store::~Store()
{
    this->stop();
}

void Store::stop()
{
    this->isStopping = true;
    this->added.notify_all();
    for (const auto &server : this->servers) {
        server->stop();
    }
}

std::string Store::listenFor(const std::string &host, const std::string &tag)
{
    this->servers.push_back(std::make_unique<Server>(
            host, 0, tag, [this](const Request &request) { return this->serve(request); }));
    return this->servers.back()->address();
}

void Store::write(const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->add(OperatorsTopic, std::string(1, static_cast<char>(key.size())) + key + value);
    this->added.notify_all();
}

void Store::setTrouble(Trouble trouble)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->trouble = std::move(trouble);
}

Response Store::serve(const Request &request)
{
    Trouble trouble;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        trouble = this->trouble;
    }
    if (trouble) {
        const Response response = trouble(request);
        if (response.isSilent || response.status != 0) {
            return response;
        }
    }
    if (request.path == "/log-append") {
        return this->append(request);
    }
    if (request.path == "/log-read") {
        return this->read(request);
    }
    if (request.path == "/log-newest") {
        return this->newest(request);
    }
    return json(404, Json::object());
}

void Store::add(const std::string &topic, const std::string &content)
{
    Topic &known = this->topics[topic];
    const std::size_t keyLength = static_cast<unsigned char>(content.at(0));
    const std::string key = content.substr(1, keyLength);
    const std::string value = content.substr(1 + keyLength);
    if (value.empty()) {
        known.newest.erase(key);
    } else {
        known.newest[key] = {value, static_cast<std::int64_t>(known.records.size())};
    }
    known.records.push_back(bigEndian(content.size(), LengthBytes) + content);
}

Response Store::append(const Request &request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::string topic = request.query.at("topic");
    const std::size_t before = this->topics[topic].records.size();
    std::size_t at = 0;
    while (at + LengthBytes < request.body.size()) {
        std::size_t length = 0;
        for (std::size_t index = 0; index < LengthBytes; ++index) {
            length = (length << 8U) | static_cast<unsigned char>(request.body[at + index]);
        }
        this->add(topic, request.body.substr(at + LengthBytes, length));
        at += LengthBytes + length;
    }
    this->added.notify_all();
    return json(200, {{"offset", before}, {"endOffset", this->topics[topic].records.size()}});
}

Response Store::read(const Request &request)
{
    const std::string name = request.query.at("topic");
    const auto source = static_cast<std::size_t>(std::stoll(request.query.at("source")));
    const std::int64_t untilMs = nowMs() + std::stoll(valueOf(request, "waitMs", "0"));
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isStopping && this->topics[name].records.size() <= source && nowMs() < untilMs) {
        this->added.wait_for(lock, std::chrono::milliseconds(untilMs - nowMs()));
    }
    const Topic &topic = this->topics[name];
    Response response;
    response.type = "application/octet-stream";
    response.body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
    for (std::size_t index = source; index < topic.records.size(); ++index) {
        response.body += topic.records[index];
    }
    return response;
}

Response Store::newest(const Request &request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const Topic &topic = this->topics[request.query.at("topic")];
    const std::string after = valueOf(request, "after", "");
    Json items = Json::array();
    for (const auto &[key, newest] : topic.newest) {
        if (key > after) {
            items.push_back(
                    {{"key", key}, {"value", base64(newest.first)}, {"offset", newest.second}});
        }
    }
    return json(200, {{"items", items}, {"hasMore", false}, {"endOffset", topic.records.size()}});
}

std::size_t Runs::started(const Run &run)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs.push_back(run);
    return this->runs.size() - 1;
}

void Runs::ended(std::size_t index, std::int64_t atMs, const std::string &how)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs.at(index).endedMs = atMs;
    this->runs.at(index).how = how;
}

std::vector<Run> Runs::all() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->runs;
}

Worker::Worker(WorkerOptions chosen, Runs &runs, Record &record)
    : options(std::move(chosen))
    , runs(runs)
    , record(record)
    , bornMs(wallMs())
    , bootedMs(nowMs())
{
    this->server = std::make_unique<Server>(
            this->options.host, this->options.port, this->options.id,
            [this](const Request &request) { return this->serve(request); });
    this->ticker = std::thread([this] { this->tick(); });
    this->beater = std::thread([this] { this->beat(); });
}

Worker::~Worker()
{
    this->crash();
}

void Worker::crash()
{
    if (this->isStopping.exchange(true)) {
        return;
    }
    this->changed.notify_all();
    this->ticker.join();
    this->beater.join();
    this->server->stop();
    const std::lock_guard<std::recursive_mutex> lock(this->mutex);
    for (const auto &[task, active] : this->active) {
        this->runs.ended(active.index, nowMs(), "crash");
    }
    this->active.clear();
}

std::string Worker::address() const
{
    return this->server->address();
}

void Worker::setTrouble(Trouble trouble)
{
    const std::lock_guard<std::recursive_mutex> lock(this->mutex);
    this->trouble = std::move(trouble);
}

std::size_t Worker::running()
{
    const std::lock_guard<std::recursive_mutex> lock(this->mutex);
    this->advance();
    return this->active.size();
}

void Worker::startLate(const Request &request, std::int64_t lateMs)
{
    Json body = Json::parse(request.body);
    body["untilMs"] = body.at("untilMs").get<std::int64_t>() + lateMs;
    const Response response = this->start(body);
    this->record.line("worker " + this->options.id + " has carried out late the start of "
                      + body.at("task").get<std::string>() + ": " + std::to_string(response.status)
                      + ' ' + response.body);
}

void Worker::setSlowdown(int factor)
{
    const std::lock_guard<std::recursive_mutex> lock(this->mutex);
    this->advance();
    const std::int64_t now = nowMs();
    for (auto &[task, one] : this->active) {
        one.endsMs = now + (one.endsMs - now) * factor / this->slowdown;
    }
    this->slowdown = factor;
}

std::int64_t Worker::clockMs() const
{
    return nowMs() - this->bootedMs;
}

bool Worker::ping()
{
    Json body;
    {
        const std::lock_guard<std::recursive_mutex> lock(this->mutex);
        body = {{"service", this->options.service},
                {"address", this->server->address()},
                {"zone", this->options.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", this->isDraining ? "draining" : "ready"},
                {"coldLeftMs", 0},
                {"capacity",
                 {{"cpu", this->options.cpu}, {"memMb", this->options.memMb}, {"gpu", 0}}},
                {"labels", this->options.labels},
                {"clockMs", this->clockMs()},
                {"born", this->bornMs},
                {"sequence", ++this->sequence}};
    }
    const Answer answer = call(this->options.registration, "PUT", "/instances/" + this->options.id,
                               this->options.registration, {}, body.dump(), 1000);
    return answer.isAnswered && answer.status / 100 == 2;
}

bool Worker::drain()
{
    this->isDraining = true;
    const bool isAcknowledged = this->ping();
    this->record.line("worker " + this->options.id
                      + " drains, acknowledged: " + (isAcknowledged ? "yes" : "no"));
    return isAcknowledged;
}

void Worker::beat()
{
    std::int64_t nextMs = 0;
    while (!this->isStopping) {
        if (nowMs() >= nextMs) {
            // Without an acknowledgement it tries again soon: it has only this agent.
            nextMs = nowMs() + (this->ping() ? this->options.heartbeatMs : 200);
        }
        sleepMs(20);
    }
}

Response Worker::serve(const Request &request)
{
    Trouble trouble;
    {
        const std::lock_guard<std::recursive_mutex> lock(this->mutex);
        trouble = this->trouble;
    }
    if (trouble) {
        const Response response = trouble(request);
        if (response.isSilent || response.status != 0) {
            return response;
        }
    }
    const auto expected = request.headers.find("x-auburntrail-expect-instance");
    if (expected != request.headers.end() && expected->second != this->options.id) {
        return json(421, {{"clockMs", this->clockMs()}, {"born", this->bornMs}});
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return json(400, {{"clockMs", this->clockMs()}});
    }
    if (request.path == "/run-start") {
        return this->start(body);
    }
    if (request.path == "/run-stop") {
        return this->stop(body);
    }
    if (request.path == "/hold") {
        return this->hold(body);
    }
    return json(404, {{"clockMs", this->clockMs()}});
}

void Worker::extendLease(const Json &body)
{
    const std::int64_t until = std::min(body.value("untilMs", std::int64_t{0}),
                                        this->clockMs() + this->options.holdMaxMs);
    this->leaseUntil = std::max(this->leaseUntil, until);
}

Response Worker::start(const Json &body)
{
    const std::lock_guard<std::recursive_mutex> lock(this->mutex);
    this->advance();
    const auto refused = [this](const char *reason) {
        return json(409, {{"clockMs", this->clockMs()}, {"reason", reason}});
    };
    const std::string task = body.at("task").get<std::string>();
    const auto number = body.at("runId").get<std::int64_t>();
    const std::int64_t sentFence = body.value("fencingToken", std::int64_t{0});
    if (sentFence < this->fence) {
        return refused("fence");
    }
    this->fence = sentFence;
    const auto present = this->active.find(task);
    if (present != this->active.end() && present->second.number == number) {
        this->extendLease(body);
        return json(200, {{"clockMs", this->clockMs()}, {"born", this->bornMs}});
    }
    const auto barredTo = this->barred.find(task);
    if (present != this->active.end()
        || (barredTo != this->barred.end() && number <= barredTo->second)) {
        this->extendLease(body);
        return refused("old");
    }
    if (body.value("untilMs", std::int64_t{0}) <= this->clockMs()) {
        return refused("late");
    }
    this->extendLease(body);
    const std::string spec = body.at("spec").get<std::string>();
    Active added;
    added.number = number;
    added.startedMs = nowMs();
    added.endsMs =
            added.startedMs + this->slowdown * std::max(1L, std::strtol(spec.c_str(), nullptr, 10));
    Run run;
    run.worker = this->options.id;
    run.task = task;
    run.number = number;
    run.startedMs = added.startedMs;
    added.index = this->runs.started(run);
    this->active[task] = added;
    this->record.line("worker " + this->options.id + " starts " + task + " run "
                      + std::to_string(number));
    return json(200, {{"clockMs", this->clockMs()}, {"born", this->bornMs}});
}

Response Worker::stop(const Json &body)
{
    const std::lock_guard<std::recursive_mutex> lock(this->mutex);
    this->advance();
    const std::string task = body.at("task").get<std::string>();
    const auto number = body.at("runId").get<std::int64_t>();
    const std::int64_t sentFence = body.value("fencingToken", std::int64_t{0});
    if (sentFence < this->fence) {
        return json(409, {{"clockMs", this->clockMs()}, {"reason", "fence"}});
    }
    this->fence = sentFence;
    std::int64_t &barredTo = this->barred[task];
    barredTo = std::max(barredTo, number);
    const auto present = this->active.find(task);
    if (present != this->active.end() && present->second.number <= number
        && present->second.how == "done") {
        present->second.how = "stopped";
        present->second.endsMs = std::min(present->second.endsMs, nowMs() + this->options.stopMs);
    }
    return json(200, {{"clockMs", this->clockMs()}, {"born", this->bornMs}});
}

Response Worker::hold(const Json &body)
{
    std::unique_lock<std::recursive_mutex> lock(this->mutex);
    this->advance();
    const std::int64_t sentFence = body.value("fencingToken", std::int64_t{0});
    if (sentFence < this->fence) {
        return json(409, {{"clockMs", this->clockMs()}, {"reason", "fence"}});
    }
    this->fence = sentFence;
    const auto seen = body.at("lastSeen").get<std::int64_t>();
    while (!this->ends.empty() && this->ends.front().at(0).get<std::int64_t>() <= seen) {
        this->ends.pop_front();
    }
    this->extendLease(body);
    const std::int64_t untilMs = nowMs() + body.value("waitMs", std::int64_t{0});
    while (!this->isStopping && this->ends.empty() && nowMs() < untilMs) {
        this->changed.wait_for(lock, std::chrono::milliseconds(5));
        this->advance();
    }
    Json listed = Json::array();
    for (const auto &[task, active] : this->active) {
        const std::int64_t wholeMs = std::max<std::int64_t>(active.endsMs - active.startedMs, 1);
        listed.push_back({task, active.number, "",
                          std::min<std::int64_t>(99, 100 * (nowMs() - active.startedMs) / wholeMs),
                          1});
    }
    Json ended = Json::array();
    for (const Json &end : this->ends) {
        if (ended.size() < 500) {
            ended.push_back(end);
        }
    }
    return json(200, {{"clockMs", this->clockMs()},
                      {"born", this->bornMs},
                      {"active", listed},
                      {"ended", ended}});
}

void Worker::end(const std::string &task, const Active &ended, std::int64_t atMs,
                 const std::string &how)
{
    this->runs.ended(ended.index, atMs, how);
    this->record.line("worker " + this->options.id + " ends " + task + " run "
                      + std::to_string(ended.number) + ' ' + how);
    std::int64_t &barredTo = this->barred[task];
    barredTo = std::max(barredTo, ended.number);
    this->ends.push_back(Json::array({++this->lastEnd, task, ended.number, how, ""}));
    this->changed.notify_all();
}

void Worker::advance()
{
    const std::int64_t now = nowMs();
    const std::int64_t lapseMs = this->bootedMs + this->leaseUntil;
    for (auto entry = this->active.begin(); entry != this->active.end();) {
        const Active &one = entry->second;
        const bool hasLapsed = now >= lapseMs && lapseMs < one.endsMs;
        if (!hasLapsed && now < one.endsMs) {
            ++entry;
            continue;
        }
        this->end(entry->first, one, hasLapsed ? lapseMs : one.endsMs,
                  hasLapsed ? "lapsed" : one.how);
        entry = this->active.erase(entry);
    }
}

void Worker::tick()
{
    while (!this->isStopping) {
        {
            const std::lock_guard<std::recursive_mutex> lock(this->mutex);
            this->advance();
        }
        sleepMs(2);
    }
}

} // namespace Kit
