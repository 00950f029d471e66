#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Common.h"

namespace Tool {

/// Series of a Prometheus text page with their values, labels as part of the name.
using Samples = std::map<std::string, double>;

Samples parseSamples(const std::string &page);

/// Sum of the series whose name, without labels, is \a name.
double sumOf(const Samples &samples, const std::string &name);

/// What grew from \a before to \a after.
Samples difference(const Samples &before, const Samples &after);

/// What can be learned from one process's /metrics, or one backend server's /control/stats.
struct ScrapedProcess
{
    std::string address;
    Samples samples;
};

/// Processes that do not answer are left out.
std::vector<ScrapedProcess> scrapeMetrics(const std::vector<std::string> &addresses);
/// /control/stats of the stand-in backend servers, one object each.
std::vector<nlohmann::json> scrapeBackends(const std::vector<std::string> &addresses);

} // namespace Tool
