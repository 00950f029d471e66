#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Schema/Schema.h"

namespace PlatformLog {

/// Streams the system keeps in the log.
enum class Stream { Control, Journal, Config };
const char *streamName(Stream stream);

/// How an append ended. Unknown means that the service may have written the records: they are
/// appended again under the same record ids, and readers drop the repetition.
enum class AppendStatus { Durable, Unknown, Refused, Unavailable };

struct AppendResult
{
    AppendStatus status = AppendStatus::Unavailable;
    /// Offset of the first record, where Durable.
    std::int64_t offset = 0;
};

struct ReadResult
{
    /// False while the service does not answer; the follower goes on trying.
    bool available = false;
    std::vector<Schema::LogEntry> entries;
    /// Offset from which the next read goes on.
    std::int64_t nextOffset = 0;
    /// True when nothing more was there at the time of the read.
    bool atEnd = false;
    /// Above the offset asked for when retention has dropped records: they are gone for good.
    std::int64_t oldestOffset = 0;
};

struct LogClientSettings
{
    std::string url;
    std::int64_t appendTimeoutMs = 1000;
    std::int64_t longPollMs = 1000;
    std::int64_t retryMs = 200;
};

/// Talks to the log service on threads of its own. One attempt for each append: whether and when to
/// try again is its user's decision.
class LogClient
{
public:
    explicit LogClient(LogClientSettings settings);
    ~LogClient();
    LogClient(const LogClient &) = delete;
    LogClient &operator=(const LogClient &) = delete;

    /// Appends \a records in one request, in order. \a done runs on a thread of the client.
    void append(Stream stream, std::vector<Schema::LogRecord> records,
                std::function<void(AppendResult)> done);
    /// Reads \a stream from \a offset on, for as long as the client lives: each batch, and each
    /// change between available and not, goes to \a deliver on a thread of the client.
    void follow(Stream stream, std::int64_t offset, std::function<void(ReadResult)> deliver);
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace PlatformLog
