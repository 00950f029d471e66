#pragma once

#include "SiteJobs.h"

namespace SiteTest {

/// Which faults a random schedule may bring about; each in some of a hundred rounds.
struct ChaosPlan
{
    int kills = 3;
    int pauses = 6;
    int cuts = 8;
    int logCuts = 6;
    int outages = 3;
    int lostAnswers = 10;
    int leaves = 2;
    /// Of a hundred replacements, those that listen at the old address.
    int sameAddress = 50;
};

/// Random faults, submissions and resubmissions for \a rounds of 100 ms.
void chaos(World &world, const ChaosPlan &plan, int rounds);
/// Ends every fault and replaces what is gone.
void heal(World &world);

} // namespace SiteTest
