#pragma once

#include "Runner/RunnerState.h"

/// Which jobs have tasks here while their gateway may not live to settle them: their callers will
/// submit them again at other gateways, which must not start them beside what is left here.
namespace Runner {

/// Brings state.orphans up to date.
void updateOrphans(RunnerState &state, Effects &effects, Common::Moment now);

/// When a gateway that has tasks here becomes suspect next.
std::int64_t nextSuspectMs(const RunnerState &state, Common::Moment now);

} // namespace Runner
