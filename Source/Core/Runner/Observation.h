#pragma once

#include "Runner/RunnerState.h"

/// Observes the runs at the backend server, processes the ends of runs and renews the lease, all in
/// one call that waits for an end.
///
/// Failure: an answer is lost or seconds late, and no end is seen until the call times out.
/// Therefore another call on a separate connection follows soon after the first should have
/// returned. Ends are numbered, so that two answers with the same ends do no harm.
namespace Runner {

/// A run counts as lost when it is missing from this many consecutive observations that were sent
/// after its start was answered.
constexpr int MissedUntilLost = 2;

/// Sends the next observation if one is needed and due.
Effects observeIfDue(RunnerState &state, Common::Moment now);

/// Whether the backend server lists a run of the task that matches no started run here.
bool hasStray(const RunnerState &state, const std::string &task);

Effects observeAnswered(RunnerState &state, std::uint64_t observation,
                        const Transient::ObserveAnswer &answer, Common::Moment now);

} // namespace Runner
