#pragma once

#include <cstdint>
#include <vector>

#include "Dispatch/Configuration/ConfigStore.h"
#include "Dispatch/Ownership/Ownership.h"
#include "Dispatch/Persistence/Journal.h"

/// All that the gateways of a site agree on, through the log and their heartbeats: ownership,
/// journal and configuration, wired together. What concerns one of them alone is asked of that one.
namespace Dispatch {

struct SiteState
{
    OwnershipState ownership;
    JournalState journal;
    ConfigStore config;
    std::uint64_t nextBatch = 1;
};

SiteState makeSite(const Schema::GatewaySettings &settings, const Schema::Member &self,
                   Common::Moment now, const Safeguards &safeguards = {});

/// A delivery of one stream. Streams are read from offset 0 on.
Effects handleSiteLogRead(SiteState &site, LogStream stream, const LogRead &read,
                          Common::Moment now);
/// How an AppendToLog of this site ended.
Effects handleSiteAppendResult(SiteState &site, LogStream stream, std::uint64_t batch,
                               AppendStatus status, Common::Moment now);
Effects siteTick(SiteState &site, Common::Moment now, Common::Random &random);
Effects handlePing(SiteState &site, const Schema::PeerPing &ping, Common::Moment now);

/// The agents' reports on a shard in ShardPhase::NeedsReports are in.
void serveShard(SiteState &site, std::int64_t shard, Common::Moment now);
/// See acceptHandover(). Jobs that come with the shards and aren't in the journal are to be added
/// to it.
HandoverResult takeHandover(SiteState &site, const Schema::Handover &handover, Common::Moment now);

/// What a new owner knows of a job that it has no other trace of.
enum class JobHistory {
    /// No earlier owner can have started it.
    NeverStarted,
    /// Its intent is in the journal: some of its tasks may have been started.
    Journaled,
    /// An earlier owner may have started it without a durable intent.
    Unknown
};
JobHistory jobHistory(const SiteState &site, const std::string &job, std::int64_t firstSubmittedMs);
/// Whether tasks of the job, whose intent was added to the journal, may be started now.
IntentState startAllowed(const SiteState &site, const std::string &job, Common::Moment now);

} // namespace Dispatch
