#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Common/Metrics.h"
#include "Schema/Schema.h"

namespace PlatformLog {

/// Streams that this system keeps in the platform's log.
enum class Stream { Control, Journal, Config };
const char *streamName(Stream stream);

/// Result of an append. Unknown means that the service may have written the records: they are
/// appended again with the same record ids, and readers drop the duplicates. After Refused and
/// Unavailable nothing was written.
enum class AppendStatus { Durable, Unknown, Refused, Unavailable };
const char *appendStatusName(AppendStatus status);

struct AppendResult
{
    AppendStatus status = AppendStatus::Unavailable;
    /// Offset of the first record, if the status is Durable.
    std::int64_t offset = 0;
};

struct ReadResult
{
    /// False while the service does not answer; the follower keeps retrying.
    bool available = false;
    std::vector<Schema::LogEntry> entries;
    /// Offset at which the next read continues.
    std::int64_t nextOffset = 0;
    /// True if the stream had no further entries at the time of the read.
    bool atEnd = false;
    /// Above the requested offset if retention has removed records, which are then lost.
    std::int64_t oldestOffset = 0;
};

struct LogClientSettings
{
    std::string url;
    std::int64_t appendTimeoutMs = 1000;
    std::int64_t longPollMs = 1000;
    /// How long an answer may take beyond longPollMs.
    std::int64_t readTimeoutMs = 1000;
    /// Delay before the first retry of a failed read. It doubles up to eight times this value, with
    /// a jitter of half the delay to either side: gateways that lost the service together would
    /// otherwise retry together.
    std::int64_t retryMs = 200;
    /// Counts appends by status and read retries by reason, if set. Must outlive the client.
    Common::Metrics *metrics = nullptr;
};

/// Client of the log service, on threads of its own. Each append is attempted once; its user
/// decides whether and when to retry.
class LogClient
{
public:
    explicit LogClient(LogClientSettings settings);
    ~LogClient();
    LogClient(const LogClient &) = delete;
    LogClient &operator=(const LogClient &) = delete;

    /// Appends \a records in one request, in order. \a done runs on a thread of the client; after
    /// stop() it is called at once with Unavailable.
    void append(Stream stream, const std::vector<Schema::LogRecord> &records,
                const std::function<void(AppendResult)> &done);
    /// Reads \a stream from \a offset on until the client stops. \a deliver receives every answer
    /// of the service on a thread of the client, including empty ones, which show that the stream
    /// had no further entries at the time, and one result whose available is false each time the
    /// service stops answering. Records that cannot be decoded are skipped.
    void follow(Stream stream, std::int64_t offset, std::function<void(ReadResult)> deliver);
    /// Ends appends in flight as Unknown or Unavailable and waits for the threads. Nothing is
    /// delivered afterwards. Must not be called from \a done or \a deliver.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace PlatformLog
