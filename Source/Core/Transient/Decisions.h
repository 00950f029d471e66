#pragma once

#include <vector>

#include "Schema/Schema.h"
#include "Transient/Jobs.h"

namespace Transient {

/// Switches off the decisions listed in the settings, so that an operator can see the effect of
/// each.
void switchOff(GatewayState &state, const std::vector<Schema::GatewayDecision> &disabled);

} // namespace Transient
