#include "StoreClient/StoreClient.h"

#include <algorithm>
#include <iterator>
#include <mutex>
#include <utility>

namespace StoreClient {

namespace {

using Platform::StoreTopic;

constexpr int MaxConnections = 8;
constexpr std::int64_t MaxRetryFactor = 4;
constexpr const char *CallCounter = "auburntrail_store_calls_total";
constexpr const char *SkippedCounter = "auburntrail_store_records_skipped_total";
/// Of what a reading of all newest records may keep; a large fleet has some 5 MB of learned times.
constexpr std::size_t MaxNewestBytes = std::size_t{16} << 20U;

/// The pages of the newest records that have been read. They are not a snapshot: reading continues
/// from the end offset of the first one.
struct NewestPages
{
    std::string afterKey;
    std::int64_t endOffset = 0;
    std::vector<Platform::StoreRecord> records;
    /// Of the records' keys and values.
    std::size_t bytes = 0;
    std::vector<Platform::SkippedRecord> skipped;
};

void addRecord(NewestPages &pages, Platform::StoreRecord record)
{
    const std::size_t bytes = record.key.size() + record.value.size();
    if (pages.bytes + bytes > MaxNewestBytes) {
        pages.skipped.push_back({std::move(record.key), record.offset, "too much in this topic"});
        return;
    }
    pages.bytes += bytes;
    pages.records.push_back(std::move(record));
}

/// Adds a page. Returns true if no more follow.
bool addPage(NewestPages &pages, Platform::NewestRecords page)
{
    if (pages.afterKey.empty()) {
        pages.endOffset = page.nextOffset;
    }
    const bool hasMore = page.hasMore && !page.records.empty();
    pages.afterKey = hasMore ? page.records.back().key : std::string();
    std::move(page.skipped.begin(), page.skipped.end(), std::back_inserter(pages.skipped));
    for (Platform::StoreRecord &record : page.records) {
        addRecord(pages, std::move(record));
    }
    return !hasMore;
}

StoreUpdate completeUpdate(NewestPages pages)
{
    return {true, std::move(pages.records), pages.endOffset, true};
}

/// One topic being read. Has a call in flight or a pause pending, never both, so that only one
/// thread accesses it at a time.
struct Follower
{
    StoreTopic topic = StoreTopic::Operators;
    std::int64_t longPollMs = 0;
    std::function<void(StoreUpdate)> deliver;
    /// Whether the newest records of all keys are read next: at first, and whenever the history has
    /// expired.
    bool readsNewest = true;
    NewestPages pages;
    std::int64_t offset = 0;
    bool isUnavailable = false;
    std::int64_t pauseMs = 0;
    /// On the steady clock: when the last read was sent, and when one was last answered.
    std::int64_t sentMs = 0;
    std::int64_t answeredMs = 0;
};

std::string topicName(StoreTopic topic)
{
    return std::string(Common::nameOf(Platform::StoreTopicNames, topic));
}

std::int64_t nowMs()
{
    return Common::currentMoment().steadyMs;
}

std::string describe(const Net::HttpResult &result)
{
    return result.transport == Net::HttpTransport::Answered
                   ? "status " + std::to_string(result.status)
                   : result.error;
}

/// A read on a dead connection ends by its timeout, and the next one, on another connection,
/// returns the record at once: both have to end within \a maxAgeMs.
std::int64_t longPollForAge(const StoreSettings &settings, std::int64_t maxAgeMs)
{
    constexpr std::int64_t NextReadMs = 100;
    constexpr std::int64_t MinLongPollMs = 50;
    const std::int64_t leftMs = maxAgeMs - settings.answerTimeoutMs - NextReadMs;
    return std::clamp(leftMs, MinLongPollMs, settings.longPollMs);
}

} // namespace

struct Client::Implementation
{
    explicit Implementation(StoreSettings settings)
        : settings(std::move(settings))
        , client(std::make_unique<Net::HttpClient>(MaxConnections))
    {}

    void send(Net::HttpCall call, std::int64_t waitMs, Net::HttpCallback done);
    bool isStopped();
    void read(Follower &follower);
    void handleNewest(Follower &follower, const Net::HttpResult &result);
    void handleRead(Follower &follower, const Net::HttpResult &result);
    void readPages(StoreTopic topic, NewestPages pages, std::function<void(StoreUpdate)> deliver);
    void markAvailable(Follower &follower);
    void succeed(Follower &follower, StoreUpdate update);
    void retry(Follower &follower, const Net::HttpResult &result);
    void write(StoreTopic topic, const Platform::StoreRecord &record, std::int64_t pauseMs);
    void tryWrite(StoreTopic topic, const Platform::StoreRecord &record,
                  const std::function<void()> &failed);
    void reportSkipped(StoreTopic topic, const std::vector<Platform::SkippedRecord> &skipped);
    void count(const char *call, const Net::HttpResult &result) const;
    std::int64_t nextBackoffMs(std::int64_t pauseMs) const;
    std::chrono::milliseconds jittered(std::int64_t pauseMs);
    void stop();

