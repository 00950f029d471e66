#pragma once

#include <cstdint>
#include <map>

#include "Dispatch/Scheduling/Estimates.h"

namespace Dispatch {

/// Number of waiting tasks by profile. Their work is computed on demand: a sum of estimates from
/// the time of admission would keep refusing jobs because of initial estimates that outcomes have
/// long corrected.
struct QueuedWork
{
    std::map<ProfileId, std::int64_t> tasks;
};

void addQueued(QueuedWork &work, ProfileId profile, std::int64_t tasks);

/// Expected work in milliseconds of one slot at speed factor 1.
double workMs(const QueuedWork &work, const Estimates &estimates);

/// Expected work of one task for admission, in milliseconds of one slot at speed factor 1. For a
/// guess the low end of its range is used, so that jobs are refused because of observed run times
/// and not because of a declaration.
double admissionRunMs(const Estimates &estimates, ProfileId profile);

} // namespace Dispatch
