#include "Bench/BenchReport.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

#include "Output.h"

namespace Tool {

namespace {

using Json = nlohmann::json;

constexpr double MsPerSecond = 1000;
constexpr int RatioDecimals = 3;
constexpr int MsDecimals = 1;

Json quantilesJson(const std::vector<double> &values)
{
    const Quantiles quantiles = quantilesOf(values);
    return {{"count", values.size()},
            {"p50", quantiles.p50},
            {"p90", quantiles.p90},
            {"p99", quantiles.p99},
            {"max", quantiles.max}};
}

/// Answers that the callers of a set of jobs received.
struct Tally
{
    std::vector<double> ratios;
    std::vector<double> addedMs;
    std::vector<double> responseMs;
    std::map<std::string, int> outcomes;
    std::map<std::string, int> reasons;
    double offeredWorkMs = 0;
    int wrong = 0;
    double maxLateMs = 0;
};

double workOf(const PlannedJob &job)
{
    return std::accumulate(job.runMs.begin(), job.runMs.end(), 0.0);
}

void addJob(Tally &tally, const PlannedJob &job, const JobRecord &record)
{
    ++tally.outcomes[record.outcome];
    tally.offeredWorkMs += workOf(job);
    tally.maxLateMs = std::max(tally.maxLateMs, record.lateMs);
    tally.wrong += record.isWrong ? 1 : 0;
    if (record.outcome != "completed") {
        ++tally.reasons[record.reason.empty() ? record.outcome : record.reason];
        return;
    }
    tally.ratios.push_back(record.responseMs / job.idealMs);
    tally.addedMs.push_back(record.responseMs - job.idealMs);
    tally.responseMs.push_back(record.responseMs);
}

Json tallyJson(const Tally &tally)
{
    return {{"ratio", quantilesJson(tally.ratios)},
            {"addedMs", quantilesJson(tally.addedMs)},
            {"responseMs", quantilesJson(tally.responseMs)},
            {"outcomes", tally.outcomes},
            {"notCompletedByReason", tally.reasons},
            {"wrongAnswers", tally.wrong}};
}

Tally tallyOf(const BenchResult &result, const std::function<bool(const PlannedJob &)> &isCounted)
{
    Tally tally;
    for (std::size_t number = 0; number < result.jobs.size(); ++number) {
        const PlannedJob &job = result.jobs[number];
        if (job.atMs >= result.file.warmupSeconds * MsPerSecond && isCounted(job)) {
            addJob(tally, job, result.records[number]);
        }
    }
    return tally;
}

/// Work of the jobs that were answered as completed between the warm-up and the end of the run,
/// divided by the site's capacity in that time. Jobs are counted by the time of their answer: a
/// backlog that is processed after the last arrival would otherwise count as goodput of the run,
/// which could then exceed the site's capacity.
Json goodputJson(const BenchResult &result, const Tally &tally)
{
    const double startMs = result.file.warmupSeconds * MsPerSecond;
    const double endMs = result.file.seconds * MsPerSecond;
    double completedMs = 0;
    for (std::size_t number = 0; number < result.jobs.size(); ++number) {
        const JobRecord &record = result.records[number];
        const double answeredMs = result.jobs[number].atMs + record.responseMs;
        if (record.outcome == "completed" && answeredMs >= startMs && answeredMs < endMs) {
            completedMs += workOf(result.jobs[number]);
        }
    }
    const double capacityMs =
            capacityMsPerSecond(result.file.backends) * (endMs - startMs) / MsPerSecond;
    return {{"ofCapacity", completedMs / capacityMs},
            {"offeredOfCapacity", tally.offeredWorkMs / capacityMs}};
}

Json startsJson(const BenchResult &result)
{
    std::int64_t starts = 0;
    std::int64_t doubles = 0;
    for (const Json &stats : result.backendsAfter) {
        starts += stats.value("starts", std::int64_t{0});
        doubles += static_cast<std::int64_t>(stats.value("doubles", Json::array()).size());
    }
    for (const Json &stats : result.backendsBefore) {
        starts -= stats.value("starts", std::int64_t{0});
    }
    std::size_t tasks = 0;
    for (const PlannedJob &job : result.jobs) {
        tasks += job.runMs.size();
    }
    return {{"tasksSubmitted", tasks}, {"starts", starts}, {"startedTwice", doubles}};
}

Json processJson(const ScrapedProcess &before, const ScrapedProcess &after, double starts)
{
    const Samples grown = difference(before.samples, after.samples);
    const double cpuSeconds = sumOf(grown, "process_cpu_seconds_total");
    const double bytes = sumOf(grown, "auburntrail_peer_bytes_sent")
                         + sumOf(grown, "auburntrail_peer_bytes_received")
                         + sumOf(grown, "auburntrail_agent_bytes_sent")
                         + sumOf(grown, "auburntrail_agent_bytes_received");
    const double frames = sumOf(grown, "auburntrail_peer_frames_sent")
                          + sumOf(grown, "auburntrail_agent_frames_sent");
    const double each = starts > 0 ? starts : 1;
    return {{"address", after.address},
            {"cpuSeconds", cpuSeconds},
            {"cpuMsPerStart", cpuSeconds * MsPerSecond / each},
            {"peerBytesPerStart", bytes / each},
            {"framesSentPerStart", frames / each},
            {"residentMb",
             sumOf(after.samples, "process_resident_memory_bytes") / (1024.0 * 1024.0)},
            {"grown", grown}};
}

/// Growth of the counters that have a label "reason", summed over all processes.
Json reasonCounters(const Json &processes)
{
    std::map<std::string, double> sums;
    for (const Json &process : processes) {
        for (const auto &entry : process.at("grown").items()) {
            if (entry.key().find("reason=") != std::string::npos) {
                sums[entry.key()] += entry.value().get<double>();
            }
        }
    }
    return sums;
}

Json processesJson(const BenchResult &result, double starts)
{
    Json processes = Json::array();
    for (const ScrapedProcess &after : result.after) {
        const auto before = std::find_if(
                result.before.begin(), result.before.end(),
                [&after](const ScrapedProcess &other) { return other.address == after.address; });
        if (before != result.before.end()) {
            processes.push_back(processJson(*before, after, starts));
        }
    }
    return processes;
}

Row quantileRow(const std::string &name, const Json &quantiles, int decimals)
{
    Row row{name, plainText(quantiles.at("count"))};
    for (const char *key : {"p50", "p90", "p99", "max"}) {
        row.push_back(formatNumber(quantiles.at(key).get<double>(), decimals));
    }
    return row;
}

std::string processTable(const Json &report)
{
    if (report.at("processes").empty()) {
        return {};
    }
    std::vector<Row> rows{
            {"process", "CPU s", "CPU ms/start", "peer B/start", "frames/start", "MB"}};
    for (const Json &process : report.at("processes")) {
        rows.push_back({plainText(process.at("address")),
                        formatNumber(process.at("cpuSeconds").get<double>(), 2),
                        formatNumber(process.at("cpuMsPerStart").get<double>(), 3),
                        formatNumber(process.at("peerBytesPerStart").get<double>(), 0),
                        formatNumber(process.at("framesSentPerStart").get<double>(), 3),
                        formatNumber(process.at("residentMb").get<double>(), 1)});
    }
    return '\n' + formatTable(rows);
}

std::string countsLine(const std::string &name, const Json &counts)
{
    std::string line = name + ':';
    for (const auto &entry : counts.items()) {
        line += ' ' + entry.key() + '=' + entry.value().dump();
    }
    return line + '\n';
}

} // namespace

Quantiles quantilesOf(std::vector<double> values)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const auto at = [&values](double part) {
        const double rank = std::ceil(part * static_cast<double>(values.size()));
        return values[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
    };
    return {at(0.5), at(0.9), at(0.99), values.back()};
}

Json reportJson(const BenchResult &result)
{
    const Tally all = tallyOf(result, [](const PlannedJob &) { return true; });
    Json report = tallyJson(all);
    report["name"] = result.file.name;
    report["seed"] = result.file.seed;
    report["seconds"] = result.file.seconds;
    report["load"] = result.file.load;
    report["goodput"] = goodputJson(result, all);
    report["mostLateMs"] = all.maxLateMs;
    report["starts"] = startsJson(result);
    const double starts = result.backendsAfter.empty()
                                  ? report["starts"]["tasksSubmitted"].get<double>()
                                  : report["starts"]["starts"].get<double>();
    report["processes"] = processesJson(result, starts);
    report["reasonCounters"] = reasonCounters(report["processes"]);
    for (std::size_t index = 0; index < result.file.streams.size(); ++index) {
        report["streams"][result.file.streams[index].name] = tallyJson(
                tallyOf(result, [index](const PlannedJob &job) { return job.stream == index; }));
    }
    return report;
}

std::string reportTable(const Json &report)
{
    std::vector<Row> rows{{"", "jobs", "p50", "p90", "p99", "max"},
                          quantileRow("response / ideal", report.at("ratio"), RatioDecimals),
                          quantileRow("added ms", report.at("addedMs"), MsDecimals),
                          quantileRow("response ms", report.at("responseMs"), MsDecimals)};
    for (const auto &entry : report.at("streams").items()) {
        rows.push_back(quantileRow("  " + entry.key(), entry.value().at("ratio"), RatioDecimals));
    }
    const Json &goodput = report.at("goodput");
    std::string text = plainText(report.at("name")) + ", load "
                       + formatNumber(report.at("load").get<double>(), 2) + ", "
                       + formatNumber(report.at("seconds").get<double>(), 0) + " s\n"
                       + formatTable(rows);
    text += "goodput: " + formatNumber(goodput.at("ofCapacity").get<double>(), 3)
            + " of capacity, offered "
            + formatNumber(goodput.at("offeredOfCapacity").get<double>(), 3)
            + "; the bench was at most " + formatNumber(report.at("mostLateMs").get<double>(), 1)
            + " ms late\n";
    text += countsLine("outcomes", report.at("outcomes"));
    text += countsLine("not completed", report.at("notCompletedByReason"));
    text += countsLine("starts", report.at("starts"));
    text += "wrong answers: " + report.at("wrongAnswers").dump() + '\n';
    text += countsLine("counters by reason", report.at("reasonCounters"));
    return text + processTable(report);
}

} // namespace Tool
