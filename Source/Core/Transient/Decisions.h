#pragma once

#include <vector>

#include "Schema/Schema.h"
#include "Transient/Jobs.h"

namespace Transient {

/// Switches off what the settings name, so that an operator can see what each decision is worth.
void switchOff(GatewayState &state, const std::vector<Schema::GatewayDecision> &disabled);

} // namespace Transient
