#include "Dispatch/Configuration/ConfigStore.h"

#include <algorithm>
#include <utility>

#include "Dispatch/Configuration/ConfigRules.h"
#include "Dispatch/Persistence/LogRecords.h"

namespace Dispatch {

namespace {

void updateCurrent(ConfigStore &store, const Schema::Configuration &newer)
{
    if (newer.version > store.current.version) {
        store.current = newer;
    }
}

/// Reports the result of a proposal and removes it, so that only the first record with this id
/// counts. A repetition of an accepted record is rejected, because its key has changed since, and
/// must not change the result.
void resolveProposal(ConfigStore &store, const std::string &recordId, bool isAccepted)
{
    const auto found = std::find_if(
            store.proposed.begin(), store.proposed.end(),
            [&](const ProposedChange &proposal) { return proposal.record.id == recordId; });
    if (found == store.proposed.end()) {
        return;
    }
    ChangeResult result;
    result.requestId = found->requestId;
    result.status = isAccepted ? ChangeStatus::Accepted : ChangeStatus::Conflict;
    result.version = store.fromLog.version;
    store.results.push_back(std::move(result));
    store.proposed.erase(found);
}

bool isChangeAccepted(const ConfigStore &store, const Schema::LogRecord &record)
{
    if (!record.change || !configChangeError(*record.change).empty()) {
        return false;
    }
    const std::int64_t changedAt = keyVersion(store.fromLog, configKey(*record.change));
    return !store.settings.safeguards.conditionalRecords || changedAt <= record.basedOn.value_or(0);
}

void readChange(ConfigStore &store, const Schema::LogEntry &entry)
{
    const bool isAccepted = isChangeAccepted(store, entry.record);
    if (isAccepted) {
        applyConfigChange(store.fromLog, *entry.record.change, entry.offset + 1);
    }
    resolveProposal(store, entry.record.id, isAccepted);
    if (store.oldestNeededWallMs == 0) {
        store.oldestNeededWallMs = entry.record.wallMs;
    }
}

/// A snapshot closes a gap only if none of the records since the offset that it reflects was
/// dropped.
void readSnapshot(ConfigStore &store, const Schema::LogEntry &entry)
{
    store.oldestNeededWallMs = entry.record.wallMs;
    if (!store.gap || !entry.record.configuration
        || entry.record.basedOn.value_or(0) < store.gapEnd) {
        return;
    }
    // The document from the log lacks the dropped changes, so the snapshot replaces it. Changes
    // read since the gap that the snapshot doesn't reflect are applied to it.
    store.fromLog = *entry.record.configuration;
    store.gap = false;
    for (const Schema::LogEntry &held : store.entriesAfterGap) {
        if (held.offset >= *entry.record.basedOn) {
            readChange(store, held);
        }
    }
    store.entriesAfterGap.clear();
}

void readEntry(ConfigStore &store, const Schema::LogEntry &entry)
{
    if (entry.record.kind == Schema::RecordKind::ConfigSnapshot) {
        readSnapshot(store, entry);
        return;
    }
    if (entry.record.kind != Schema::RecordKind::Config) {
        return;
    }
    if (store.gap) {
        store.entriesAfterGap.push_back(entry);
        return;
    }
    readChange(store, entry);
}

/// A peer's document whose version has reached the end of the gap includes all dropped changes.
void closeGapFromPeers(ConfigStore &store)
{
    if (!store.gap || store.current.version < store.gapEnd) {
        return;
    }
    store.fromLog = store.current;
    store.gap = false;
    for (const Schema::LogEntry &held : std::exchange(store.entriesAfterGap, {})) {
        if (held.offset >= store.fromLog.version) {
            readChange(store, held);
        }
    }
    updateCurrent(store, store.fromLog);
}

/// Resumes without the dropped records if there is no current document and nothing has closed the
/// gap for lostAfterMs. Live gateways write a snapshot within seconds after the log is available
/// again. If there is none, no gateway has the document, and waiting longer would keep the site
/// down forever.
Effects resumeAfterLoss(ConfigStore &store, Common::Moment now)
{
    if (!store.gap || !store.readToEnd || store.current.version != 0
        || now.steadyMs - store.gapSinceMs < store.settings.lostAfterMs) {
        return {};
    }
    store.gap = false;
    for (const Schema::LogEntry &held : std::exchange(store.entriesAfterGap, {})) {
        readChange(store, held);
    }
    updateCurrent(store, store.fromLog);
    return {LogLine{"config_lost", {{"before", std::to_string(store.gapEnd)}}}};
}

Effects sendProposal(ProposedChange &proposal, std::uint64_t &nextBatch)
{
    proposal.batch = nextBatch++;
    proposal.inFlight = true;
    return {AppendToLog{LogStream::Config, proposal.batch, {proposal.record}}};
}

void expireProposals(ConfigStore &store, Common::Moment now)
{
    for (const ProposedChange &proposal : store.proposed) {
        if (now.steadyMs >= proposal.expiresAtMs) {
            store.results.push_back(ChangeResult{proposal.requestId, ChangeStatus::Unknown, 0});
        }
    }
    store.proposed.erase(std::remove_if(store.proposed.begin(), store.proposed.end(),
                                        [&](const ProposedChange &proposal) {
                                            return now.steadyMs >= proposal.expiresAtMs;
                                        }),
                         store.proposed.end());
}

Effects sendSnapshot(ConfigStore &store, std::uint64_t &nextBatch, Common::Moment now,
                     Common::Random &random)
{
    const std::int64_t period = store.settings.dedupWindowMs / 2;
    const bool isDue = store.oldestNeededWallMs != 0 && store.readToEnd && !store.gap
                       && now.wallMs - store.oldestNeededWallMs >= period;
    const bool wasSentRecently =
            store.snapshotSentMs >= 0
            && now.steadyMs - store.snapshotSentMs < store.settings.snapshotRetryMs;
    if (!isDue || wasSentRecently) {
        return {};
    }
    store.snapshotSentMs = now.steadyMs;
    Schema::LogRecord record =
            makeRecord(store.self, Schema::RecordKind::ConfigSnapshot, now, random);
    record.configuration = store.fromLog;
    record.basedOn = store.readOffset;
    return {AppendToLog{LogStream::Config, nextBatch++, {std::move(record)}}};
}

} // namespace

ConfigStore makeConfigStore(ConfigSettings settings, std::string self)
{
    ConfigStore store;
    store.settings = settings;
    store.self = std::move(self);
    return store;
}

const Schema::Configuration &configuration(const ConfigStore &store)
{
    return store.current;
}

bool configurationReady(const ConfigStore &store)
{
    const bool known = (store.readToEnd && !store.gap) || store.adopted;
    return known && store.current.version >= store.newestPeerVersion;
}

Common::Outcome<void> proposeChange(ConfigStore &store, const std::string &requestId,
                                    const Schema::ConfigChange &change, std::int64_t basedOn,
                                    Common::Moment now, Common::Random &random)
{
    std::string error = configChangeError(change);
    if (!error.empty()) {
        return Common::failure(Schema::Reason::ConfigInvalid, std::move(error));
    }
    // Checked before references, so that a change that lost a race is rejected with the conflict
    // and not with an error that the conflict caused.
    const std::int64_t changedAt = keyVersion(store.current, configKey(change));
    if (changedAt > basedOn) {
        return Common::failure(Schema::Reason::ConfigConflict, configKey(change)
                                                                       + " was changed at version "
                                                                       + std::to_string(changedAt));
    }
    error = configReferenceError(store.current, change);
    if (!error.empty()) {
        return Common::failure(Schema::Reason::ConfigInvalid, std::move(error));
    }
    ProposedChange proposal;
    proposal.requestId = requestId;
    proposal.record = makeRecord(store.self, Schema::RecordKind::Config, now, random);
    proposal.record.change = change;
    proposal.record.basedOn = basedOn;
    proposal.expiresAtMs = now.steadyMs + store.settings.changeTimeoutMs;
    store.proposed.push_back(std::move(proposal));
    return {};
}

std::vector<ChangeResult> takeChangeResults(ConfigStore &store)
{
    return std::exchange(store.results, {});
}

Effects configTick(ConfigStore &store, std::uint64_t &nextBatch, bool writesSnapshots,
                   Common::Moment now, Common::Random &random)
{
    Effects effects = resumeAfterLoss(store, now);
    expireProposals(store, now);
    for (ProposedChange &proposal : store.proposed) {
        if (!proposal.inFlight && !proposal.durable && now.steadyMs >= proposal.retryAtMs) {
            append(effects, sendProposal(proposal, nextBatch));
        }
    }
    if (writesSnapshots) {
        append(effects, sendSnapshot(store, nextBatch, now, random));
    }
    return effects;
}

Effects handleConfigAppendResult(ConfigStore &store, std::uint64_t batch, AppendStatus status,
                                 Common::Moment now)
{
    for (ProposedChange &proposal : store.proposed) {
        if (proposal.batch != batch || !proposal.inFlight) {
            continue;
        }
        proposal.inFlight = false;
        if (status == AppendStatus::Durable) {
            proposal.durable = true;
            return {};
        }
        proposal.retryAtMs = now.steadyMs + store.settings.retryMs;
        return {CountReason{"config_append_retries", Schema::Reason::LogUnavailable}};
    }
    return {};
}

Effects handleConfigRead(ConfigStore &store, const LogRead &read, Common::Moment now)
{
    Effects effects;
    if (read.oldestOffset > store.readOffset) {
        effects.push_back(LogLine{"config_gap", {{"to", std::to_string(read.oldestOffset)}}});
        store.gap = true;
        store.gapEnd = read.oldestOffset;
        store.gapSinceMs = now.steadyMs;
        store.entriesAfterGap.clear();
        closeGapFromPeers(store);
    }
    for (const Schema::LogEntry &entry : read.entries) {
        if (entry.offset >= store.readOffset) {
            readEntry(store, entry);
        }
    }
    store.readOffset = std::max(store.readOffset, read.nextOffset);
    store.readToEnd = store.readToEnd || read.atEnd;
    if (!store.gap) {
        updateCurrent(store, store.fromLog);
    }
    return effects;
}

bool adoptConfiguration(ConfigStore &store, const Schema::Configuration &from)
{
    updatePeerVersion(store, from.version);
    store.adopted = true;
    const bool newer = from.version > store.current.version;
    updateCurrent(store, from);
    closeGapFromPeers(store);
    return newer;
}

void updatePeerVersion(ConfigStore &store, std::int64_t version)
{
    store.newestPeerVersion = std::max(store.newestPeerVersion, version);
}

} // namespace Dispatch
