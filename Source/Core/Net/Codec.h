#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Outcome.h"
#include "Schema/Schema.h"

namespace Net {

/// One frame as CBOR.
std::string encodeFrame(const Schema::Frame &frame);

/// Bytes from another process. Fails with Reason::Malformed where they are not CBOR, or not a frame
/// with exactly the member its type names.
Common::Outcome<Schema::Frame> decodeFrame(std::string_view bytes);

} // namespace Net
