#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/Append.h"
#include "Schema/Schema.h"

/// Actions requested by decision code. Decision code does no input or output itself: it returns
/// effects, and the daemon's control thread, or a test in virtual time, executes them in order.
namespace Dispatch {

struct SendToGateway
{
    std::string instance;
    Schema::Frame frame;
};

struct SendToAgent
{
    std::string instance;
    Schema::Frame frame;
};

enum class LogStream { Control, Journal, Config };

/// Appends records to a stream, in order. The control and journal streams have one batch in flight
/// at a time. The result comes back with the same \a batch.
struct AppendToLog
{
    LogStream stream = LogStream::Control;
    std::uint64_t batch = 0;
    std::vector<Schema::LogRecord> records;
};

/// Answer to a request that reached this gateway from a caller or, forwarded, from another gateway.
struct AnswerRequest
{
    std::string requestId;
    Schema::JobAnswer answer;
};

/// Answer to an operator's change of the configuration.
struct AnswerConfigure
{
    std::string requestId;
    /// None if the change was accepted.
    Schema::Reason reason = Schema::Reason::None;
    std::string detail;
    std::int64_t version = 0;
};

struct AnswerQuery
{
    std::string requestId;
    Schema::QueryAnswer answer;
};

/// Increments a counter that is labelled with a reason.
struct CountReason
{
    std::string counter;
    Schema::Reason reason = Schema::Reason::None;
};

/// Writes a line to the log of this process.
struct LogLine
{
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using Effect = std::variant<SendToGateway, SendToAgent, AppendToLog, AnswerRequest, AnswerConfigure,
                            AnswerQuery, CountReason, LogLine>;
using Effects = std::vector<Effect>;

using Common::append;

} // namespace Dispatch
