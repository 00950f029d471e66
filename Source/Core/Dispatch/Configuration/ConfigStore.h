#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Outcome.h"
#include "Dispatch/Configuration/ConfigRules.h"
#include "Dispatch/Effects.h"
#include "Dispatch/Ownership/Safeguards.h"
#include "Dispatch/Persistence/LogEvents.h"

/// The operators' configuration. Changes are compare-and-set operations by key, their order in the
/// log decides between them, and the version never decreases. One document is built only from the
/// log. The current one is the newer of that and the newest received from a peer, so that a gateway
/// without access to the log is still updated.
namespace Dispatch {

struct ConfigSettings
{
    std::int64_t dedupWindowMs = 600000;
    std::int64_t retryMs = 200;
    /// A change whose result is not known after this time is answered with ChangeStatus::Unknown.
    std::int64_t changeTimeoutMs = 10000;
    std::int64_t snapshotRetryMs = 5000;
    /// If a gap has not been closed for this long although the log was read to its end, no gateway
    /// has the document any more. This happens if the site was down for longer than the log's
    /// retention.
    std::int64_t lostAfterMs = 30000;
    Safeguards safeguards;
};

enum class ChangeStatus {
    Accepted,
    /// Rejected because another change to the same key came first in the log.
    Conflict,
    /// The record was not read back from the log in time; it may still take effect.
    Unknown
};

/// Result of a change that was proposed at this gateway.
struct ChangeResult
{
    std::string requestId;
    ChangeStatus status = ChangeStatus::Unknown;
    /// Configuration version after the decision; 0 if the status is Unknown.
    std::int64_t version = 0;
};

struct ProposedChange
{
    std::string requestId;
    Schema::LogRecord record;
    std::uint64_t batch = 0;
    bool inFlight = false;
    /// True once the record is durable: it is not sent again but only waited for in the log.
    bool durable = false;
    std::int64_t retryAtMs = 0;
    std::int64_t expiresAtMs = 0;
};

struct ConfigStore
{
    ConfigSettings settings;
    std::string self;
    Schema::Configuration fromLog;
    Schema::Configuration current;
    std::int64_t readOffset = 0;
    /// True if the log dropped records before they were read here. Only a snapshot or a peer's
    /// document can replace them; see also ConfigSettings::lostAfterMs.
    bool gap = false;
    /// The first offset that the log still had when the gap was found, and the changes read since,
    /// which are applied once a document without the gap is known.
    std::int64_t gapEnd = 0;
    std::vector<Schema::LogEntry> entriesAfterGap;
    std::int64_t gapSinceMs = 0;
    bool readToEnd = false;
    bool adopted = false;
    std::int64_t newestPeerVersion = 0;
    /// Wall-clock time of the oldest record that a new reader needs; 0 while the stream is empty.
    std::int64_t oldestNeededWallMs = 0;
    std::int64_t snapshotSentMs = -1;
    std::vector<ProposedChange> proposed;
    std::vector<ChangeResult> results;
};

ConfigStore makeConfigStore(ConfigSettings settings, std::string self);

const Schema::Configuration &configuration(const ConfigStore &store);
/// True once this gateway has a complete document, from the log or a peer, that is at least as new
/// as any that a peer has reported. A new instance must not serve before that.
bool configurationReady(const ConfigStore &store);

/// Checks \a change and queues it for the log. \a basedOn is the configuration version on which its
/// author based it. Fails with config_invalid, or with config_conflict if the key is already known
/// to have changed since. The result is returned by takeChangeResults().
Common::Outcome<void> proposeChange(ConfigStore &store, const std::string &requestId,
                                    const Schema::ConfigChange &change, std::int64_t basedOn,
                                    Common::Moment now, Common::Random &random);
std::vector<ChangeResult> takeChangeResults(ConfigStore &store);

/// Sends proposals to the log, expires them, and writes snapshots. \a writesSnapshots is true on
/// one gateway of the site.
Effects configTick(ConfigStore &store, std::uint64_t &nextBatch, bool writesSnapshots,
                   Common::Moment now, Common::Random &random);
Effects handleConfigAppendResult(ConfigStore &store, std::uint64_t batch, AppendStatus status,
                                 Common::Moment now);
Effects handleConfigRead(ConfigStore &store, const LogRead &read, Common::Moment now);

/// Adopts a peer's document if it is newer than the current one. Returns whether it was.
bool adoptConfiguration(ConfigStore &store, const Schema::Configuration &from);
/// Records that a peer has a document of \a version.
void updatePeerVersion(ConfigStore &store, std::int64_t version);

} // namespace Dispatch
