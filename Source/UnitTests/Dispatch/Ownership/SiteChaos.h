#pragma once

#include "SiteJobs.h"

namespace SiteTest {

/// Faults that a random schedule injects: for each, the probability per round in percent.
struct ChaosPlan
{
    int kills = 3;
    int pauses = 6;
    int cuts = 8;
    int logCuts = 6;
    int outages = 3;
    int lostAnswers = 10;
    int leaves = 2;
    /// Percentage of replacements that listen at the old address.
    int sameAddress = 50;
};

/// Random faults, submissions and resubmissions for \a rounds of 100 ms.
void chaos(World &world, const ChaosPlan &plan, int rounds);
/// Ends all faults and resumes the paused gateways.
void heal(World &world);

} // namespace SiteTest
