#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace Common {

/// Names and values in a text. The longest messages, jobs of 360 tasks and configurations of a
/// thousand routes, have some twenty thousand.
constexpr std::size_t MaxMessageValues = 50'000;

/// Parses a text that another program has written. The result is discarded (is_discarded()) if the
/// text is not JSON, has more than \a maxValues, is nested more deeply than any message, or
/// contains a number that neither a 64-bit integer nor a floating-point number represents exactly.
/// Each value takes many times its length in memory, copies of nested values recurse, and the
/// conversion of a number that does not fit is undefined behavior.
nlohmann::json parseBoundedJson(const std::string &text, std::size_t maxValues = MaxMessageValues);

} // namespace Common
