#pragma once

#include <cstdint>
#include <map>

#include "Dispatch/Scheduling/Estimates.h"

namespace Dispatch {

/// Tasks that wait, by profile. Their work is worked out when asked for: a sum kept from the time
/// of admission would go on refusing jobs over a first guess that outcomes have long corrected.
struct QueuedWork
{
    std::map<ProfileId, std::int64_t> tasks;
};

void addQueued(QueuedWork &work, ProfileId profile, std::int64_t tasks);

/// Milliseconds of one slot at factor 1.
double workMs(const QueuedWork &work, const Estimates &estimates);

/// Expected work of one task, for admission. A guess is taken at its low end: a job is refused for
/// what is known, not for a declaration.
double admissionRunMs(const Estimates &estimates, ProfileId profile);

} // namespace Dispatch
