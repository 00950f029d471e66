#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Common/Metrics.h"
#include "Schema/Schema.h"

namespace PlatformLog {

/// Streams the system keeps in the log.
enum class Stream { Control, Journal, Config };
const char *streamName(Stream stream);

/// How an append ended. Unknown means that the service may have written the records: they are
/// appended again under the same record ids, and readers drop the repetition. After Refused and
/// Unavailable nothing was written.
enum class AppendStatus { Durable, Unknown, Refused, Unavailable };
const char *appendStatusName(AppendStatus status);

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
    /// How long an answer may take beyond the long poll.
    std::int64_t readTimeoutMs = 1000;
    /// Pause before the first repetition of a read that failed. It doubles up to eight times this,
    /// and is spread by half to either side: gateways that lost the service together would
    /// otherwise come back to it together.
    std::int64_t retryMs = 200;
    /// Counts appends by status and repeated reads by reason, where set. Must outlive the client.
    Common::Metrics *metrics = nullptr;
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

    /// Appends \a records in one request, in order. \a done runs on a thread of the client, or at
    /// once after stop().
    void append(Stream stream, const std::vector<Schema::LogRecord> &records,
                const std::function<void(AppendResult)> &done);
    /// Reads \a stream from \a offset on, for as long as the client lives. \a deliver gets every
    /// answer of the service on a thread of the client, also an empty one, which shows that the
    /// stream had no more at the time; and one result that is not available at the start of each
    /// time without answers. A record that can't be read as one of ours is skipped.
    void follow(Stream stream, std::int64_t offset, std::function<void(ReadResult)> deliver);
    /// Ends appends in flight as Unknown or Unavailable and waits for the threads. Nothing is
    /// delivered afterwards. Not to be called from \a done or \a deliver.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace PlatformLog
