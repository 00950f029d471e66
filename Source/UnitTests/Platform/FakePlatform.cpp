#include "FakePlatform.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

namespace FakePlatform {

namespace {

using Json = nlohmann::json;

constexpr const char *OperatorsTopic = "keyed.op";
constexpr const char *GatewaysTopic = "keyed.gateways";
constexpr const char *LearnedTopic = "keyed.learned";
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;
constexpr unsigned BitsPerByte = 8;
/// Longer than any caller waits for an answer.
constexpr std::chrono::seconds UnansweredDelay{8};
/// Faults that affect only some calls affect one call in this number.
constexpr int CallsPerFault = 4;

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

std::string bigEndian(std::uint64_t value, std::size_t count)
{
    std::string bytes(count, '\0');
    for (std::size_t index = count; index > 0; --index) {
        bytes[index - 1] = static_cast<char>(value & 0xffU);
        value >>= BitsPerByte;
    }
    return bytes;
}

std::size_t readBigEndian(const std::string &bytes, std::size_t at)
{
    std::size_t value = 0;
    for (std::size_t index = at; index < at + LengthBytes; ++index) {
        value = (value << BitsPerByte) | static_cast<unsigned char>(bytes.at(index));
    }
    return value;
}

std::string toPlatformTask(const std::string &task)
{
    const std::size_t end = task.find('.');
    return task.substr(0, end) + ".0" + task.substr(end);
}

std::string fromPlatformTask(const std::string &task)
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
        body["active"].push_back(
                Json::array({toPlatformTask(run.task), run.number, "", run.percent, 0}));
    }
    for (const Transient::EndedRun &run : seen.ended) {
        body["ended"].push_back(Json::array(
                {run.position, toPlatformTask(run.task), run.number, endName(run.end), ""}));
    }
    return body;
}

} // namespace

Store::Store(std::uint16_t port)
    : server(Net::HttpServerBuilder()
                     .listenOn("127.0.0.1", port)
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
    return "127.0.0.1:" + std::to_string(this->port());
}

std::uint16_t Store::port() const
{
    return this->server->port();
}

void Store::setQueues(const std::string &text)
{
    this->setOperatorRecord("config", text);
}

void Store::setEvacuated(const std::string &failureDomain, bool evacuated)
{
    this->setOperatorRecord("evacuate/" + failureDomain, evacuated ? "{}" : "");
}

void Store::setOperatorRecord(const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->append(OperatorsTopic, key, value);
}

void Store::setGatewayRecord(const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->append(GatewaysTopic, key, value);
}

void Store::setSilent(bool silent)
{
    this->setFault(StoreFault::Silent, silent);
}

void Store::setFault(StoreFault fault, bool on)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (on) {
        this->faults.insert(fault);
    } else {
        this->faults.erase(fault);
    }
}

void Store::dropGatewayRecords()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->dropsGatewayRecords = true;
}

void Store::dropHistory()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (auto &[name, topic] : this->topics) {
        topic.firstOffset = this->endOf(topic);
        topic.records.clear();
    }
}

void Store::abandonReaders()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto &[number, reader] : this->readers) {
        this->abandonedReaders.push_back(reader);
    }
    this->readers.clear();
}

std::int64_t Store::longestQueuesWaitMs() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->longestQueuesWait;
}

void Store::setLearned(const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->append(LearnedTopic, key, value);
}

std::string Store::learned(const std::string &key) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto topic = this->topics.find(LearnedTopic);
    if (topic == this->topics.end()) {
        return {};
    }
    const auto found = topic->second.newest.find(key);
    return found == topic->second.newest.end() ? std::string() : found->second.value;
}

int Store::writes() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->writeCount;
}

