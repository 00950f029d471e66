#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "GatewayApi.h"

namespace Tool {

using Row = std::vector<std::string>;

/// Columns padded to their widest entry; the first row is the heading.
std::string formatTable(const std::vector<Row> &rows);
/// A number with \a decimals digits after the point.
std::string formatNumber(double value, int decimals);
/// A string as it is, anything else as JSON.
std::string plainText(const nlohmann::json &value);

/// Prints a job's answer and gives the exit code that fits it.
ExitCode reportJob(const Context &context, const ApiAnswer &answer);
/// Prints why a call that is not about a job did not succeed.
ExitCode reportError(const ApiAnswer &answer);
void printJson(const nlohmann::json &value);

} // namespace Tool
