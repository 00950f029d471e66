#include "Common/Log.h"

#include <array>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <cstdio>
#include <future>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

#include "Common/NameTable.h"

namespace Common {

namespace {

constexpr NameTable<LogLevel, 4> LogLevelNames{{{LogLevel::Debug, "debug"},
                                                {LogLevel::Info, "info"},
                                                {LogLevel::Warning, "warning"},
                                                {LogLevel::Error, "error"}}};

/// Twice what a gateway writes at 150 jobs per second, with a line for each start and end of a run.
constexpr std::uint64_t MaxLinesPerSecond = 4000;
/// Most lines that wait for the writing thread: half a second at MaxLinesPerSecond. Further lines
/// are dropped.
constexpr std::size_t QueueLines = 2000;
constexpr std::chrono::milliseconds FlushTimeout{300};
/// Longest value of a field: callers choose paths and names, and QueueLines lines with long ones
/// would take much of a small machine's memory.
constexpr std::size_t MaxValueBytes = 512;

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::asynchronous_sink<
        Backend,
        boost::log::sinks::bounded_fifo_queue<QueueLines, boost::log::sinks::drop_on_overflow>>;

boost::shared_ptr<Sink> &sink()
{
    static boost::shared_ptr<Sink> instance;
    return instance;
}

using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

Logger &logger()
{
    static Logger instance;
    return instance;
}

std::string &processName()
{
    static std::string name = "-";
    return name;
}

bool needsQuotes(std::string_view value)
{
    for (const unsigned char letter : value) {
        if (letter <= ' ' || letter == '"' || letter == '=' || letter == '\\' || letter == 0x7f) {
            return true;
        }
    }
    return value.empty();
}

std::string quoteValue(std::string_view value)
{
    std::string text = "\"";
    for (const char letter : value) {
        if (letter == '"' || letter == '\\') {
            text += '\\';
            text += letter;
        } else if (static_cast<unsigned char>(letter) < ' ') {
            constexpr std::size_t EscapeLength = 7;
            std::array<char, EscapeLength> escape{};
            std::snprintf(escape.data(), escape.size(), "\\u%04x", static_cast<unsigned>(letter));
            text += escape.data();
        } else {
            text += letter;
        }
    }
    return text + '"';
}

std::string startLine(LogLevel level, std::string_view event)
{
    std::string line = "level=";
    line += nameOf(LogLevelNames, level);
    line += " process=" + processName() + " event=";
    line += event;
    return line;
}

void addField(std::string &line, const std::string &key, std::string_view value)
{
    const std::string_view shown = value.substr(0, MaxValueBytes);
    line += ' ' + key + '=';
    line += needsQuotes(shown) ? quoteValue(shown) : std::string(shown);
    line += shown.size() < value.size() ? "..." : "";
}

/// Allows MaxLinesPerSecond lines per second, and reports with the first line of a later second how
/// many were dropped. Failures come in bursts: a slow reader of the log must not block the process,
/// and writing a burst of lines must not use the processor time that serves callers.
class LineRateLimiter
{
public:
    struct Decision
    {
        bool isAllowed = true;
        std::uint64_t droppedBefore = 0;
    };

    Decision decide()
    {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                std::chrono::steady_clock::now().time_since_epoch());
        const std::lock_guard<std::mutex> lock(this->mutex);
        Decision decision;
        if (second != this->current) {
            this->current = second;
            this->lines = 0;
            decision.droppedBefore = std::exchange(this->dropped, 0);
        }
        decision.isAllowed = ++this->lines <= MaxLinesPerSecond;
        this->dropped += decision.isAllowed ? 0 : 1;
        return decision;
    }

private:
    std::mutex mutex;
    std::chrono::seconds current{0};
    std::uint64_t lines = 0;
    std::uint64_t dropped = 0;
};

void write(LogLevel level, const std::string &line)
{
    static LineRateLimiter limiter;
    const LineRateLimiter::Decision decision = limiter.decide();
    if (decision.droppedBefore > 0) {
        std::string droppedLine = startLine(LogLevel::Warning, "log_lines_dropped");
        addField(droppedLine, "lines", std::to_string(decision.droppedBefore));
        BOOST_LOG_SEV(logger(), LogLevel::Warning) << droppedLine;
    }
    if (decision.isAllowed) {
        BOOST_LOG_SEV(logger(), level) << line;
    }
}

} // namespace

void startLogging(std::string_view process, std::string_view levelName)
{
    namespace expressions = boost::log::expressions;
    processName() = process;
    boost::log::add_common_attributes();
    boost::log::core::get()->add_global_attribute("UtcTime", boost::log::attributes::utc_clock());
    const auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream *) {}));
    backend->auto_flush(true);
    sink() = boost::make_shared<Sink>(backend);
    sink()->set_formatter(expressions::stream
                          << "time="
                          << expressions::format_date_time<boost::posix_time::ptime>(
                                     "UtcTime", "%Y-%m-%dT%H:%M:%S.%fZ")
                          << " " << expressions::smessage);
    boost::log::core::get()->add_sink(sink());
    const LogLevel threshold = valueOf(LogLevelNames, levelName).value_or(LogLevel::Info);
    boost::log::core::get()->set_filter(expressions::attr<LogLevel>("Severity") >= threshold);
}

bool stopLogging()
{
    if (!sink()) {
        return true;
    }
    const boost::shared_ptr<Sink> stopped = std::exchange(sink(), nullptr);
    boost::log::core::get()->remove_sink(stopped);
    const auto written = std::make_shared<std::promise<void>>();
    std::thread([stopped, written] {
        stopped->stop();
        stopped->flush();
        written->set_value();
    }).detach();
    return written->get_future().wait_for(FlushTimeout) == std::future_status::ready;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = startLine(level, event);
    for (const LogField &field : fields) {
        addField(line, field.key, field.value);
    }
    write(level, line);
}

void logEvent(LogLevel level, std::string_view event,
              const std::vector<std::pair<std::string, std::string>> &fields)
{
    std::string line = startLine(level, event);
    for (const auto &[key, value] : fields) {
        addField(line, key, value);
    }
    write(level, line);
}

} // namespace Common
