#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Bench/BenchRun.h"
#include "Bench/Scrape.h"

namespace Tool {

struct Quantiles
{
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    double max = 0;
};

/// Quantiles by the nearest-rank method; all zero if \a values is empty.
Quantiles quantilesOf(std::vector<double> values);

/// All measurements of one run.
struct BenchResult
{
    BenchFile file;
    std::vector<PlannedJob> jobs;
    std::vector<JobRecord> records;
    std::vector<ScrapedProcess> before;
    std::vector<ScrapedProcess> after;
    std::vector<nlohmann::json> backendsBefore;
    std::vector<nlohmann::json> backendsAfter;
};

/// Jobs that arrived during the warm-up are excluded, except from the counters of processes and
/// backend servers, the number of submitted tasks, and the goodput, which counts jobs by the time
/// of their answer.
nlohmann::json reportJson(const BenchResult &result);
std::string reportTable(const nlohmann::json &report);

} // namespace Tool
