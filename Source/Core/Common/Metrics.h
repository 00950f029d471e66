#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Common {

using MetricLabels = std::map<std::string, std::string>;

/// Processor time that this process has used.
double processCpuSeconds();
/// Processor time that the calling thread has used.
double threadCpuSeconds();

/// A process's metrics, in the Prometheus text format. Safe to use from any thread; a series is
/// created when first used. Names follow the Prometheus convention (auburntrail_..._total,
/// _seconds).
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void count(const std::string &name, const MetricLabels &labels = {}, double amount = 1);
    void set(const std::string &name, double value, const MetricLabels &labels = {});
    void observe(const std::string &name, double value, const std::vector<double> &bounds,
                 const MetricLabels &labels = {});

    /// Body of GET /metrics. Adds the process's CPU seconds and resident bytes.
    std::string expose();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Common
