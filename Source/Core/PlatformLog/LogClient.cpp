#include "PlatformLog/LogClient.h"

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>

#include "Common/Common.h"
#include "Net/HttpClient.h"

namespace PlatformLog {

namespace {

using Json = nlohmann::json;

/// A follower and an append for each stream, with room for appends that hang.
constexpr int MaxConnections = 16;
constexpr std::int64_t MaxRetryFactor = 8;
constexpr int StatusOk = 200;
constexpr int StatusClientErrors = 400;
constexpr int StatusServerErrors = 500;
constexpr int StatusUnavailable = 503;

constexpr Common::NameTable<Stream, 3> StreamNames{
        {{Stream::Control, "control"}, {Stream::Journal, "journal"}, {Stream::Config, "config"}}};

constexpr Common::NameTable<AppendStatus, 4> AppendStatusNames{
        {{AppendStatus::Durable, "durable"},
         {AppendStatus::Unknown, "unknown"},
         {AppendStatus::Refused, "refused"},
         {AppendStatus::Unavailable, "unavailable"}}};

/// Values in one answer to a read, far more than the log service returns at once.
constexpr std::size_t MaxReadValues = 1'000'000;

/// Why a read has to be repeated.
enum class ReadFailure { NotConnected, Lost, TimedOut, BadStatus, Malformed };

constexpr Common::NameTable<ReadFailure, 5> ReadFailureNames{
        {{ReadFailure::NotConnected, "not_connected"},
         {ReadFailure::Lost, "connection_lost"},
         {ReadFailure::TimedOut, "timed_out"},
         {ReadFailure::BadStatus, "bad_status"},
         {ReadFailure::Malformed, "malformed"}}};

/// If the answer cannot be parsed, the records may nevertheless have been written.
AppendResult durableResult(const std::string &body)
{
    const Json json = Common::parseBoundedJson(body);
    if (!json.is_object() || !json.contains("offset") || !json.at("offset").is_number_integer()) {
        return {AppendStatus::Unknown, 0};
    }
    return {AppendStatus::Durable, json.at("offset").get<std::int64_t>()};
}

/// Refused and Unavailable require proof that the service wrote nothing, because the caller of a
/// job is then answered "not run". Anything else that is not a clear success is Unknown.
AppendResult appendResult(const Net::HttpResult &result)
{
    switch (result.transport) {
    case Net::HttpTransport::NotConnected:
        return {AppendStatus::Unavailable, 0};
    case Net::HttpTransport::Lost:
    case Net::HttpTransport::TimedOut:
        return {AppendStatus::Unknown, 0};
    case Net::HttpTransport::Answered:
        break;
    }
    if (result.status == StatusOk) {
        return durableResult(result.body);
    }
    if (result.status == StatusUnavailable) {
        return {AppendStatus::Unavailable, 0};
    }
    const bool isClientError =
            result.status >= StatusClientErrors && result.status < StatusServerErrors;
    return {isClientError ? AppendStatus::Refused : AppendStatus::Unknown, 0};
}

std::optional<ReadFailure> readFailure(const Net::HttpResult &result)
{
    switch (result.transport) {
    case Net::HttpTransport::NotConnected:
        return ReadFailure::NotConnected;
    case Net::HttpTransport::Lost:
        return ReadFailure::Lost;
    case Net::HttpTransport::TimedOut:
        return ReadFailure::TimedOut;
    case Net::HttpTransport::Answered:
        break;
    }
    if (result.status != StatusOk) {
        return ReadFailure::BadStatus;
    }
    return std::nullopt;
}

/// Adds an entry, or skips it with a warning if it cannot be decoded. Stopping at a record of
/// another writer would make all later records unreadable for this process.
void addEntry(ReadResult &read, const Json &json, Stream stream)
{
    try {
        read.entries.push_back(json.get<Schema::LogEntry>());
    } catch (const std::exception &error) {
        Common::logEvent(Common::LogLevel::Warning, "log_record_skipped",
                         {{"stream", streamName(stream)}, {"error", error.what()}});
    }
}

std::optional<ReadResult> parseRead(const std::string &body, Stream stream)
{
    try {
        const Json json = Common::parseBoundedJson(body, MaxReadValues);
        ReadResult read;
        read.available = true;
        read.nextOffset = json.at("next").get<std::int64_t>();
        read.oldestOffset = json.at("oldest").get<std::int64_t>();
        read.atEnd = json.at("end").get<bool>();
        for (const Json &entry : json.at("entries")) {
            addEntry(read, entry, stream);
        }
        return read;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

/// One stream being read. Has a read in flight or a pause pending, never both, so that only one
/// thread accesses it at a time.
struct Follower
{
    Stream stream = Stream::Control;
    std::int64_t offset = 0;
    std::function<void(ReadResult)> deliver;
    bool isReportedUnavailable = false;
    std::int64_t pauseMs = 0;
};

} // namespace

const char *streamName(Stream stream)
{
    return Common::nameOf(StreamNames, stream).data();
}

const char *appendStatusName(AppendStatus status)
{
    return Common::nameOf(AppendStatusNames, status).data();
}

struct LogClient::Implementation
{
    explicit Implementation(LogClientSettings settings)
        : settings(std::move(settings))
        , client(std::make_unique<Net::HttpClient>(MaxConnections))
    {}

    /// Returns false after stop(); \a done is then never called.
    bool send(Net::HttpCall call, Net::HttpCallback done);
    void append(Stream stream, const std::vector<Schema::LogRecord> &records,
                const std::function<void(AppendResult)> &done);
    void read(Follower &follower);
    void handleRead(Follower &follower, const Net::HttpResult &result);
    void succeed(Follower &follower, ReadResult read);
    void retry(Follower &follower, ReadFailure reason);
    std::chrono::milliseconds jittered(std::int64_t pauseMs);
    void count(const char *name, Stream stream, const char *label, std::string_view value) const;
    void stop();

    LogClientSettings settings;
    std::mutex mutex;
    std::vector<std::unique_ptr<Follower>> followers;
    Common::Random random = Common::makeRandom();
    std::unique_ptr<Net::HttpClient> client;
    Common::TimerThread timers;
};

bool LogClient::Implementation::send(Net::HttpCall call, Net::HttpCallback done)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->client) {
        return false;
    }
    this->client->send(std::move(call), std::move(done));
    return true;
}

void LogClient::Implementation::append(Stream stream, const std::vector<Schema::LogRecord> &records,
                                       const std::function<void(AppendResult)> &done)
{
    Net::HttpCall call;
    call.method = "POST";
    call.url = this->settings.url + "/streams/" + streamName(stream) + "/append";
    call.body = Json(records).dump();
    call.timeoutMs = this->settings.appendTimeoutMs;
    call.connectTimeoutMs = this->settings.appendTimeoutMs;
    const bool isSent =
            this->send(std::move(call), [this, stream, done](const Net::HttpResult &result) {
                const AppendResult ended = appendResult(result);
                this->count("auburntrail_log_appends_total", stream, "status",
                            appendStatusName(ended.status));
                done(ended);
            });
    if (!isSent) {
        done({AppendStatus::Unavailable, 0});
    }
}

void LogClient::Implementation::read(Follower &follower)
{
    Net::HttpCall call;
    call.url = this->settings.url + "/streams/" + streamName(follower.stream)
               + "/read?from=" + std::to_string(follower.offset)
               + "&waitMs=" + std::to_string(this->settings.longPollMs);
    call.timeoutMs = this->settings.longPollMs + this->settings.readTimeoutMs;
    call.connectTimeoutMs = this->settings.readTimeoutMs;
    this->send(std::move(call), [this, &follower](const Net::HttpResult &result) {
        this->handleRead(follower, result);
    });
}

void LogClient::Implementation::handleRead(Follower &follower, const Net::HttpResult &result)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->client) {
            return;
        }
    }
    if (const std::optional<ReadFailure> failed = readFailure(result)) {
        this->retry(follower, *failed);
        return;
    }
    std::optional<ReadResult> read = parseRead(result.body, follower.stream);
    if (!read) {
        this->retry(follower, ReadFailure::Malformed);
        return;
    }
    this->succeed(follower, std::move(*read));
}

