#pragma once

#include <string_view>

namespace Common {

/// Logs and aborts the process if \a condition is false. For invariants that must never be
/// violated: a process that would start a task twice does less harm if it stops than if it keeps
/// running.
void invariant(bool condition, std::string_view description, std::string_view detail = {});

} // namespace Common
