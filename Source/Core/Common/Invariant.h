#pragma once

#include <string_view>

namespace Common {

/// Stops the process, with a log line, when \a condition is false. For promises that must never
/// break: a process that would start a task twice does less harm dead than running.
void invariant(bool condition, std::string_view description, std::string_view detail = {});

} // namespace Common
