#pragma once

#include "Runner/RunnerState.h"

/// Announcements of the backend server: which incarnation is present, and whether it takes tasks.
namespace Runner {

/// Handles an announcement of the backend server. One that is late, by its incarnation or sequence,
/// is logged and ignored, except that its incarnation leaves if it says so.
Effects backendAnnounced(RunnerState &state, const Transient::BackendAnnouncement &announcement,
                         Common::Moment now);
/// Handles the backend server leaving for good: returns all queued tasks and accepts no new ones.
Effects backendLeft(RunnerState &state, const std::string &id, Common::Moment now);

/// Sets whether the present incarnation is leaving, from what was announced of it at any time.
void updateLeaving(RunnerState &state);

} // namespace Runner
