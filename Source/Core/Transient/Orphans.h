#pragma once

#include "Transient/Jobs.h"

/// Jobs of which agents have tasks for other gateways that may be lost.
namespace Transient {

/// True if tasks of the job \a id that another gateway ordered may still run.
bool isOrphaned(const GatewayState &state, const std::string &id, Common::Moment now);

/// Handles parked submissions of ids of which no earlier tasks can run any more.
Effects admitReleased(GatewayState &state, Common::Moment now, Common::Random &random);

} // namespace Transient
