#include "Gateway/LoadReport.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

namespace {

constexpr std::int64_t IntervalMs = 1000;
constexpr const char *CpuCounter = "auburntrail_gateway_cpu_seconds_total";

std::string wholeMs(double seconds)
{
    constexpr double MsPerSecond = 1000;
    return std::to_string(std::llround(seconds * MsPerSecond));
}

} // namespace

LoadReport::LoadReport(Common::Metrics &metrics)
    : metrics(metrics)
{}

void LoadReport::requestRead(std::int64_t ageMs)
{
    this->httpCpuSeconds = Common::threadCpuSeconds();
    ++this->requestsRead;
    // One thread reads requests; a report that resets the value in between loses one sample.
    this->oldestReadMs = std::max(this->oldestReadMs.load(), ageMs);
}

void LoadReport::frameRead()
{
    this->linksCpuSeconds = Common::threadCpuSeconds();
}

void LoadReport::begin(ControlWork next)
{
    if (next == this->work) {
        return;
    }
    const double cpuSeconds = Common::threadCpuSeconds();
    this->workCpuSeconds.at(static_cast<std::size_t>(this->work)) +=
            cpuSeconds - this->workBeganCpuSeconds;
    this->workBeganCpuSeconds = cpuSeconds;
    this->work = next;
}

void LoadReport::requestDecided(std::int64_t ageMs)
{
    ++this->requestsDecided;
    this->oldestDecidedMs = std::max(this->oldestDecidedMs, ageMs);
}

void LoadReport::requestRefusedUnread()
{
    ++this->requestsRefusedUnread;
}

void LoadReport::heartbeatSent(std::int64_t lateMs)
{
    this->latestHeartbeatMs = std::max(this->latestHeartbeatMs, lateMs);
}

void LoadReport::reportIfDue(std::int64_t nowMs)
{
    if (nowMs < this->reportedMs + IntervalMs) {
        return;
    }
    const double processSeconds = Common::processCpuSeconds();
    const double httpSeconds = this->httpCpuSeconds;
    const double linksSeconds = this->linksCpuSeconds;
    std::vector<std::pair<std::string, std::string>> fields{
            {"after_ms", std::to_string(this->reportedMs == 0 ? 0 : nowMs - this->reportedMs)},
            {"cpu_ms", wholeMs(processSeconds - this->reportedProcessSeconds)},
            {"http_ms", wholeMs(httpSeconds - this->reportedHttpSeconds)},
            {"links_ms", wholeMs(linksSeconds - this->reportedLinksSeconds)}};
    this->metrics.count(CpuCounter, {{"work", "http"}}, httpSeconds - this->reportedHttpSeconds);
    this->metrics.count(CpuCounter, {{"work", "links"}}, linksSeconds - this->reportedLinksSeconds);
    for (const auto &[kind, name] : ControlWorkNames) {
        double &seconds = this->workCpuSeconds.at(static_cast<std::size_t>(kind));
        fields.emplace_back(std::string(name) + "_ms", wholeMs(seconds));
        this->metrics.count(CpuCounter, {{"work", std::string(name)}}, seconds);
        seconds = 0;
    }
    fields.emplace_back("requests_read", std::to_string(this->requestsRead.exchange(0)));
    fields.emplace_back("oldest_read_ms", std::to_string(this->oldestReadMs.exchange(0)));
    fields.emplace_back("requests_decided",
                        std::to_string(std::exchange(this->requestsDecided, 0)));
    fields.emplace_back("oldest_decided_ms",
                        std::to_string(std::exchange(this->oldestDecidedMs, 0)));
    fields.emplace_back("refused_unread",
                        std::to_string(std::exchange(this->requestsRefusedUnread, 0)));
    const std::int64_t heartbeatMs = std::exchange(this->latestHeartbeatMs, 0);
    fields.emplace_back("latest_heartbeat_ms", std::to_string(heartbeatMs));
    this->metrics.set("auburntrail_gateway_latest_heartbeat_ms", static_cast<double>(heartbeatMs));
    Common::logEvent(Common::LogLevel::Info, "gateway_load", fields);
    this->reportedMs = nowMs;
    this->reportedProcessSeconds = processSeconds;
    this->reportedHttpSeconds = httpSeconds;
    this->reportedLinksSeconds = linksSeconds;
}

} // namespace Gateway
