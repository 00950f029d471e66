#pragma once

#include <cstddef>
#include <cstdint>

#include "TransientWorld.h"

/// Offers load to a site in virtual time and counts the answers that its callers receive.
namespace TransientSite {

struct OfferedWork
{
    ModelWork work;
    int tasks = 1;
    std::int64_t targetMs = 0;
};

struct Outcome
{
    int submitted = 0;
    int inTime = 0;
    int late = 0;
};

/// Processors of the site, weighted by their speed.
double capacityOf(const World &world);

/// Submits jobs that need the share \a load of \a capacity on average, for \a forMs.
void offer(World &world, const OfferedWork &offered, double capacity, double load,
           std::int64_t forMs);

/// Counts the answers of the callers from \a first on with the run time of \a offered and at least
/// \a minRemainingTimeoutMs, which leaves out those that had waited before.
Outcome countOutcomes(const World &world, const OfferedWork &offered, std::size_t first,
                      std::int64_t minRemainingTimeoutMs = 0);

/// Sums the outcomes of \a replay with \a options over eight seeds.
template <typename Replay, typename Chosen>
Outcome sumOverSeeds(const Replay &replay, const Chosen &options)
{
    constexpr std::uint64_t Seeds = 8;
    Outcome sum;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const Outcome one = replay(options, seed);
        sum.submitted += one.submitted;
        sum.inTime += one.inTime;
        sum.late += one.late;
    }
    return sum;
}

} // namespace TransientSite
