#pragma once

#include <cstdint>
#include <vector>

#include "Dispatch/Configuration/ConfigStore.h"
#include "Dispatch/Ownership/Ownership.h"
#include "Dispatch/Persistence/Journal.h"

/// The state on which the gateways of a site agree through the log and their heartbeats: ownership,
/// journal and configuration. The functions here connect these three. Operations that concern only
/// one of them are called on it directly.
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

/// Processes records read from a stream. Streams are read from offset 0.
Effects handleSiteLogRead(SiteState &site, LogStream stream, const LogRead &read,
                          Common::Moment now);
/// Processes the result of an AppendToLog effect of this site.
Effects handleSiteAppendResult(SiteState &site, LogStream stream, std::uint64_t batch,
                               AppendStatus status, Common::Moment now);
Effects siteTick(SiteState &site, Common::Moment now, Common::Random &random);
Effects handlePing(SiteState &site, const Schema::PeerPing &ping, Common::Moment now);

/// Begins to serve a shard in ShardPhase::NeedsReports, after the agents' reports on it have been
/// processed.
void serveShard(SiteState &site, std::int64_t shard, Common::Moment now);
/// See acceptHandover(). The caller must add jobs that come with the shards to the journal if they
/// aren't in it.
HandoverResult takeHandover(SiteState &site, const Schema::Handover &handover, Common::Moment now);

/// What a new owner knows about a job that is not in its ledger.
enum class JobHistory {
    /// No earlier owner can have started it.
    NeverStarted,
    /// Its intent is in the journal: an earlier owner may have started some of its tasks.
    Journaled,
    /// An earlier owner may have started it without a durable intent.
    Unknown
};
JobHistory jobHistory(const SiteState &site, const std::string &job, std::int64_t firstSubmittedMs);
/// Whether the tasks of a job whose intent was added to the journal may be started now.
IntentState startAllowed(const SiteState &site, const std::string &job, Common::Moment now);

} // namespace Dispatch
