#include "StandIn/FakeLogState.h"

#include <algorithm>

#include "StandIn/ControlJson.h"

namespace StandIn {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t RateWindowMs = 1000;

constexpr Common::NameTable<OutageMode, 2> OutageModeNames{
        {{OutageMode::Refuse, "refuse"}, {OutageMode::Hang, "hang"}}};
constexpr Common::NameTable<LostAnswer, 2> LostAnswerNames{
        {{LostAnswer::Error, "error"}, {LostAnswer::Hang, "hang"}}};

void dropExpired(FakeLogStream &stream, std::int64_t retentionMs, std::int64_t nowMs)
{
    while (!stream.entries.empty() && stream.entries.front().writtenMs + retentionMs < nowMs) {
        stream.entries.pop_front();
        ++stream.oldest;
    }
}

} // namespace

Json controlJson(const FakeLogControl &control)
{
    return {{"outage", control.outage},
            {"outageMode", Common::nameOf(OutageModeNames, control.outageMode)},
            {"delayMs", control.delayMs},
            {"loseAnswers", control.loseAnswers},
            {"lostAnswer", Common::nameOf(LostAnswerNames, control.lostAnswer)},
            {"appendsPerSecond", control.appendsPerSecond},
            {"retentionMs", control.retentionMs},
            {"syncMs", control.syncMs}};
}

Common::Outcome<FakeLogControl> changedControl(const FakeLogControl &control, const Json &change)
{
    BOOST_LEAF_AUTO(json, mergeControl(controlJson(control), change));
    const auto outageMode =
            Common::valueOf(OutageModeNames, json.at("outageMode").get<std::string>());
    const auto lostAnswer =
            Common::valueOf(LostAnswerNames, json.at("lostAnswer").get<std::string>());
    if (!outageMode || !lostAnswer) {
        return Common::failure(Schema::Reason::Malformed, "unknown outageMode or lostAnswer");
    }
    FakeLogControl changed;
    changed.outage = json.at("outage").get<bool>();
    changed.outageMode = *outageMode;
    changed.delayMs = json.at("delayMs").get<std::int64_t>();
    changed.loseAnswers = json.at("loseAnswers").get<double>();
    changed.lostAnswer = *lostAnswer;
    changed.appendsPerSecond = json.at("appendsPerSecond").get<std::int64_t>();
    changed.retentionMs = json.at("retentionMs").get<std::int64_t>();
    changed.syncMs = json.at("syncMs").get<std::int64_t>();
    return changed;
}

bool admitAppend(FakeLog &log, std::int64_t nowMs)
{
    while (!log.recentAppends.empty() && log.recentAppends.front() + RateWindowMs <= nowMs) {
        log.recentAppends.pop_front();
    }
    if (static_cast<std::int64_t>(log.recentAppends.size()) >= log.control.appendsPerSecond) {
        ++log.rateLimited;
        return false;
    }
    log.recentAppends.push_back(nowMs);
    return true;
}

std::int64_t commitTime(FakeLog &log, std::int64_t nowMs)
{
    log.lastCommitMs = std::max(log.lastCommitMs, nowMs + log.control.syncMs);
    return log.lastCommitMs;
}

std::int64_t commitAppend(FakeLog &log, const std::string &stream, std::vector<std::string> records,
                          std::int64_t nowMs)
{
    FakeLogStream &target = log.streams[stream];
    dropExpired(target, log.control.retentionMs, nowMs);
    const std::int64_t first = target.oldest + static_cast<std::int64_t>(target.entries.size());
    ++target.appends;
    for (std::string &record : records) {
        ++target.records;
        target.bytes += static_cast<std::int64_t>(record.size());
        target.entries.push_back({std::move(record), nowMs});
    }
    return first;
}

bool losesAnswer(FakeLog &log)
{
    std::uniform_real_distribution<double> share(0, 1);
    if (share(log.random) >= log.control.loseAnswers) {
        return false;
    }
    ++log.answersLost;
    return true;
}

FakeLogBatch readStream(FakeLog &log, const std::string &stream, std::int64_t from,
                        std::int64_t maximum, std::int64_t nowMs)
{
    FakeLogStream &source = log.streams[stream];
    dropExpired(source, log.control.retentionMs, nowMs);
    const std::int64_t end = source.oldest + static_cast<std::int64_t>(source.entries.size());
    FakeLogBatch batch;
    batch.oldest = source.oldest;
    batch.first = std::max(from, source.oldest);
    batch.next = batch.first;
    while (batch.next < end && batch.next - batch.first < maximum) {
        batch.records.push_back(
                source.entries[static_cast<std::size_t>(batch.next - source.oldest)].record);
        ++batch.next;
    }
    batch.atEnd = batch.next >= end;
    return batch;
}

std::string batchJson(const FakeLogBatch &batch)
{
    std::string text = "{\"entries\":[";
    std::int64_t offset = batch.first;
    for (const std::string &record : batch.records) {
        text += offset == batch.first ? "" : ",";
        text += "{\"offset\":" + std::to_string(offset) + ",\"record\":" + record + '}';
        ++offset;
    }
    text += "],\"next\":" + std::to_string(batch.next);
    text += ",\"oldest\":" + std::to_string(batch.oldest);
    text += std::string(",\"end\":") + (batch.atEnd ? "true" : "false") + '}';
    return text;
}

Json logStats(const FakeLog &log)
{
    Json streams = Json::object();
    for (const auto &[name, stream] : log.streams) {
        const auto kept = static_cast<std::int64_t>(stream.entries.size());
        streams[name] = {{"appends", stream.appends},
                         {"records", stream.records},
                         {"bytes", stream.bytes},
                         {"oldest", stream.oldest},
                         {"next", stream.oldest + kept}};
    }
    return {{"streams", std::move(streams)},
            {"rateLimited", log.rateLimited},
            {"answersLost", log.answersLost},
            {"control", controlJson(log.control)}};
}

} // namespace StandIn
