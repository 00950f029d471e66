#pragma once

#include "Runner/RunnerState.h"

/// How long the lease of the runs at the backend server may last, by the calls that may have
/// granted it.
namespace Runner {

/// Records that the observation has renewed the lease, or may have, if it requested that. This
/// includes refused observations: only a refused start is known to have had no effect.
void recordRenewal(RunnerState &state, const PendingObservation &observation);

/// Time after which a granted lease has expired. The clock of the backend server may be slow by a
/// fiftieth; the margin is twice that.
std::int64_t lapseMs(const RunnerState &state);

/// Send time of the last call that may have granted a lease; a lease covers all runs. When the end
/// of leases was counted from the last answer instead, runs were given up that continued under a
/// start in transit or a renewal whose answer was lost, and their tasks ran twice at the same time.
std::int64_t latestLeaseGrantMs(const RunnerState &state);

/// Whether no observation has been answered for longer than \a ms.
bool isSilentFor(const RunnerState &state, std::int64_t ms, Common::Moment now);

} // namespace Runner
