#include "StandIn/FakeLogServer.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <vector>

#include "StandIn/FakeService.h"

namespace StandIn {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t DefaultReadRecords = 500;
constexpr std::int64_t MaxReadRecords = 5000;
constexpr std::int64_t MaxWaitMs = 60000;
/// Time after which a request without an answer is ended with status 500: longer than any client's
/// timeout.
constexpr milliseconds HoldTime(120000);

std::int64_t steadyNow()
{
    return Common::currentMoment().steadyMs;
}

/// A request to /streams/{name}/{verb}.
struct StreamRoute
{
    std::string stream;
    std::string verb;
};

std::optional<StreamRoute> parseRoute(const std::string &path)
{
    constexpr std::string_view Prefix = "/streams/";
    if (path.compare(0, Prefix.size(), Prefix) != 0) {
        return std::nullopt;
    }
    const std::size_t slash = path.find('/', Prefix.size());
    if (slash == std::string::npos || slash == Prefix.size()) {
        return std::nullopt;
    }
    return StreamRoute{path.substr(Prefix.size(), slash - Prefix.size()), path.substr(slash + 1)};
}

Common::Outcome<std::vector<std::string>> parseRecords(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_array() || json.empty()) {
        return Common::failure(Schema::Reason::Malformed, "expected an array of records");
    }
    std::vector<std::string> records;
    records.reserve(json.size());
    for (const Json &record : json) {
        if (!record.is_object()) {
            return Common::failure(Schema::Reason::Malformed, "a record must be an object");
        }
        records.push_back(record.dump());
    }
    return records;
}

struct ReadRequest
{
    std::string stream;
    std::int64_t from = 0;
    std::int64_t maximum = DefaultReadRecords;
    std::int64_t waitMs = 0;
};

Common::Outcome<ReadRequest> parseRead(const std::string &stream, const Net::HttpRequest &request)
{
    ReadRequest read;
    read.stream = stream;
    BOOST_LEAF_ASSIGN(read.from, queryNumber(request, "from", 0));
    BOOST_LEAF_ASSIGN(read.maximum, queryNumber(request, "max", DefaultReadRecords));
    BOOST_LEAF_ASSIGN(read.waitMs, queryNumber(request, "waitMs", 0));
    read.maximum = std::clamp<std::int64_t>(read.maximum, 1, MaxReadRecords);
    read.waitMs = std::min(read.waitMs, MaxWaitMs);
    return read;
}

Net::HttpResponse batchResponse(const FakeLogBatch &batch)
{
    Net::HttpResponse response;
    response.body = batchJson(batch);
    return response;
}

/// A long poll at the end of its stream that waits for the next record.
struct WaitingRead
{
    ReadRequest read;
    Net::HttpReply reply;
};

} // namespace

struct FakeLogService : FakeService
{
    void handle(const Net::HttpRequest &request, const Net::HttpReply &reply);
    void handleStream(const StreamRoute &route, const Net::HttpRequest &request,
                      const Net::HttpReply &reply);
    void append(const std::string &stream, std::vector<std::string> records,
                const Net::HttpReply &reply);
    void commit(const std::string &stream, std::vector<std::string> records,
                const Net::HttpReply &reply);
    void read(const ReadRequest &read, const Net::HttpReply &reply);
    void wakeReads(const std::string &stream);
    void endWait(std::uint64_t id);
    void changeControl(const FakeLogControl &control);
    void answer(const Net::HttpReply &reply, Net::HttpResponse response);
    void answerDuringOutage(const Net::HttpReply &reply);
    void hold(const Net::HttpReply &reply);
    const FakeLogControl &control() const { return this->log.control; }
    nlohmann::json stats() const { return logStats(this->log); }
    void dropUnanswered();

    FakeLog log;
    std::map<std::uint64_t, WaitingRead> waiting;
    std::uint64_t nextWaiting = 0;
};

void FakeLogService::handle(const Net::HttpRequest &request, const Net::HttpReply &reply)
{
    if (request.path == "/control" || request.path == "/control/stats") {
        handleControl(*this, request, reply);
        return;
    }
    if (this->log.control.outage) {
        this->answerDuringOutage(reply);
        return;
    }
    const std::optional<StreamRoute> route = parseRoute(request.path);
    if (!route) {
        reply.send(reasonResponse(HttpStatus::NotFound, "no such path"));
        return;
    }
    this->handleStream(*route, request, reply);
}

void FakeLogService::handleStream(const StreamRoute &route, const Net::HttpRequest &request,
                                  const Net::HttpReply &reply)
{
    Common::handle(
            [&]() -> Common::Outcome<void> {
                if (route.verb == "append" && request.method == "POST") {
                    BOOST_LEAF_AUTO(records, parseRecords(request.body));
                    this->append(route.stream, std::move(records), reply);
                } else if (route.verb == "read" && request.method == "GET") {
                    BOOST_LEAF_AUTO(read, parseRead(route.stream, request));
                    this->read(read, reply);
                } else {
                    reply.send(reasonResponse(HttpStatus::NotFound, "no such path"));
                }
                return {};
            },
            [&](const Common::Failure &failed) {
                reply.send(reasonResponse(HttpStatus::BadRequest, "malformed", failed.detail));
            });
}

