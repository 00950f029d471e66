#pragma once

#include "Common/Common.h"
#include "Runner/RunnerState.h"
#include "Schema/Schema.h"
#include "Transient/Transient.h"

namespace Runner {

/// Shared by the components of the agent's daemon. Modified only by the control thread, except for
/// the metrics, which any thread may update.
struct RunnerControl
{
    Schema::TransientAgentSettings settings;
    RunnerState state;
    Transient::Discovery discovery;
    Common::Metrics metrics;
    Common::Moment now;
};

} // namespace Runner
