#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "GatewayApi.h"

namespace Tool {

using Row = std::vector<std::string>;

/// Formats a table with columns padded to their widest entry. The first row is the heading.
std::string formatTable(const std::vector<Row> &rows);
/// Formats a number with \a decimals digits after the decimal point.
std::string formatNumber(double value, int decimals);
/// Returns a string as it is, and any other value as JSON.
std::string plainText(const nlohmann::json &value);

/// Prints a job's answer and returns the matching exit code.
ExitCode reportJob(const Context &context, const ApiAnswer &answer);
/// Prints why a call that does not concern a job failed, and returns the matching exit code.
ExitCode reportError(const ApiAnswer &answer);
void printJson(const nlohmann::json &value);

} // namespace Tool
