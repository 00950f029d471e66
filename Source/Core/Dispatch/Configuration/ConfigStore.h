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

/// The operators' configuration: compare-and-set by key, decided by log order, never going back.
/// One document is folded strictly from the log; the one in force is the newer of that and the
/// newest that a peer has shown, so that a gateway cut off from the log still learns.
namespace Dispatch {

struct ConfigSettings
{
    std::int64_t dedupWindowMs = 600000;
    std::int64_t retryMs = 200;
    /// An operator's change whose fate is not known after this long is answered so.
    std::int64_t changeTimeoutMs = 10000;
    std::int64_t snapshotRetryMs = 5000;
    /// A gap that nothing has closed for this long while the log was read to its end: nobody has
    /// the document any more, as after a site was down for longer than the log's retention.
    std::int64_t lostAfterMs = 30000;
    Safeguards safeguards;
};

enum class ChangeStatus {
    Accepted,
    /// An earlier change to the same key won the race.
    Conflict,
    /// The log has not shown it in time; it may yet take effect.
    Unknown
};

/// What became of a change proposed here.
struct ChangeResult
{
    std::string requestId;
    ChangeStatus status = ChangeStatus::Unknown;
    /// Configuration version after the change, where accepted.
    std::int64_t version = 0;
};

struct ProposedChange
{
    std::string requestId;
    Schema::LogRecord record;
    std::uint64_t batch = 0;
    bool inFlight = false;
    /// A durable record is not sent again, only waited for.
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
    /// The log dropped records that were never read here; only a snapshot or a peer helps.
    bool gap = false;
    /// The first offset the log still held when the gap was found, and the changes read since,
    /// which wait for a document to be put on.
    std::int64_t gapEnd = 0;
    std::vector<Schema::LogEntry> entriesAfterGap;
    std::int64_t gapSinceMs = 0;
    bool readToEnd = false;
    bool adopted = false;
    std::int64_t newestPeerVersion = 0;
    /// Time of the oldest record that a fresh reader needs; 0 while the stream is empty.
    std::int64_t oldestNeededWallMs = 0;
    std::int64_t snapshotSentMs = -1;
    std::vector<ProposedChange> proposed;
    std::vector<ChangeResult> results;
};

ConfigStore makeConfigStore(ConfigSettings settings, std::string self);

const Schema::Configuration &configuration(const ConfigStore &store);
/// True once this gateway has a document that neither the log nor a peer exceeds: before that a
/// fresh instance must not serve.
bool configurationReady(const ConfigStore &store);

/// Checks \a change and puts it forward. \a basedOn is the version its author saw. Fails with
/// config_invalid, or config_conflict where it is already known to be late. The verdict comes from
/// takeChangeResults().
Common::Outcome<void> proposeChange(ConfigStore &store, const std::string &requestId,
                                    const Schema::ConfigChange &change, std::int64_t basedOn,
                                    Common::Moment now, Common::Random &random);
std::vector<ChangeResult> takeChangeResults(ConfigStore &store);

/// \a writesSnapshots is true on one gateway of the site.
Effects configTick(ConfigStore &store, std::uint64_t &nextBatch, bool writesSnapshots,
                   Common::Moment now, Common::Random &random);
Effects handleConfigAppendResult(ConfigStore &store, std::uint64_t batch, AppendStatus status,
                                 Common::Moment now);
Effects handleConfigRead(ConfigStore &store, const LogRead &read, Common::Moment now);

/// A peer's document, taken over if newer. Returns whether it was.
bool adoptConfiguration(ConfigStore &store, const Schema::Configuration &from);
/// A peer holds \a version.
void updatePeerVersion(ConfigStore &store, std::int64_t version);

} // namespace Dispatch