void Store::answer(const Net::HttpRequest &request, const Net::HttpReply &reply)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const bool isAffected = ++this->callCount % CallsPerFault == 0;
    if (this->faults.count(StoreFault::Silent) > 0) {
        this->timers.after(UnansweredDelay, [reply] { reply.send({}); });
        return;
    }
    if (this->faults.count(StoreFault::Refusing) > 0) {
        reply.send(json(503, Json::object()));
        return;
    }
    if (isAffected && this->faults.count(StoreFault::LosingAnswers) > 0) {
        if (request.path == "/log-append") {
            this->appendAll(request.query.at("topic"), request.body);
        }
        this->timers.after(UnansweredDelay, [reply] { reply.send({}); });
        return;
    }
    if (this->faults.count(StoreFault::Slow) > 0) {
        constexpr std::chrono::milliseconds SlowAnswer{400};
        this->timers.after(SlowAnswer, [this, request, reply] {
            const std::lock_guard<std::mutex> later(this->mutex);
            this->serve(request, reply);
        });
        return;
    }
    this->serve(request, reply);
}

void Store::serve(const Net::HttpRequest &request, const Net::HttpReply &reply)
{
    if (request.path == "/log-append") {
        ++this->writeCount;
        this->appendAll(request.query.at("topic"), request.body);
        reply.send(json(200, Json{{"offset", 0}, {"endOffset", 1}}));
        return;
    }
    if (request.path == "/log-read") {
        this->read(request, reply);
        return;
    }
    reply.send(this->newest(request.query.at("topic")));
}

void Store::append(const std::string &name, const std::string &key, const std::string &value)
{
    if (name == GatewaysTopic && this->dropsGatewayRecords) {
        return;
    }
    Topic &topic = this->topics[name];
    if (value.empty()) {
        topic.newest.erase(key);
    } else {
        topic.newest[key] = {value, this->endOf(topic)};
    }
    const std::string content = std::string(1, static_cast<char>(key.size())) + key + value;
    topic.records.push_back(bigEndian(content.size(), LengthBytes) + content);
    for (auto reader = this->readers.begin(); reader != this->readers.end();) {
        if (reader->second.topic == name) {
            reader->second.reply.send(this->records(topic, reader->second.offset));
            reader = this->readers.erase(reader);
        } else {
            ++reader;
        }
    }
}

void Store::appendAll(const std::string &topic, const std::string &body)
{
    // Length of the record, length of the key, key, value.
    std::size_t at = 0;
    while (at + LengthBytes < body.size()) {
        const std::size_t length = readBigEndian(body, at);
        at += LengthBytes;
        const std::size_t keyLength = static_cast<unsigned char>(body.at(at));
        this->append(topic, body.substr(at + 1, keyLength),
                     body.substr(at + 1 + keyLength, length - 1 - keyLength));
        at += length;
    }
}

void Store::read(const Net::HttpRequest &request, const Net::HttpReply &reply)
{
    const std::string &name = request.query.at("topic");
    const Topic &topic = this->topics[name];
    const std::int64_t offset = std::stoll(request.query.at("source"));
    if (offset < topic.firstOffset) {
        reply.send(json(410, Json{{"startOffset", topic.firstOffset}}));
        return;
    }
    const auto wait = request.query.find("waitMs");
    const std::int64_t waitMs = wait == request.query.end() ? 0 : std::stoll(wait->second);
    if (name == OperatorsTopic) {
        this->longestQueuesWait = std::max(this->longestQueuesWait, waitMs);
    }
    if (offset < this->endOf(topic) || waitMs == 0) {
        reply.send(this->records(topic, offset));
        return;
    }
    const std::uint64_t reader = ++this->lastReader;
    this->readers.emplace(reader, Reader{name, offset, reply});
    this->timers.after(std::chrono::milliseconds(waitMs), [this, reader] {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->endWait(reader);
    });
}

void Store::endWait(std::uint64_t reader)
{
    const auto found = this->readers.find(reader);
    if (found == this->readers.end()) {
        return;
    }
    const Reader &waiting = found->second;
    waiting.reply.send(this->records(this->topics[waiting.topic], waiting.offset));
    this->readers.erase(found);
}

Net::HttpResponse Store::records(const Topic &topic, std::int64_t offset) const
{
    Net::HttpResponse response;
    response.body = bigEndian(static_cast<std::uint64_t>(this->endOf(topic)), OffsetBytes)
                    + bigEndian(static_cast<std::uint64_t>(topic.firstOffset), OffsetBytes);
    const std::int64_t first = std::max(offset, topic.firstOffset) - topic.firstOffset;
    for (auto index = static_cast<std::size_t>(first); index < topic.records.size(); ++index) {
        response.body += topic.records[index];
    }
    return response;
}

