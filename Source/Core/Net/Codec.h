#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Outcome.h"
#include "Schema/Schema.h"

namespace Net {

/// Longest frame that is accepted: enough for a forwarded job whose body has the maximum length
/// that the settings allow.
constexpr std::size_t MaxFrameBytes = std::size_t{72} << 20U;

/// Encodes one frame as CBOR.
std::string encodeFrame(const Schema::Frame &frame);

/// Decodes a frame from another process. Fails with Reason::Malformed if \a bytes exceed
/// MaxFrameBytes, are not CBOR, or are not a frame with exactly the member that its type names.
Common::Outcome<Schema::Frame> decodeFrame(std::string_view bytes);

} // namespace Net
