#include "Common/Log.h"

#include <array>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <cstdio>
#include <iostream>
#include <mutex>

#include "Common/NameTable.h"

namespace Common {

namespace {

constexpr NameTable<LogLevel, 4> LogLevelNames{{{LogLevel::Debug, "debug"},
                                                {LogLevel::Info, "info"},
                                                {LogLevel::Warning, "warning"},
                                                {LogLevel::Error, "error"}}};

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

void addField(std::string &line, const std::string &key, const std::string &value)
{
    line += ' ' + key + '=';
    line += needsQuotes(value) ? quoteValue(value) : value;
}

} // namespace

void startLogging(std::string_view process, std::string_view levelName)
{
    namespace expressions = boost::log::expressions;
    processName() = process;
    boost::log::add_common_attributes();
    boost::log::core::get()->add_global_attribute("UtcTime", boost::log::attributes::utc_clock());
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::format =
                                        (expressions::stream
                                         << "time="
                                         << expressions::format_date_time<boost::posix_time::ptime>(
                                                    "UtcTime", "%Y-%m-%dT%H:%M:%S.%fZ")
                                         << " " << expressions::smessage),
                                boost::log::keywords::auto_flush = true);
    const LogLevel threshold = valueOf(LogLevelNames, levelName).value_or(LogLevel::Info);
    boost::log::core::get()->set_filter(expressions::attr<LogLevel>("Severity") >= threshold);
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = startLine(level, event);
    for (const LogField &field : fields) {
        addField(line, field.key, field.value);
    }
    BOOST_LOG_SEV(logger(), level) << line;
}

void logEvent(LogLevel level, std::string_view event,
              const std::vector<std::pair<std::string, std::string>> &fields)
{
    std::string line = startLine(level, event);
    for (const auto &[key, value] : fields) {
        addField(line, key, value);
    }
    BOOST_LOG_SEV(logger(), level) << line;
}

} // namespace Common