void LogClient::Implementation::succeed(Follower &follower, ReadResult read)
{
    follower.offset = std::max(follower.offset, read.nextOffset);
    follower.isReportedUnavailable = false;
    follower.pauseMs = 0;
    follower.deliver(std::move(read));
    this->read(follower);
}

void LogClient::Implementation::retry(Follower &follower, ReadFailure reason)
{
    this->count("auburntrail_log_read_retries_total", follower.stream, "reason",
                Common::nameOf(ReadFailureNames, reason));
    if (!follower.isReportedUnavailable) {
        follower.isReportedUnavailable = true;
        ReadResult unavailable;
        unavailable.nextOffset = follower.offset;
        follower.deliver(std::move(unavailable));
    }
    const std::int64_t firstMs = this->settings.retryMs;
    follower.pauseMs = Common::nextBackoffMs(follower.pauseMs, firstMs, firstMs * MaxRetryFactor);
    this->timers.after(this->jittered(follower.pauseMs),
                       [this, &follower] { this->read(follower); });
}

std::chrono::milliseconds LogClient::Implementation::jittered(std::int64_t pauseMs)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return Common::jitteredDelay(pauseMs, this->random);
}

void LogClient::Implementation::count(const char *name, Stream stream, const char *label,
                                      std::string_view value) const
{
    if (this->settings.metrics != nullptr) {
        this->settings.metrics->count(
                name, {{"stream", streamName(stream)}, {label, std::string(value)}});
    }
}

void LogClient::Implementation::stop()
{
    std::unique_ptr<Net::HttpClient> stopped;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        stopped = std::move(this->client);
    }
    this->timers.stop();
}

LogClient::LogClient(LogClientSettings settings)
    : implementation(std::make_unique<Implementation>(std::move(settings)))
{}

LogClient::~LogClient()
{
    this->stop();
}

void LogClient::append(Stream stream, const std::vector<Schema::LogRecord> &records,
                       const std::function<void(AppendResult)> &done)
{
    this->implementation->append(stream, records, done);
}

void LogClient::follow(Stream stream, std::int64_t offset, std::function<void(ReadResult)> deliver)
{
    auto follower = std::make_unique<Follower>();
    follower->stream = stream;
    follower->offset = offset;
    follower->deliver = std::move(deliver);
    Follower &added = *follower;
    {
        const std::lock_guard<std::mutex> lock(this->implementation->mutex);
        this->implementation->followers.push_back(std::move(follower));
    }
    this->implementation->read(added);
}

void LogClient::stop()
{
    this->implementation->stop();
}

} // namespace PlatformLog
