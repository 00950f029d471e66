#pragma once

#include "Runner/RunnerState.h"

/// Sees what runs at the backend server, takes ends in and renews the lease, all in one call that
/// waits for an end.
///
/// Failure: an answer is lost, or comes seconds late, and no end is seen until the call is given
/// up. Therefore another one follows soon after the first should have come back, on a connection of
/// its own; ends are numbered, so that two answers with the same ends do no harm.
namespace Runner {

Effects observeIfDue(RunnerState &state, Common::Moment now);

/// The backend server has begun another life, which knows nothing of what ran, was stopped or asked
/// before.
void beginIncarnation(RunnerState &state, Effects &effects,
                      const Transient::BackendAnnouncement &before, Common::Moment now);

Effects observeAnswered(RunnerState &state, std::uint64_t observation,
                        const Transient::ObserveAnswer &answer, Common::Moment now);

} // namespace Runner
