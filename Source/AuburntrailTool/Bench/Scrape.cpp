#include "Bench/Scrape.h"

#include <cstdlib>
#include <sstream>

#include "Net/HttpClient.h"

namespace Tool {

namespace {

constexpr std::int64_t ScrapeTimeoutMs = 5000;
constexpr int StatusOk = 200;

std::string fetch(Net::HttpClient &client, const std::string &address, const std::string &path)
{
    Net::HttpCall call;
    call.url = "http://" + address + path;
    call.timeoutMs = ScrapeTimeoutMs;
    const Net::HttpResult result = client.perform(call);
    return result.status == StatusOk ? result.body : std::string();
}

} // namespace

Samples parseSamples(const std::string &page)
{
    Samples samples;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t blank = line.rfind(' ');
        if (line.empty() || line.front() == '#' || blank == std::string::npos) {
            continue;
        }
        samples[line.substr(0, blank)] = std::strtod(line.c_str() + blank, nullptr);
    }
    return samples;
}

double sumOf(const Samples &samples, const std::string &name)
{
    double sum = 0;
    for (const auto &[series, value] : samples) {
        if (series.substr(0, series.find('{')) == name) {
            sum += value;
        }
    }
    return sum;
}

Samples difference(const Samples &before, const Samples &after)
{
    Samples grown;
    for (const auto &[series, value] : after) {
        const auto earlier = before.find(series);
        const double change = earlier == before.end() ? value : value - earlier->second;
        if (change != 0) {
            grown[series] = change;
        }
    }
    return grown;
}

std::vector<ScrapedProcess> scrapeMetrics(const std::vector<std::string> &addresses)
{
    Net::HttpClient client(1);
    std::vector<ScrapedProcess> processes;
    for (const std::string &address : addresses) {
        Samples samples = parseSamples(fetch(client, address, "/metrics"));
        if (!samples.empty()) {
            processes.push_back({address, std::move(samples)});
        }
    }
    return processes;
}

std::vector<nlohmann::json> scrapeBackends(const std::vector<std::string> &addresses)
{
    Net::HttpClient client(1);
    std::vector<nlohmann::json> stats;
    for (const std::string &address : addresses) {
        nlohmann::json json =
                nlohmann::json::parse(fetch(client, address, "/control/stats"), nullptr, false);
        if (json.is_object()) {
            json["address"] = address;
            stats.push_back(std::move(json));
        }
    }
    return stats;
}

} // namespace Tool