    StoreSettings settings;
    std::mutex mutex;
    std::vector<std::unique_ptr<Follower>> followers;
    Common::ReportedKeys reportedRecords;
    Common::Random random = Common::makeRandom();
    std::unique_ptr<Net::HttpClient> client;
    Common::TimerThread timers;
};

void Client::Implementation::send(Net::HttpCall call, std::int64_t waitMs, Net::HttpCallback done)
{
    call.timeoutMs = waitMs + this->settings.answerTimeoutMs;
    call.connectTimeoutMs = this->settings.answerTimeoutMs;
    // A call that ends because this client stops says nothing about the store.
    const auto unlessStopped = [this, done = std::move(done)](const Net::HttpResult &result) {
        if (!this->isStopped()) {
            done(result);
        }
    };
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->client) {
        this->client->send(std::move(call), unlessStopped);
    }
}

bool Client::Implementation::isStopped()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return !this->client;
}

void Client::Implementation::read(Follower &follower)
{
    follower.sentMs = nowMs();
    if (follower.readsNewest) {
        this->send(Platform::newestCall(this->settings.address, follower.topic,
                                        follower.pages.afterKey),
                   0, [this, &follower](const Net::HttpResult &result) {
                       this->count("newest", result);
                       this->handleNewest(follower, result);
                   });
        return;
    }
    // After a failure, a read without waiting shows soon whether the store answers again.
    const std::int64_t waitMs = follower.isUnavailable ? 0 : follower.longPollMs;
    this->send(Platform::readCall(this->settings.address, follower.topic, follower.offset, waitMs),
               waitMs, [this, &follower](const Net::HttpResult &result) {
                   this->count("read", result);
                   this->handleRead(follower, result);
               });
}

void Client::Implementation::handleNewest(Follower &follower, const Net::HttpResult &result)
{
    std::optional<Platform::NewestRecords> newest = Platform::decodeNewest(result);
    if (!newest) {
        this->retry(follower, result);
        return;
    }
    const bool isLast = addPage(follower.pages, std::move(*newest));
    this->reportSkipped(follower.topic, std::exchange(follower.pages.skipped, {}));
    if (!isLast) {
        this->markAvailable(follower);
        this->read(follower);
        return;
    }
    follower.readsNewest = false;
    follower.offset = follower.pages.endOffset;
    this->succeed(follower, completeUpdate(std::exchange(follower.pages, {})));
}

void Client::Implementation::handleRead(Follower &follower, const Net::HttpResult &result)
{
    std::optional<Platform::ReadRecords> read = Platform::decodeRead(result, follower.offset);
    if (!read) {
        this->retry(follower, result);
        return;
    }
    this->reportSkipped(follower.topic, read->skipped);
    if (read->expired) {
        Common::logEvent(Common::LogLevel::Warning, "store_history_expired",
                         {{"topic", topicName(follower.topic)}, {"offset", follower.offset}});
        follower.readsNewest = true;
    }
    follower.offset = read->nextOffset;
    this->succeed(follower, {true, std::move(read->records), read->nextOffset, false});
}

void Client::Implementation::markAvailable(Follower &follower)
{
    if (follower.isUnavailable) {
        Common::logEvent(Common::LogLevel::Info, "store_regained",
                         {{"topic", topicName(follower.topic)},
                          {"answered_ms_ago", nowMs() - follower.answeredMs}});
    }
    follower.answeredMs = nowMs();
    follower.isUnavailable = false;
    follower.pauseMs = 0;
}

void Client::Implementation::succeed(Follower &follower, StoreUpdate update)
{
    this->markAvailable(follower);
    follower.deliver(std::move(update));
    this->read(follower);
}

void Client::Implementation::retry(Follower &follower, const Net::HttpResult &result)
{
    // A read that waited for a record may have failed with its connection alone.
    const bool readsAtOnce =
            !follower.isUnavailable && result.transport == Net::HttpTransport::TimedOut;
    if (!follower.isUnavailable) {
        follower.isUnavailable = true;
        Common::logEvent(Common::LogLevel::Warning, "store_lost",
                         {{"topic", topicName(follower.topic)},
                          {"why", describe(result)},
                          {"read_ms", nowMs() - follower.sentMs},
                          {"answered_ms_ago", nowMs() - follower.answeredMs}});
        follower.deliver({});
    }
    if (readsAtOnce) {
        this->read(follower);
        return;
    }
    follower.pauseMs = this->nextBackoffMs(follower.pauseMs);
    this->timers.after(this->jittered(follower.pauseMs),
                       [this, &follower] { this->read(follower); });
}

