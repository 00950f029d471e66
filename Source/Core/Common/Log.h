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

/// Log lines go to standard output, by a thread of their own: whoever logs never waits for the
/// reader. Past a bound on the lines of a second, and on those that wait, lines are dropped; how
/// many were over the first is told. \a process is put on each line.
void startLogging(std::string_view process, std::string_view levelName);

/// Writes out what waits. False where the reader does not take it: the process should then end
/// without waiting for its threads.
bool stopLogging();

/// Writes one line: time, level, process, event and the fields, as key=value pairs. A value with
/// blanks, quotes or control characters is quoted and escaped, so that a line stays one line.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
void logEvent(LogLevel level, std::string_view event,
              const std::vector<std::pair<std::string, std::string>> &fields);

} // namespace Common
