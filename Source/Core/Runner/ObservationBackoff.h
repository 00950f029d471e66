#pragma once

#include <cstdint>

#include "Common/Common.h"

/// Backoff of the observations of a backend server that resets connections.
///
/// Load pattern: a backend server resets every connection with a call on it for seconds. An
/// observation that failed was repeated at once, so that its agent opened a connection for each
/// round trip, some 250 a second.
namespace Runner {

struct ObservationBackoff
{
    /// Consecutive observations without an answer.
    int failures = 0;
    /// The next observation is not made before.
    std::int64_t notBeforeMs = 0;
};

void recordObservationAnswered(ObservationBackoff &backoff);
void recordObservationFailed(ObservationBackoff &backoff, Common::Moment now);

} // namespace Runner