Net::HttpResponse Store::newest(const std::string &name) const
{
    Json items = Json::array();
    std::int64_t end = 0;
    const auto topic = this->topics.find(name);
    if (topic != this->topics.end()) {
        end = this->endOf(topic->second);
        for (const auto &[key, newest] : topic->second.newest) {
            items.push_back({{"key", key},
                             {"value", websocketpp::base64_encode(newest.value)},
                             {"offset", newest.offset}});
        }
    }
    return json(200, Json{{"items", items}, {"hasMore", false}, {"endOffset", end}});
}

std::int64_t Store::endOf(const Topic &topic) const
{
    return topic.firstOffset + static_cast<std::int64_t>(topic.records.size());
}

BackendServer::BackendServer(BackendOptions chosen)
    : options(std::move(chosen))
{
    this->advancedToMs = nowMs();
    this->model.startedAtMs = Common::currentMoment().wallMs + this->options.clockStepMs;
    // Its clock starts near zero, independent of the machine's clock.
    this->model.clockOffsetMs = -TransientSite::clockOf(this->model, this->advancedToMs);
    this->server =
            Net::HttpServerBuilder()
                    .listenOn("127.0.0.1", this->options.port)
                    .handler([this](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        this->answer(request, reply);
                    })
                    .build();
    this->tick();
}

BackendServer::~BackendServer()
{
    this->server->stop();
    this->timers.stop();
}

std::string BackendServer::address() const
{
    return "127.0.0.1:" + std::to_string(this->port());
}

std::uint16_t BackendServer::port() const
{
    return this->server->port();
}

bool BackendServer::announce(const std::string &registration, const std::string &service,
                             bool leaving)
{
    Net::HttpClient client(1);
    Net::HttpCall call;
    call.method = "PUT";
    call.url = "http://" + registration + "/instances/" + this->options.id;
    call.timeoutMs = 1000;
    const std::string &announced = this->options.announcedAddress;
    call.body = Json{{"service", service},
                     {"address", announced.empty() ? this->address() : announced},
                     {"state", leaving ? "draining" : "ready"},
                     {"capacity", {{"cpu", 8000}, {"memMb", 1000}, {"gpu", 0}}},
                     {"labels", this->options.labels},
                     {"born", this->model.startedAtMs},
                     {"sequence", ++this->sequence}}
                        .dump();
    const Net::HttpResult result = client.perform(call);
    return result.transport == Net::HttpTransport::Answered && result.status == 200;
}

void BackendServer::announceEnd(const std::string &registration)
{
    Net::HttpClient client(1);
    Net::HttpCall call;
    call.method = "DELETE";
    call.url = "http://" + registration + "/instances/" + this->options.id;
    call.timeoutMs = 1000;
    client.perform(call);
}

void BackendServer::setFault(BackendFault fault, bool on)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->advanceModel();
    if (on) {
        this->faults.insert(fault);
    } else {
        this->faults.erase(fault);
    }
    constexpr double SlowSpeed = 0.15;
    this->model.speed = this->has(BackendFault::Slow) ? SlowSpeed : 1;
    this->model.failsAll = this->has(BackendFault::Failing);
}

bool BackendServer::has(BackendFault fault) const
{
    return this->faults.count(fault) > 0;
}

std::size_t BackendServer::running()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->advanceModel();
    return this->model.runs.size();
}

int BackendServer::starts()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->startCount;
}