void Client::Implementation::readPages(StoreTopic topic, NewestPages pages,
                                       std::function<void(StoreUpdate)> deliver)
{
    Net::HttpCall call = Platform::newestCall(this->settings.address, topic, pages.afterKey);
    this->send(std::move(call), 0,
               [this, topic, pages = std::move(pages),
                deliver = std::move(deliver)](const Net::HttpResult &result) mutable {
                   this->count("newest", result);
                   std::optional<Platform::NewestRecords> newest = Platform::decodeNewest(result);
                   if (!newest) {
                       deliver({});
                       return;
                   }
                   const bool isLast = addPage(pages, std::move(*newest));
                   this->reportSkipped(topic, std::exchange(pages.skipped, {}));
                   if (isLast) {
                       deliver(completeUpdate(std::move(pages)));
                   } else {
                       this->readPages(topic, std::move(pages), std::move(deliver));
                   }
               });
}

void Client::Implementation::tryWrite(StoreTopic topic, const Platform::StoreRecord &record,
                                      const std::function<void()> &failed)
{
    this->send(Platform::writeCall(this->settings.address, topic, record), 0,
               [this, topic, key = record.key, failed](const Net::HttpResult &result) {
                   this->count("write", result);
                   if (Platform::isWritten(result)) {
                       return;
                   }
                   Common::logEvent(
                           Common::LogLevel::Warning, "store_write_failed",
                           {{"topic", topicName(topic)}, {"key", key}, {"why", describe(result)}});
                   failed();
               });
}

void Client::Implementation::write(StoreTopic topic, const Platform::StoreRecord &record,
                                   std::int64_t pauseMs)
{
    this->tryWrite(topic, record, [this, topic, record, pauseMs] {
        const std::int64_t longer = this->nextBackoffMs(pauseMs);
        this->timers.after(this->jittered(longer),
                           [this, topic, record, longer] { this->write(topic, record, longer); });
    });
}

void Client::Implementation::reportSkipped(StoreTopic topic,
                                           const std::vector<Platform::SkippedRecord> &skipped)
{
    for (const Platform::SkippedRecord &record : skipped) {
        const std::string identity =
                topicName(topic) + ' ' + std::to_string(record.offset) + ' ' + record.key;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (!Common::addReported(this->reportedRecords, identity)) {
                continue;
            }
        }
        if (this->settings.metrics != nullptr) {
            this->settings.metrics->count(SkippedCounter, {{"topic", topicName(topic)}});
        }
        Common::logEvent(Common::LogLevel::Warning, "store_record_skipped",
                         {{"topic", topicName(topic)},
                          {"key", record.key},
                          {"offset", record.offset},
                          {"why", record.why}});
    }
}

void Client::Implementation::count(const char *call, const Net::HttpResult &result) const
{
    if (this->settings.metrics == nullptr) {
        return;
    }
    const bool isAnswered = result.transport == Net::HttpTransport::Answered;
    this->settings.metrics->count(
            CallCounter,
            {{"call", call}, {"outcome", isAnswered ? std::to_string(result.status) : "lost"}});
}

std::int64_t Client::Implementation::nextBackoffMs(std::int64_t pauseMs) const
{
    const std::int64_t firstMs = this->settings.retryMs;
    return Common::nextBackoffMs(pauseMs, firstMs, firstMs * MaxRetryFactor);
}

std::chrono::milliseconds Client::Implementation::jittered(std::int64_t pauseMs)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return Common::jitteredDelay(pauseMs, this->random);
}

void Client::Implementation::stop()
{
    std::unique_ptr<Net::HttpClient> stopped;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        stopped = std::move(this->client);
    }
    this->timers.stop();
}

Client::Client(StoreSettings settings)
    : implementation(std::make_unique<Implementation>(std::move(settings)))
{}

Client::~Client()
{
    this->stop();
}

void Client::follow(StoreTopic topic, std::function<void(StoreUpdate)> deliver,
                    std::optional<std::int64_t> maxAgeMs)
{
    const StoreSettings &settings = this->implementation->settings;
    auto follower = std::make_unique<Follower>();
    follower->topic = topic;
    follower->longPollMs = maxAgeMs ? longPollForAge(settings, *maxAgeMs) : settings.longPollMs;
    follower->deliver = std::move(deliver);
    follower->answeredMs = nowMs();
    Follower &added = *follower;
    {
        const std::lock_guard<std::mutex> lock(this->implementation->mutex);
        this->implementation->followers.push_back(std::move(follower));
    }
    this->implementation->read(added);
}

void Client::readOnce(StoreTopic topic, std::function<void(StoreUpdate)> deliver)
{
    this->implementation->readPages(topic, {}, std::move(deliver));
}

void Client::write(StoreTopic topic, const Platform::StoreRecord &record)
{
    this->implementation->write(topic, record, 0);
}

void Client::tryWrite(StoreTopic topic, const Platform::StoreRecord &record)
{
    this->implementation->tryWrite(topic, record, [] {});
}

void Client::reportSkipped(StoreTopic topic, const std::vector<Platform::SkippedRecord> &skipped)
{
    this->implementation->reportSkipped(topic, skipped);
}

void Client::stop()
{
    this->implementation->stop();
}

} // namespace StoreClient
