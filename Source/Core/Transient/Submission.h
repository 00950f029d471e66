#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Schema/Schema.h"
#include "Transient/Job.h"

namespace Transient {

/// A submission as it arrives.
struct Submission
{
    std::string token;
    Schema::JobQueue queue;
    JobRequest request;
    /// How long its caller waits, from its arrival on.
    std::int64_t remainingTimeoutMs = 0;
    /// On the steady clock; nothing if it arrives just now.
    std::optional<std::int64_t> arrivedMs;
};

} // namespace Transient
