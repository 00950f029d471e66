#pragma once

#include <string>
#include <vector>

#include "Dispatch/ConfigStore.h"
#include "Dispatch/Journal.h"
#include "Dispatch/Ownership.h"

/// All that the gateways of a site agree on, through the log and their heartbeats: ownership,
/// journal and configuration, wired together.
namespace Dispatch {

struct SiteState
{
    OwnershipState ownership;
    JournalState journal;
    ConfigStore config;
    std::uint64_t nextBatch = 1;
};

SiteState makeSite(const Schema::GatewaySettings &settings, const Schema::Member &self,
                   Common::Moment now);

/// A delivery of one stream. Streams are read from offset 0 on.
Effects logRead(SiteState &site, LogStream stream, const LogRead &read, Common::Moment now);
/// How an AppendToLog of this site ended.
Effects appendDone(SiteState &site, LogStream stream, std::uint64_t batch, AppendStatus status,
                   Common::Moment now);
Effects siteTick(SiteState &site, Common::Moment now, Common::Random &random);
Effects pingHeard(SiteState &site, const Schema::PeerPing &ping, Common::Moment now);

} // namespace Dispatch
