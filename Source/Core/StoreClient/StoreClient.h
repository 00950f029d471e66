#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/Common.h"
#include "platform/Platform.h"

/// Client of the platform's store. No step in the processing of a job waits for it.
namespace StoreClient {

struct StoreSettings
{
    /// host:port
    std::string address;
    /// How long a read may wait for a record, if the age of what was read is not limited. Long,
    /// because each read is charged for, and a new record is returned at once.
    std::int64_t longPollMs = 10'000;
    /// How long an answer may take beyond longPollMs: three times the answer time of a store that
    /// is sixty times slower than usual. A gateway that starts while the store does not answer
    /// serves no callers until the store is read again.
    std::int64_t answerTimeoutMs = 800;
    /// Delay before the first retry of a failed call. It doubles up to four times this value, with
    /// a jitter of half the delay to either side: processes that lost the store together would
    /// otherwise retry together. Twelve gateways then make about 40 of the store's 2,000 reads per
    /// second.
    std::int64_t retryMs = 150;
    /// Counts calls by kind and outcome, if set. Must outlive the client.
    Common::Metrics *metrics = nullptr;
};

/// Records that were read, or the notice that the store does not answer.
struct StoreUpdate
{
    /// False in the one update that is delivered each time the store stops answering.
    bool available = false;
    std::vector<Platform::StoreRecord> records;
    /// Offset after the last record that was read.
    std::int64_t nextOffset = 0;
    /// \a records are the newest of all keys. Keys without a record here have been removed before
    /// nextOffset, or were written from it on.
    bool isComplete = false;
};

/// Runs on threads of its own.
class Client
{
public:
    explicit Client(StoreSettings settings);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Delivers the newest record of each key of \a topic, then every later record, on a thread of
    /// the client until it stops. With \a maxAgeMs each record is delivered within that time after
    /// it was written, although the connection that it was to come by is dead.
    void follow(Platform::StoreTopic topic, std::function<void(StoreUpdate)> deliver,
                std::optional<std::int64_t> maxAgeMs = std::nullopt);
    /// Delivers the newest record of each key once. If the read fails, delivers an update without
    /// records whose available is false.
    void readOnce(Platform::StoreTopic topic, std::function<void(StoreUpdate)> deliver);
    /// Writes the record, with retries until the store acknowledges it.
    void write(Platform::StoreTopic topic, const Platform::StoreRecord &record);
    /// Tries once to write the record; for records that will soon be written again anyway.
    void tryWrite(Platform::StoreTopic topic, const Platform::StoreRecord &record);
    /// Logs and counts records that are not used, each of them once, however often it is read.
    void reportSkipped(Platform::StoreTopic topic,
                       const std::vector<Platform::SkippedRecord> &skipped);
    /// The usable values; the records of the others are reported.
    template <typename Value>
    std::vector<Value> usable(Platform::StoreTopic topic, Platform::DecodedRecords<Value> decoded)
    {
        this->reportSkipped(topic, decoded.skipped);
        return std::move(decoded.values);
    }
    /// Nothing is delivered afterwards. Must not be called from a \a deliver callback.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace StoreClient
