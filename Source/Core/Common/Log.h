#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace Common {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line.
struct LogField
{
    LogField(std::string_view key, std::string_view value)
        : key(key)
        , value(value)
    {}
    LogField(std::string_view key, const char *value)
        : key(key)
        , value(value)
    {}
    template <typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
    LogField(std::string_view key, Number value)
        : key(key)
        , value(std::to_string(value))
    {}

    std::string key;
    std::string value;
};

/// Starts to write log lines to standard output, on a separate thread, so that code that logs never
/// waits for the reader of the log. Lines beyond a limit per second, or beyond a limit on queued
/// lines, are dropped; only the number of lines beyond the first limit is logged. \a process is
/// part of each line. An unknown \a levelName means "info".
void startLogging(std::string_view process, std::string_view levelName);

/// Writes the queued lines and stops logging. False if the reader of the log does not accept them
/// in time: the process should then exit without waiting for its threads.
bool stopLogging();

/// Writes one line: time, level, process, event and the fields, as key=value pairs. A value that is
/// empty or contains blanks, quotes, backslashes, '=' or control characters is quoted, and quotes,
/// backslashes and control characters are escaped, so that each event stays on one line. Of a long
/// value only the start is written, with "..." behind it.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
void logEvent(LogLevel level, std::string_view event,
              const std::vector<std::pair<std::string, std::string>> &fields);

} // namespace Common
