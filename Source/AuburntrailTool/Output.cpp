#include "Output.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>

namespace Tool {

namespace {

using Json = nlohmann::json;

constexpr std::size_t ColumnGap = 2;

std::string member(const Json &body, const char *name)
{
    return body.is_object() && body.contains(name) ? plainText(body.at(name)) : std::string();
}

void printMember(const Json &body, const char *name)
{
    const std::string text = member(body, name);
    if (!text.empty()) {
        std::cout << name << ": " << text << '\n';
    }
}

void printJob(const Json &body)
{
    for (const char *name : {"id", "outcome", "reason", "detail", "notRun", "taskCount",
                             "tasksStarted", "tasksEnded", "retryAfterMs"}) {
        printMember(body, name);
    }
    if (!body.contains("results")) {
        return;
    }
    std::size_t index = 0;
    for (const Json &result : body.at("results")) {
        std::cout << "result " << index++ << ": " << plainText(result) << '\n';
    }
}

ExitCode exitCodeOf(const Json &body)
{
    const std::string outcome = member(body, "outcome");
    if (outcome == "completed" || outcome == "pending") {
        return ExitCode::Done;
    }
    if (outcome == "unknown") {
        return ExitCode::Unknown;
    }
    return outcome == "refused" || member(body, "notRun") == "true" ? ExitCode::Refused
                                                                    : ExitCode::Failed;
}

ExitCode reportTransport(const ApiAnswer &answer, ExitCode afterReaching)
{
    std::cerr << (answer.isReached ? "no answer, the gateway may have executed the call: "
                                   : "no gateway could be reached: ")
              << answer.error << '\n';
    return answer.isReached ? afterReaching : ExitCode::Unreachable;
}

} // namespace

std::string formatTable(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const Row &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            if (column + 1 < row.size()) {
                line.append(widths[column] - row[column].size() + ColumnGap, ' ');
            }
        }
        text += line + '\n';
    }
    return text;
}

std::string formatNumber(double value, int decimals)
{
    constexpr std::size_t MaxLength = 64;
    std::array<char, MaxLength> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.*f", decimals, value);
    return buffer.data();
}

std::string plainText(const Json &value)
{
    return value.is_string() ? value.get<std::string>()
                             : value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void printJson(const Json &value)
{
    std::cout << value.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
}

ExitCode reportJob(const Context &context, const ApiAnswer &answer)
{
    if (!answer.isAnswered) {
        return reportTransport(answer, ExitCode::Unknown);
    }
    if (context.isJson || !answer.body.is_object()) {
        printJson(answer.body);
    } else {
        printJob(answer.body);
    }
    return exitCodeOf(answer.body);
}

ExitCode reportError(const ApiAnswer &answer)
{
    constexpr int ConflictStatus = 409;
    if (!answer.isAnswered) {
        return reportTransport(answer, ExitCode::Unknown);
    }
    std::cerr << "status " << answer.status << ": " << member(answer.body, "reason") << ' '
              << member(answer.body, "detail") << '\n';
    return answer.status == ConflictStatus ? ExitCode::Conflict : ExitCode::Refused;
}

} // namespace Tool
