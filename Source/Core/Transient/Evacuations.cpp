#include "Transient/Evacuations.h"

#include <algorithm>
#include <utility>

namespace Transient {

namespace {

constexpr const char *InForceGauge = "auburntrail_evacuations_in_force";
constexpr const char *DelayHistogram = "auburntrail_evacuation_delay_seconds";
constexpr double MsPerSecond = 1000;
constexpr std::int64_t FirstReadPauseMs = 500;

std::optional<std::int64_t> ageMs(const Evacuation &evacuation, Common::Moment now)
{
    if (!evacuation.notBeforeMs) {
        return std::nullopt;
    }
    return now.steadyMs - *evacuation.notBeforeMs;
}

bool contains(const std::vector<Schema::DomainEvacuation> &evacuations,
              const std::string &failureDomain)
{
    return std::any_of(evacuations.begin(), evacuations.end(), [&](const auto &evacuation) {
        return evacuation.failureDomain == failureDomain;
    });
}

/// Adds the end of each known evacuation that is missing from the complete list.
void addEnded(Schema::EvacuationList &told, const Evacuations &known)
{
    std::vector<Schema::DomainEvacuation> ended;
    for (const auto &[failureDomain, evacuation] : known.domains) {
        if (evacuation.inForce && !contains(told.evacuations, failureDomain)) {
            ended.push_back({std::nullopt, failureDomain, false, *told.completeAsOf});
        }
    }
    Common::append(told.evacuations, ended);
}

} // namespace

std::vector<std::string> mergeEvacuations(Evacuations &known, Schema::EvacuationList told,
                                          Common::Moment now)
{
    if (told.completeAsOf) {
        addEnded(told, known);
        if (!known.completeAsOf) {
            // A process that knows that nothing is evacuated has to tell that, too.
            ++known.change;
        }
        known.completeAsOf = std::max(known.completeAsOf.value_or(0), *told.completeAsOf);
    }
    std::vector<std::string> changed;
    for (const Schema::DomainEvacuation &latest : told.evacuations) {
        Evacuation &evacuation = known.domains[latest.failureDomain];
        if (latest.version <= evacuation.version) {
            continue;
        }
        if (latest.inForce != evacuation.inForce) {
            changed.push_back(latest.failureDomain);
        }
        evacuation = {latest.version, latest.inForce, std::nullopt};
        if (latest.ageMs) {
            evacuation.notBeforeMs = now.steadyMs - *latest.ageMs;
        }
        ++known.change;
    }
    return changed;
}

std::vector<std::string> mergeEvacuations(Evacuations &known, const EvacuationRecords &records,
                                          Common::Moment now)
{
    Schema::EvacuationList read;
    read.evacuations = records.evacuations;
    for (Schema::DomainEvacuation &evacuation : read.evacuations) {
        // It was not among the records when they were last read.
        if (known.readMs) {
            evacuation.ageMs = now.steadyMs - *known.readMs;
        }
    }
    if (records.isComplete) {
        read.completeAsOf = records.version;
    } else if (known.completeAsOf) {
        known.completeAsOf = std::max(*known.completeAsOf, records.version);
    }
    return mergeEvacuations(known, std::move(read), now);
}

void confirmEvacuations(Evacuations &known, std::int64_t readMs)
{
    known.readMs = std::max(known.readMs.value_or(readMs), readMs);
}

void confirmEvacuations(Evacuations &known, const Schema::GatewayAnnouncement &announcement,
                        Common::Moment now)
{
    if (announcement.operatorsReadMsAgo) {
        confirmEvacuations(known, now.steadyMs - *announcement.operatorsReadMsAgo);
    }
}

bool isEvacuated(const Evacuations &known, const std::string &failureDomain)
{
    const auto found = known.domains.find(failureDomain);
    return found != known.domains.end() && found->second.inForce;
}

bool anyEvacuated(const Evacuations &known)
{
    return std::any_of(known.domains.begin(), known.domains.end(),
                       [](const auto &entry) { return entry.second.inForce; });
}

Schema::EvacuationList evacuationsToTell(const Evacuations &known, Common::Moment now)
{
    Schema::EvacuationList told;
    told.completeAsOf = known.completeAsOf;
    for (const auto &[failureDomain, evacuation] : known.domains) {
        told.evacuations.push_back(
                {ageMs(evacuation, now), failureDomain, evacuation.inForce, evacuation.version});
    }
    return told;
}

LogFields evacuationFields(const Evacuations &known, const std::string &failureDomain,
                           Common::Moment now)
{
    LogFields fields{{"failure_domain", failureDomain}};
    const auto found = known.domains.find(failureDomain);
    if (found != known.domains.end()) {
        fields.emplace_back("version", std::to_string(found->second.version));
        if (const auto age = ageMs(found->second, now)) {
            fields.emplace_back("age_ms", std::to_string(*age));
        }
    }
    return fields;
}

EvacuationNews evacuationNews(const Evacuations &known, const std::vector<std::string> &changed,
                              const std::string &source, Common::Moment now)
{
    EvacuationNews news;
    for (const std::string &failureDomain : changed) {
        const Evacuation &evacuation = known.domains.at(failureDomain);
        LogLine line{evacuation.inForce ? "evacuation_in_force" : "evacuation_ended",
                     evacuationFields(known, failureDomain, now)};
        line.fields.emplace_back("source", source);
        news.emplace_back(std::move(line));
        const auto age = ageMs(evacuation, now);
        if (evacuation.inForce && age) {
            news.emplace_back(
                    ObserveSeconds{DelayHistogram, static_cast<double>(*age) / MsPerSecond, {}});
        }
    }
    if (!changed.empty()) {
        const auto inForce = std::count_if(known.domains.begin(), known.domains.end(),
                                           [](const auto &entry) { return entry.second.inForce; });
        news.emplace_back(SetGauge{InForceGauge, static_cast<double>(inForce)});
    }
    return news;
}

OperatorsReading scheduleOperatorsReading(std::int64_t maxAgeMs, Common::Moment now)
{
    return {maxAgeMs, now.steadyMs + maxAgeMs / 2, 0};
}

bool takeOperatorsReadDue(OperatorsReading &reading, const Evacuations &known, Common::Moment now,
                          Common::Random &random)
{
    if (known.readMs && now.steadyMs <= *known.readMs + reading.maxAgeMs / 2) {
        reading.pauseMs = 0;
        return false;
    }
    if (now.steadyMs < reading.nextMs) {
        return false;
    }
    // With its jitter, the longest pause ends before the news is too old.
    const std::int64_t longestPauseMs = reading.maxAgeMs / 4;
    reading.pauseMs = Common::nextBackoffMs(
            reading.pauseMs, std::min(FirstReadPauseMs, longestPauseMs), longestPauseMs);
    reading.nextMs = now.steadyMs + Common::jitteredDelay(reading.pauseMs, random).count();
    return true;
}

} // namespace Transient
