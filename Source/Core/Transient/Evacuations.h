#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Common/Common.h"
#include "Schema/Schema.h"
#include "Transient/Effects.h"

/// Failure domains that operators have evacuated: no backend server there gets new work until the
/// domain is taken back, and what runs there may end.
///
/// Gateways read the operators' records from the store, tell each other and the agents, and place
/// nothing in such a domain. An agent there starts nothing, whoever orders it. Versions are
/// positions in the store's records, so that no process returns to an earlier state, whatever order
/// it hears of them in.
namespace Transient {

struct Evacuation
{
    /// Position in the operators' records up to which this holds.
    std::int64_t version = 0;
    bool inForce = false;
    /// On the steady clock: the request was acknowledged at this time or later. Nothing if it may
    /// be of any age.
    std::optional<std::int64_t> notBeforeMs;
};

struct Evacuations
{
    /// By failure domain. Contains ended ones, too, so that late news of an evacuation has no
    /// effect.
    std::map<std::string, Evacuation> domains;
    /// Position in the operators' records at which all evacuations in force are known, unless they
    /// have ended since. Nothing before the first read.
    std::optional<std::int64_t> completeAsOf;
    /// Incremented with each update.
    std::uint64_t change = 0;
    /// On the steady clock: these were the present ones at this time. Nothing before the first
    /// read.
    std::optional<std::int64_t> readMs;
};

/// Takes over the states of \a told that are newer than the known ones. Returns the failure domains
/// that are evacuated or taken back by that.
///
/// Evacuations that are missing from a complete list have ended, even if nobody has a record of
/// their end any more: it may have been dropped from the store's history, and the processes that
/// had read it may have restarted since.
std::vector<std::string> mergeEvacuations(Evacuations &known, Schema::EvacuationList told,
                                          Common::Moment now);

/// What the store has returned to a read of the operators' records.
struct EvacuationRecords
{
    std::vector<Schema::DomainEvacuation> evacuations;
    /// Position after the last record.
    std::int64_t version = 0;
    /// These are the newest records of all keys; otherwise all since the last read.
    bool isComplete = false;
};

/// The same for what the store has returned.
std::vector<std::string> mergeEvacuations(Evacuations &known, const EvacuationRecords &records,
                                          Common::Moment now);

/// The known evacuations were the present ones at \a readMs.
void confirmEvacuations(Evacuations &known, std::int64_t readMs);
/// The same, as of when the gateway that has announced itself last read the operators' records.
void confirmEvacuations(Evacuations &known, const Schema::GatewayAnnouncement &announcement,
                        Common::Moment now);

bool isEvacuated(const Evacuations &known, const std::string &failureDomain);
bool anyEvacuated(const Evacuations &known);

/// All known evacuations as messages contain them.
Schema::EvacuationList evacuationsToTell(const Evacuations &known, Common::Moment now);

using LogFields = std::vector<std::pair<std::string, std::string>>;
/// Names the evacuation of the failure domain, its version and its age.
LogFields evacuationFields(const Evacuations &known, const std::string &failureDomain,
                           Common::Moment now);

using EvacuationNews = std::vector<std::variant<LogLine, ObserveSeconds, SetGauge>>;
/// Log lines and metrics of \a changed failure domains. \a source is where the news comes from.
EvacuationNews evacuationNews(const Evacuations &known, const std::vector<std::string> &changed,
                              const std::string &source, Common::Moment now);

template <typename Effect>
void appendNews(std::vector<Effect> &effects, const EvacuationNews &news)
{
    for (const auto &one : news) {
        std::visit([&effects](const auto &effect) { effects.emplace_back(effect); }, one);
    }
}

/// When a process reads the operators' records that otherwise hears of them from gateways.
///
/// Failure: the gateways that an agent is connected to are cut off from the store and from all
/// gateways that read it. They keep ordering tasks in a failure domain that has been evacuated.
/// Their news is then older than \a maxAgeMs allows, and the agent reads the records itself.
struct OperatorsReading
{
    /// How long the news may take from the store to the agent.
    std::int64_t maxAgeMs = 5000;
    std::int64_t nextMs = 0;
    std::int64_t pauseMs = 0;
};

OperatorsReading scheduleOperatorsReading(std::int64_t maxAgeMs, Common::Moment now);

/// Returns true if the records have to be read now, and schedules the next attempt.
bool takeOperatorsReadDue(OperatorsReading &reading, const Evacuations &known, Common::Moment now,
                          Common::Random &random);

} // namespace Transient
