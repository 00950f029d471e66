#pragma once

#include "Transient/Jobs.h"

/// Jobs of which agents have tasks for other gateways that may be lost.
namespace Transient {

/// True if tasks of the job \a id that another gateway ordered may still run.
bool isOrphaned(const GatewayState &state, const std::string &id, Common::Moment now);

/// Orphaned jobs that agents have reported here, to be relayed to other gateways: one that has just
/// started, or that an agent cannot reach, learns of them in no other way.
std::vector<Schema::OrphanedJob> orphansToRelay(const GatewayState &state, Common::Moment now);

/// Takes over the complete list of orphaned jobs that \a gateway has relayed, in place of its last.
void updateRelayedOrphans(GatewayState &state, const std::string &gateway,
                          const std::vector<Schema::OrphanedJob> &orphans, Common::Moment now);

/// Handles parked submissions of ids of which no earlier tasks can run any more.
Effects admitReleased(GatewayState &state, Common::Moment now, Common::Random &random);

} // namespace Transient
