#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Outcome.h"
#include "Schema/Schema.h"

namespace Net {

/// Longest frame taken in: room for a forwarded job whose body has the greatest length that the
/// settings allow.
constexpr std::size_t MaxFrameBytes = std::size_t{72} << 20U;

/// One frame as CBOR.
std::string encodeFrame(const Schema::Frame &frame);

/// Bytes from another process. Fails with Reason::Malformed where they are not CBOR, or not a frame
/// with exactly the member its type names.
Common::Outcome<Schema::Frame> decodeFrame(std::string_view bytes);

} // namespace Net
