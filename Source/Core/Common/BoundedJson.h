#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace Common {

/// Parses a text that a client has sent. The result is discarded (is_discarded()) if the text is
/// not JSON, or is long and has more values than any message: each value takes many times its
/// length in memory.
nlohmann::json parseBoundedJson(const std::string &text);

} // namespace Common
