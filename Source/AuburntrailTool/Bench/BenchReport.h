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

/// By nearest rank; zeros where there is no value.
Quantiles quantilesOf(std::vector<double> values);

/// Everything measured in one run.
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

/// Jobs that arrived in the warm-up are left out of all but the counters of processes.
nlohmann::json reportJson(const BenchResult &result);
std::string reportTable(const nlohmann::json &report);

} // namespace Tool
