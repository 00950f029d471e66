#include "LoadReplay.h"

#include <random>

namespace TransientSite {

double capacityOf(const World &world)
{
    double capacity = 0;
    for (const ModelBackend &backend : world.backends) {
        capacity += backend.processors * backend.speed;
    }
    return capacity;
}

void offer(World &world, const OfferedWork &offered, double capacity, double load,
           std::int64_t forMs)
{
    const double jobMs =
            static_cast<double>(offered.work.runMs) * offered.work.processors * offered.tasks;
    const double perMs = load * capacity / jobMs;
    std::uniform_real_distribution<double> chance(0, 1);
    const std::int64_t untilMs = world.nowMs + forMs;
    while (world.nowMs < untilMs) {
        if (chance(world.random) < perMs) {
            const auto gateway = static_cast<int>(world.random() % world.gateways.size());
            submit(world, gateway, offered.work, offered.tasks);
        }
        runFor(world, 1);
    }
}

Outcome countOutcomes(const World &world, const OfferedWork &offered, std::size_t first,
                      std::int64_t minRemainingTimeoutMs)
{
    Outcome outcome;
    for (std::size_t number = first; number < world.callers.size(); ++number) {
        const Caller &caller = world.callers[number];
        if (caller.remainingTimeoutMs < minRemainingTimeoutMs
            || caller.work.runMs != offered.work.runMs) {
            continue;
        }
        ++outcome.submitted;
        if (!caller.isAnswered || caller.result.outcome != Transient::JobOutcome::Succeeded) {
            continue;
        }
        const bool isInTime = caller.answeredMs - caller.submittedMs <= offered.targetMs;
        outcome.inTime += isInTime ? 1 : 0;
        outcome.late += isInTime ? 0 : 1;
    }
    return outcome;
}

} // namespace TransientSite