void BackendServer::answer(const Net::HttpRequest &request, const Net::HttpReply &reply)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const bool isAffected = ++this->orderCount % CallsPerFault == 0;
    const auto never = [this, reply] {
        this->timers.after(UnansweredDelay, [reply] { reply.send({}); });
    };
    if (this->has(BackendFault::Silent)) {
        never();
        return;
    }
    if (this->has(BackendFault::Refusing) && request.path == "/run-start") {
        reply.send(json(503, Json{{"clockMs", TransientSite::clockOf(this->model, nowMs())}}));
        return;
    }
    const bool isLate = this->has(BackendFault::Late) || this->has(BackendFault::LateWithNewLease);
    if (isAffected && isLate) {
        constexpr std::int64_t MinDelayMs = 300;
        constexpr std::int64_t DelayRangeMs = 5700;
        constexpr std::int64_t DelayStepMs = 997;
        const std::int64_t lateMs = MinDelayMs + this->orderCount * DelayStepMs % DelayRangeMs;
        const Lateness late{lateMs, this->has(BackendFault::LateWithNewLease)};
        this->timers.after(std::chrono::milliseconds(lateMs), [this, request, reply, late] {
            const std::lock_guard<std::mutex> later(this->mutex);
            this->carryOut(request.path, request.body, reply, late);
        });
        return;
    }
    if (isAffected && this->has(BackendFault::LosingAnswers) && request.path != "/hold") {
        if (request.path == "/run-start") {
            this->start(request.body, {});
        } else {
            this->stop(request.body);
        }
        never();
        return;
    }
    this->carryOut(request.path, request.body, reply, {});
}

void BackendServer::carryOut(const std::string &path, const std::string &body,
                             const Net::HttpReply &reply, const Lateness &late)
{
    if (path == "/hold") {
        this->observe(body, reply);
    } else if (path == "/run-stop") {
        reply.send(this->stop(body));
    } else {
        reply.send(this->start(body, late));
    }
}

Net::HttpResponse BackendServer::start(const std::string &text, const Lateness &late)
{
    this->advanceModel();
    const Json body = Json::parse(text);
    Transient::RunStart start;
    start.task = fromPlatformTask(body.at("task").get<std::string>());
    start.number = body.at("runId").get<std::int64_t>();
    start.fence = body.at("fencingToken").get<std::int64_t>();
    start.payload = body.at("spec").get<std::string>();
    start.leaseUntilMs = body.at("untilMs").get<std::int64_t>();
    if (late.hasNewLease) {
        start.leaseUntilMs += late.byMs;
    }
    const std::size_t before = this->model.runs.size();
    const auto outcome = TransientSite::applyStart(this->model, start, nowMs()).outcome;
    const std::int64_t clockMs = TransientSite::clockOf(this->model, nowMs());
    if (outcome != Transient::StartOutcome::Started) {
        return json(409, Json{{"clockMs", clockMs}, {"reason", conflictName(outcome)}});
    }
    ++this->startCount;
    if (this->model.runs.size() > before) {
        this->options.ran({nowMs(), start.task, start.number, std::nullopt, late.byMs > 0});
    }
    return json(200, Json{{"clockMs", clockMs}});
}

Net::HttpResponse BackendServer::stop(const std::string &text)
{
    this->advanceModel();
    const Json body = Json::parse(text);
    TransientSite::applyStop(this->model, fromPlatformTask(body.at("task").get<std::string>()),
                             body.at("runId").get<std::int64_t>(),
                             body.at("fencingToken").get<std::int64_t>(), nowMs());
    return json(200, Json{{"clockMs", TransientSite::clockOf(this->model, nowMs())}});
}

void BackendServer::observe(const std::string &text, const Net::HttpReply &reply)
{
    this->advanceModel();
    const Json body = Json::parse(text);
    const Waiting observation{body.at("fencingToken").get<std::int64_t>(),
                              body.at("lastSeen").get<std::int64_t>(),
                              nowMs() + body.value("waitMs", std::int64_t{0}), reply};
    TransientSite::applyObserve(this->model, observation.fence, observation.lastEnd,
                                body.value("untilMs", std::int64_t{0}), nowMs());
    if (!this->answerObservation(observation)) {
        this->waiting.push_back(observation);
    }
}

