#pragma once

#include <map>
#include <string>
#include <vector>

#include "Common/Common.h"

namespace Tool {

/// Series of a Prometheus text page and their values. Labels are part of the series' name.
using Samples = std::map<std::string, double>;

Samples parseSamples(const std::string &page);

/// Sum of all series whose name without labels is \a name.
double sumOf(const Samples &samples, const std::string &name);

/// Change of each series from \a before to \a after, without those that did not change. A series
/// that is missing in \a before counts from 0.
Samples difference(const Samples &before, const Samples &after);

/// Metrics of one process, read from its /metrics.
struct ScrapedProcess
{
    std::string address;
    Samples samples;
};

/// Reads the metrics of the processes at \a addresses. Processes that do not answer are omitted.
std::vector<ScrapedProcess> scrapeMetrics(const std::vector<std::string> &addresses);
/// Reads /control/stats of the stand-in backend servers, one object each. Servers that do not
/// answer are omitted.
std::vector<nlohmann::json> scrapeBackends(const std::vector<std::string> &addresses);

} // namespace Tool
