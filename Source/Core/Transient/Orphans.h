#pragma once

#include "Transient/Jobs.h"

/// Jobs that agents hold for gateways which may be gone.
namespace Transient {

/// Something of the job \a id may run that another gateway had ordered.
bool isOrphaned(const GatewayState &state, const std::string &id, Common::Moment now);

/// What agents have told this gateway, for other gateways: one that has just started, or that an
/// agent cannot reach, hears of it no other way.
std::vector<Schema::OrphanedJob> orphansToRelay(const GatewayState &state, Common::Moment now);

/// \a gateway has told all that it knows.
void orphansRelayed(GatewayState &state, const std::string &gateway,
                    const std::vector<Schema::OrphanedJob> &orphans, Common::Moment now);

/// Lets submissions in that waited for their former gateway's tasks to be over.
Effects admitReleased(GatewayState &state, Common::Moment now, Common::Random &random);

} // namespace Transient
