#pragma once

#include <string>

#include "Common/Common.h"
#include "Schema/Schema.h"
#include "Transient/Jobs.h"

/// What a gateway has learned of run times and callers, so that another one can start with it.
///
/// Load pattern: all gateways lose their memory at once, and the callers' requests of the meantime
/// come together. Without memory every backend server counts as equally fast, and those that take
/// twice as long get as many tasks: in the first two seconds a quarter of the late jobs waited for
/// one of eleven backend servers.
namespace Transient {

Schema::LearnedTimes learnedTimes(const GatewayState &state, const std::string &gateway,
                                  Common::Moment now);

/// Takes over what this gateway doesn't know as well by itself. Of several records the first one
/// that tells of a thing counts: the newest has to come first.
void recallTimes(GatewayState &state, const Schema::LearnedTimes &learned);

/// The speed of an agent that has just announced itself, where it is remembered.
void recallSpeedOf(Fleet &fleet, AgentView &agent);

/// Between two records of a gateway. The record grows with the fleet, so that the pause does, too.
std::int64_t learnedPauseMs(const Fleet &fleet);

} // namespace Transient