void FakeLogService::append(const std::string &stream, std::vector<std::string> records,
                            const Net::HttpReply &reply)
{
    const std::int64_t nowMs = steadyNow();
    if (!admitAppend(this->log, nowMs)) {
        reply.send(reasonResponse(HttpStatus::TooManyRequests, "too many appends"));
        return;
    }
    const milliseconds untilCommit(commitTime(this->log, nowMs) - nowMs);
    this->timers.after(untilCommit, [this, stream, records = std::move(records), reply]() mutable {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->commit(stream, std::move(records), reply);
    });
}

void FakeLogService::commit(const std::string &stream, std::vector<std::string> records,
                            const Net::HttpReply &reply)
{
    const auto count = static_cast<std::int64_t>(records.size());
    const std::int64_t first = commitAppend(this->log, stream, std::move(records), steadyNow());
    this->wakeReads(stream);
    const FakeLogControl &control = this->log.control;
    // If an outage began during the write, the write has taken effect but its answer is lost.
    if (!control.outage && !losesAnswer(this->log)) {
        this->answer(reply, jsonResponse({{"offset", first}, {"next", first + count}}));
        return;
    }
    const bool hangs = control.outage ? control.outageMode == OutageMode::Hang
                                      : control.lostAnswer == LostAnswer::Hang;
    if (hangs) {
        this->hold(reply);
        return;
    }
    this->answer(reply, reasonResponse(HttpStatus::InternalError, "answer lost"));
}

void FakeLogService::read(const ReadRequest &read, const Net::HttpReply &reply)
{
    const FakeLogBatch batch =
            readStream(this->log, read.stream, read.from, read.maximum, steadyNow());
    if (!batch.records.empty() || read.waitMs == 0 || batch.oldest > read.from) {
        this->answer(reply, batchResponse(batch));
        return;
    }
    const std::uint64_t id = this->nextWaiting++;
    this->waiting.emplace(id, WaitingRead{read, reply});
    this->timers.after(milliseconds(read.waitMs), [this, id] {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->endWait(id);
    });
}

void FakeLogService::wakeReads(const std::string &stream)
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, waitingRead] : this->waiting) {
        if (waitingRead.read.stream == stream) {
            ids.push_back(id);
        }
    }
    for (const std::uint64_t id : ids) {
        this->endWait(id);
    }
}

void FakeLogService::endWait(std::uint64_t id)
{
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end()) {
        return;
    }
    const WaitingRead ended = found->second;
    this->waiting.erase(found);
    if (this->log.control.outage) {
        this->answerDuringOutage(ended.reply);
        return;
    }
    const ReadRequest &read = ended.read;
    this->answer(ended.reply, batchResponse(readStream(this->log, read.stream, read.from,
                                                       read.maximum, steadyNow())));
}

void FakeLogService::changeControl(const FakeLogControl &control)
{
    this->log.control = control;
    if (!control.outage) {
        return;
    }
    for (const auto &[id, waitingRead] : this->waiting) {
        this->answerDuringOutage(waitingRead.reply);
    }
    this->waiting.clear();
}

void FakeLogService::answer(const Net::HttpReply &reply, Net::HttpResponse response)
{
    const std::int64_t delayMs = this->log.control.delayMs;
    if (delayMs == 0) {
        reply.send(response);
        return;
    }
    this->timers.after(milliseconds(delayMs),
                       [reply, response = std::move(response)] { reply.send(response); });
}

void FakeLogService::answerDuringOutage(const Net::HttpReply &reply)
{
    if (this->log.control.outageMode == OutageMode::Refuse) {
        reply.send(reasonResponse(HttpStatus::Unavailable, "outage"));
        return;
    }
    this->hold(reply);
}

void FakeLogService::hold(const Net::HttpReply &reply)
{
    this->timers.after(HoldTime, [reply] {
        reply.send(reasonResponse(HttpStatus::InternalError, "answer lost"));
    });
}

void FakeLogService::dropUnanswered()
{
    this->waiting.clear();
}

template class FakeServer<FakeLogService, FakeLogControl>;

FakeLogServer::FakeLogServer(std::unique_ptr<FakeLogService> service)
    : FakeServer(std::move(service))
{}

FakeLogServerBuilder &FakeLogServerBuilder::seed(std::uint64_t value)
{
    this->randomSeed = value;
    return *this;
}

std::unique_ptr<FakeLogServer> FakeLogServerBuilder::build()
{
    auto service = std::make_unique<FakeLogService>();
    service->log.control = this->initialControl;
    service->log.random.seed(this->randomSeed);
    startService(*service, this->address);
    return std::unique_ptr<FakeLogServer>(new FakeLogServer(std::move(service)));
}

} // namespace StandIn
