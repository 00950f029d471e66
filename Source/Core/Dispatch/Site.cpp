#include "Dispatch/Site.h"

#include <algorithm>
#include <variant>

namespace Dispatch {

namespace {

OwnershipSettings ownershipSettings(const Schema::GatewaySettings &settings,
                                    const Safeguards &safeguards)
{
    OwnershipSettings own;
    own.shardCount = settings.shardCount;
    own.heartbeatMs = settings.heartbeatMs;
    own.peerSilenceMs = settings.peerSilenceMs;
    own.leaseMs = settings.leaseMs;
    own.dedupWindowMs = settings.dedupWindowMs;
    own.safeguards = safeguards;
    return own;
}

/// Appends one marker to the journal for all newly fenced shards. Earlier owners can't add relevant
/// records after it, so reading the journal up to the marker is enough.
void appendFencedShardsMarker(SiteState &site, Common::Moment now, Common::Random &random)
{
    std::vector<Schema::ShardOwner> shards;
    std::vector<Schema::UnloggedWindow> windows;
    std::vector<ShardRole *> roles;
    for (const std::int64_t shard : shardsIn(site.ownership, ShardPhase::NeedsJournal)) {
        ShardRole &role = site.ownership.roles[static_cast<std::size_t>(shard)];
        if (!role.journalMarkerId.empty()) {
            continue;
        }
        Schema::ShardOwner owner;
        owner.shard = shard;
        owner.owner = site.ownership.self.instance;
        owner.epoch = role.epoch;
        shards.push_back(std::move(owner));
        windows.insert(windows.end(), role.windows.begin(), role.windows.end());
        roles.push_back(&role);
    }
    if (shards.empty()) {
        return;
    }
    const std::string marker = appendShardsTakenMarker(site.journal, std::move(shards),
                                                       std::move(windows), now, random);
    for (ShardRole *role : roles) {
        role->journalMarkerId = marker;
    }
}

void handleReadMarkers(SiteState &site, Common::Moment now)
{
    for (const std::string &marker : takeReadMarkers(site.journal)) {
        for (const std::int64_t shard : shardsIn(site.ownership, ShardPhase::NeedsJournal)) {
            if (site.ownership.roles[static_cast<std::size_t>(shard)].journalMarkerId == marker) {
                shardJournalRead(site.ownership, shard, site.journal.windows, now);
            }
        }
    }
}

/// Passes the journal's declaration of unlogged starts to the heartbeats, and the majority's
/// acknowledgement back to the journal, which then allows unlogged starts.
void updateDeclarations(SiteState &site)
{
    setDeclaration(site.ownership, site.journal.unloggedSinceMs);
    if (site.journal.unloggedSinceMs != 0
        && declarationAcknowledged(site.ownership, site.journal.unloggedSinceMs)) {
        site.journal.acknowledgedSinceMs = site.journal.unloggedSinceMs;
    }
}

void addConfigurationToPings(SiteState &site, Effects &effects)
{
    for (Effect &effect : effects) {
        auto *send = std::get_if<SendToGateway>(&effect);
        if (send == nullptr || !send->frame.peerPing) {
            continue;
        }
        const auto peer = site.ownership.peers.find(send->instance);
        const bool isBehind = peer != site.ownership.peers.end() && peer->second.pingReceived
                              && peer->second.configVersion < site.config.current.version;
        if (isBehind) {
            send->frame.peerPing->configuration = site.config.current;
        }
    }
}

} // namespace

SiteState makeSite(const Schema::GatewaySettings &settings, const Schema::Member &self,
                   Common::Moment now, const Safeguards &safeguards)
{
    JournalSettings journal;
    journal.batchMs = settings.journalBatchMs;
    journal.unloggedAfterMs = settings.unloggedAfterMs;
    journal.dedupWindowMs = settings.dedupWindowMs;
    ConfigSettings config;
    config.dedupWindowMs = settings.dedupWindowMs;
    config.safeguards = safeguards;
    SiteState site;
    site.ownership = makeOwnership(ownershipSettings(settings, safeguards), self, now);
    site.journal = makeJournal(journal, self.instance);
    site.config = makeConfigStore(config, self.instance);
    return site;
}

Effects handleSiteLogRead(SiteState &site, LogStream stream, const LogRead &read,
                          Common::Moment now)
{
    switch (stream) {
    case LogStream::Control:
        return handleControlRead(site.ownership, read, now);
    case LogStream::Journal: {
        Effects effects = handleJournalRead(site.journal, read, now);
        site.ownership.journalOffset = site.journal.readOffset;
        handleReadMarkers(site, now);
        return effects;
    }
    case LogStream::Config:
        return handleConfigRead(site.config, read, now);
    }
    return {};
}

Effects handleSiteAppendResult(SiteState &site, LogStream stream, std::uint64_t batch,
                               AppendStatus status, Common::Moment now)
{
    switch (stream) {
    case LogStream::Control:
        return handleControlAppendResult(site.ownership, batch, status, now);
    case LogStream::Journal:
        return handleJournalAppendResult(site.journal, batch, status, now);
    case LogStream::Config:
        return handleConfigAppendResult(site.config, batch, status, now);
    }
    return {};
}

Effects siteTick(SiteState &site, Common::Moment now, Common::Random &random)
{
    Effects effects = journalTick(site.journal, site.nextBatch, now, random);
    updateDeclarations(site);
    site.ownership.configVersion = site.config.current.version;
    append(effects, ownershipTick(site.ownership, site.nextBatch, now, random));
    appendFencedShardsMarker(site, now, random);
    append(effects,
           configTick(site.config, site.nextBatch, isFirstLive(site.ownership, now), now, random));
    addConfigurationToPings(site, effects);
    return effects;
}

Effects handlePing(SiteState &site, const Schema::PeerPing &ping, Common::Moment now)
{
    site.ownership.configVersion = site.config.current.version;
    setDeclaration(site.ownership, site.journal.unloggedSinceMs);
    Effects effects = handlePeerPing(site.ownership, ping, now);
    updateDeclarations(site);
    updatePeerVersion(site.config, ping.configVersion);
    const auto peer = site.ownership.peers.find(ping.instance);
    if (peer != site.ownership.peers.end()) {
        peer->second.configVersion = ping.configVersion;
    }
    if (ping.configuration) {
        adoptConfiguration(site.config, *ping.configuration);
    }
    addConfigurationToPings(site, effects);
    return effects;
}

void serveShard(SiteState &site, std::int64_t shard, Common::Moment now)
{
    markShardServing(site.ownership, shard, now);
    redeclare(site.journal);
}

HandoverResult takeHandover(SiteState &site, const Schema::Handover &handover, Common::Moment now)
{
    site.ownership.journalOffset = site.journal.readOffset;
    HandoverResult taken = acceptHandover(site.ownership, handover, now);
    if (!taken.shards.empty()) {
        redeclare(site.journal);
    }
    return taken;
}

JobHistory jobHistory(const SiteState &site, const std::string &job, std::int64_t firstSubmittedMs)
{
    if (findIntent(site.journal, job)) {
        return JobHistory::Journaled;
    }
    const std::int64_t shard = shardOf(site.ownership, job);
    return mayHaveStartedUnlogged(site.ownership, shard, firstSubmittedMs)
                   ? JobHistory::Unknown
                   : JobHistory::NeverStarted;
}

IntentState startAllowed(const SiteState &site, const std::string &job, Common::Moment now)
{
    if (!mayStart(site.ownership, shardOf(site.ownership, job), now)) {
        return IntentState::Waiting;
    }
    return intentState(site.journal, job);
}

} // namespace Dispatch
