#pragma once

#include <string>

#include "Runner/RunnerState.h"

/// What an agent does while its failure domain is evacuated: it starts nothing, whichever gateway
/// orders it, returns what waits, and lets runs end.
///
/// Failure: a gateway that has not heard of the evacuation keeps ordering tasks here. The agent
/// hears of it from its other gateways, and is the only process that starts anything at its backend
/// server.
namespace Runner {

/// Handles evacuations that a gateway has told of. \a source is its instance, for the log.
Effects evacuationsTold(RunnerState &state, const Schema::EvacuationList &told,
                        const std::string &source, Common::Moment now);
/// Handles the operators' records that the store has returned to a read sent at \a sentMs.
Effects evacuationsRead(RunnerState &state, const Transient::EvacuationRecords &records,
                        std::int64_t sentMs, Common::Moment now);

/// Whether the failure domain of this agent is evacuated.
bool isEvacuated(const RunnerState &state);

/// Returns the waiting tasks to their gateways, except those that have to stay with this agent: an
/// unanswered start of them may still take effect here, so they can't run elsewhere meanwhile. They
/// wait until that is over, or until the failure domain is taken back.
void returnEvacuatedTasks(RunnerState &state, Effects &effects, Common::Moment now);

} // namespace Runner
