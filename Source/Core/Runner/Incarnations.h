#pragma once

#include "Runner/RunnerState.h"

/// What changes when another process of the backend server takes the place of the present one.
namespace Runner {

/// Handles an observation that another incarnation has answered. Nothing is known of what it can
/// run until it has announced itself.
///
/// Failure: the agent took the labels of the previous incarnation for those of the next one, and
/// gateways were never told otherwise: jobs were started on a backend server without the label that
/// they require.
void detectIncarnation(RunnerState &state, Effects &effects, std::int64_t startedAtMs,
                       Common::Moment now);

/// Handles a new incarnation of the backend server, which has no knowledge of earlier runs, stops
/// and calls.
void beginIncarnation(RunnerState &state, Effects &effects, const PresentBackend &before,
                      Common::Moment now);

} // namespace Runner
