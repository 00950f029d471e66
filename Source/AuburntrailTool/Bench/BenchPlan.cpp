#include "Bench/BenchPlan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace Tool {

namespace {

constexpr double MsPerSecond = 1000;

struct Slot
{
    double freeAtMs = 0;
    double speed = 1;
};

std::vector<Slot> slotsOf(const std::vector<BackendGroup> &backends)
{
    std::vector<Slot> slots;
    for (const BackendGroup &group : backends) {
        slots.insert(slots.end(),
                     static_cast<std::size_t>(group.count) * static_cast<std::size_t>(group.slots),
                     Slot{0, group.speed});
    }
    return slots;
}

double meanWorkMs(const LoadStream &stream)
{
    const double meanTasks = (stream.minTasks + stream.maxTasks) / 2.0;
    return meanTasks * (stream.minRunMs + stream.maxRunMs) / 2.0;
}

void planStream(const BenchFile &file, std::size_t index, double jobsPerMs,
                std::vector<PlannedJob> &jobs)
{
    const LoadStream &stream = file.streams[index];
    Common::Random random(file.seed * 1000003 + index);
    std::exponential_distribution<double> gap(jobsPerMs);
    std::uniform_int_distribution<int> tasks(stream.minTasks, stream.maxTasks);
    std::uniform_real_distribution<double> runMs(stream.minRunMs, stream.maxRunMs);
    int caller = 0;
    for (double atMs = gap(random); atMs < file.seconds * MsPerSecond; atMs += gap(random)) {
        PlannedJob job;
        job.atMs = atMs;
        job.stream = index;
        job.caller = caller++ % stream.callers;
        job.runMs.resize(static_cast<std::size_t>(tasks(random)));
        std::generate(job.runMs.begin(), job.runMs.end(),
                      [&] { return std::max(1.0, std::round(runMs(random))); });
        job.idealMs = idealResponseMs(file.backends, job.runMs);
        jobs.push_back(std::move(job));
    }
}

} // namespace

double capacityMsPerSecond(const std::vector<BackendGroup> &backends)
{
    return std::accumulate(backends.begin(), backends.end(), 0.0,
                           [](double sum, const BackendGroup &group) {
                               return sum + group.count * group.slots * group.speed * MsPerSecond;
                           });
}

double idealResponseMs(const std::vector<BackendGroup> &backends, std::vector<double> runMs)
{
    std::vector<Slot> slots = slotsOf(backends);
    std::sort(runMs.begin(), runMs.end(), std::greater<>());
    double lastMs = 0;
    for (const double taskMs : runMs) {
        const auto endsAt = [taskMs](const Slot &slot) {
            return slot.freeAtMs + taskMs / slot.speed;
        };
        Slot &best = *std::min_element(
                slots.begin(), slots.end(),
                [&](const Slot &left, const Slot &right) { return endsAt(left) < endsAt(right); });
        best.freeAtMs = endsAt(best);
        lastMs = std::max(lastMs, best.freeAtMs);
    }
    return lastMs;
}

std::vector<PlannedJob> planJobs(const BenchFile &file)
{
    const double shares = std::accumulate(
            file.streams.begin(), file.streams.end(), 0.0,
            [](double sum, const LoadStream &stream) { return sum + stream.share; });
    const double workPerMs = file.load * capacityMsPerSecond(file.backends) / MsPerSecond;
    std::vector<PlannedJob> jobs;
    for (std::size_t index = 0; index < file.streams.size(); ++index) {
        const LoadStream &stream = file.streams[index];
        if (stream.share > 0) {
            const double work = workPerMs * stream.share / shares;
            planStream(file, index, work / meanWorkMs(stream), jobs);
        }
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const PlannedJob &left, const PlannedJob &right) {
        return left.atMs < right.atMs;
    });
    return jobs;
}

} // namespace Tool