bool BackendServer::answerObservation(const Waiting &observation)
{
    if (observation.fence < this->model.fence) {
        observation.reply.send(json(409, Json{{"reason", "fence"}}));
        return true;
    }
    const bool hasNewEnds = TransientSite::hasNewEnds(this->model, observation.lastEnd);
    if (!hasNewEnds && nowMs() < observation.untilMs) {
        return false;
    }
    const auto answer = TransientSite::applyObserve(this->model, observation.fence,
                                                    observation.lastEnd, 0, nowMs());
    observation.reply.send(json(200, observationJson(answer.seen)));
    return true;
}

void BackendServer::tick()
{
    constexpr std::chrono::milliseconds TickInterval{4};
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->advanceModel();
        const auto done = [this](const Waiting &entry) { return this->answerObservation(entry); };
        this->waiting.erase(std::remove_if(this->waiting.begin(), this->waiting.end(), done),
                            this->waiting.end());
    }
    this->timers.after(TickInterval, [this] { this->tick(); });
}

/// Advances the model to the present time and reports the ends of runs. However late it is called,
/// each end is reported with the time at which it was due, so that a run whose lease has lapsed
/// does not count as running until the next call.
void BackendServer::advanceModel()
{
    const std::int64_t now = nowMs();
    if (this->has(BackendFault::Hanging)) {
        this->delayRuns(now - this->advancedToMs);
    }
    this->advancedToMs = now;
    std::map<std::pair<std::string, std::int64_t>, std::int64_t> dueMs;
    for (const TransientSite::ModelRun &run : this->model.runs) {
        dueMs[{run.task, run.number}] = run.endsMs;
    }
    constexpr std::int64_t ClockDriftDivisor = 50;
    const std::int64_t leftMs = this->model.leaseUntilMs - TransientSite::clockOf(this->model, now);
    const std::int64_t lapseMs = now + leftMs * ClockDriftDivisor / (ClockDriftDivisor - 1);
    if (lapseMs < now) {
        TransientSite::advance(this->model, lapseMs + 1);
    }
    TransientSite::advance(this->model, now);
    for (const TransientSite::ModelEnd &end : this->model.ends) {
        if (end.position <= this->lastReportedEnd) {
            continue;
        }
        this->lastReportedEnd = end.position;
        const bool hasLapsed = end.end == Transient::RunEnd::LeaseLapsed;
        const std::int64_t atMs = hasLapsed ? lapseMs : dueMs[{end.task, end.number}];
        this->options.ran({std::min(atMs, now), end.task, end.number, end.end, false});
    }
}

void BackendServer::delayRuns(std::int64_t byMs)
{
    for (TransientSite::ModelRun &run : this->model.runs) {
        // A run that was about to end when its stop came ends as planned, not as stopped.
        const auto barred = this->model.barred.find(run.task);
        const bool isStopping = barred != this->model.barred.end() && run.number <= barred->second;
        run.endsMs += isStopping ? 0 : byMs;
    }
}

std::string jobBody(const CallerJob &job)
{
    const TransientSite::ModelWork work{job.runMs, 1, job.fails};
    Json step{{"count", job.tasks}, {"cpu", 1000}, {"estimateMs", job.runMs}};
    if (job.requiredLabel[0] != '\0') {
        step["requires"] = job.requiredLabel;
    }
    return Json{{"bestEffort", true},
                {"spec", TransientSite::payloadOf(work)},
                {"steps", Json::array({step})}}
            .dump();
}

std::string remainingTimeoutHeader(std::int64_t ms)
{
    return "X-Auburntrail-Deadline-Ms: " + std::to_string(ms);
}

std::string queueRecord(std::int64_t version, const std::string &service,
                        const std::vector<QueueRoute> &routes)
{
    Json record{{"version", version}, {"routes", Json::array()}};
    for (const QueueRoute &route : routes) {
        record["routes"].push_back({{"name", "checks" + route.path},
                                    {"host", "desk.example"},
                                    {"pathPrefix", route.path},
                                    {"service", service},
                                    {"priority", route.priority},
                                    {"maxAttempts", 2},
                                    {"slackFactor", 1.6},
                                    {"targetLatencyMs", 2000}});
    }
    return record.dump();
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
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
    return queueRecord(version, service, {{"/checks/", 1}});
}

} // namespace FakePlatform
