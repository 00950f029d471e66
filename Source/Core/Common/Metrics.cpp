#include "Common/Metrics.h"

#include <fstream>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

namespace Common {

struct Metrics::Implementation
{
    prometheus::Registry registry;
    std::mutex mutex;
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *> histograms;
};

namespace {

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::int64_t totalPages = 0;
    std::int64_t residentPages = 0;
    statm >> totalPages >> residentPages;
    return static_cast<double>(residentPages) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double cpuSeconds(int whose)
{
    rusage usage{};
    getrusage(whose, &usage);
    constexpr double MicrosPerSecond = 1e6;
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec)
               + static_cast<double>(time.tv_usec) / MicrosPerSecond;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

} // namespace

double processCpuSeconds()
{
    return cpuSeconds(RUSAGE_SELF);
}

double threadCpuSeconds()
{
    return cpuSeconds(RUSAGE_THREAD);
}

Metrics::Metrics()
    : implementation(std::make_unique<Implementation>())
{}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const MetricLabels &labels, double amount)
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    auto &family = this->implementation->counters[name];
    if (family == nullptr) {
        family = &prometheus::BuildCounter().Name(name).Register(this->implementation->registry);
    }
    family->Add(labels).Increment(amount);
}

void Metrics::set(const std::string &name, double value, const MetricLabels &labels)
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    auto &family = this->implementation->gauges[name];
    if (family == nullptr) {
        family = &prometheus::BuildGauge().Name(name).Register(this->implementation->registry);
    }
    family->Add(labels).Set(value);
}

void Metrics::observe(const std::string &name, double value, const std::vector<double> &bounds,
                      const MetricLabels &labels)
{
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    auto &family = this->implementation->histograms[name];
    if (family == nullptr) {
        family = &prometheus::BuildHistogram().Name(name).Register(this->implementation->registry);
    }
    family->Add(labels, bounds).Observe(value);
}

std::string Metrics::expose()
{
    this->set("process_cpu_seconds_total", processCpuSeconds());
    this->set("process_resident_memory_bytes", residentBytes());
    return prometheus::TextSerializer().Serialize(this->implementation->registry.Collect());
}

} // namespace Common
