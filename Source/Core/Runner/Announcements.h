#pragma once

#include "Runner/RunnerState.h"

/// Announcements of the backend server: which incarnation is present, and whether it takes tasks.
namespace Runner {

/// Handles an announcement of the backend server. One that is late, by its incarnation or sequence,
/// is logged and ignored, except that its incarnation leaves if it says so. One of another
/// incarnation takes effect when an observation has shown that the present one is gone.
///
/// Failure: another writer announces a backend server of its own, and the agent gives up the living
/// one, whose tasks run on while others run them again.
Effects backendAnnounced(RunnerState &state, const Transient::BackendAnnouncement &announcement,
                         Common::Moment now);
/// Handles the backend server leaving for good: returns all queued tasks and accepts no new ones.
Effects backendLeft(RunnerState &state, const std::string &id, Common::Moment now);

/// Handles an observation that the present incarnation has answered: the claim is refuted, unless
/// it came after the observation.
void refuteClaim(RunnerState &state, Effects &effects, std::int64_t sentMs);
/// Handles an observation that shows that the present incarnation is gone: the claimed one takes
/// its place.
void acceptClaim(RunnerState &state, Effects &effects, Common::Moment now);
/// Handles an observation that another incarnation has answered: if it is the claimed one, what
/// that has announced is known.
void matchClaim(RunnerState &state, Effects &effects);

/// Sets whether the present incarnation is leaving, from what was announced of it at any time.
void updateLeaving(RunnerState &state);

} // namespace Runner
