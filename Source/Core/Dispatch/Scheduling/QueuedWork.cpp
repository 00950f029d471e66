#include "Dispatch/Scheduling/QueuedWork.h"

namespace Dispatch {
namespace {

constexpr double GuessQuantile = 0.1;

} // namespace

void addQueued(QueuedWork &work, ProfileId profile, std::int64_t tasks)
{
    const auto entry = work.tasks.emplace(profile, 0).first;
    entry->second += tasks;
    if (entry->second == 0) {
        work.tasks.erase(entry);
    }
}

double workMs(const QueuedWork &work, const Estimates &estimates)
{
    double sum = 0;
    for (const auto &entry : work.tasks) {
        sum += static_cast<double>(entry.second) * admissionRunMs(estimates, entry.first);
    }
    return sum;
}

double admissionRunMs(const Estimates &estimates, ProfileId profile)
{
    return isGuess(estimates, profile) ? runQuantileMs(estimates, profile, GuessQuantile)
                                       : meanRunMs(estimates, profile);
}

} // namespace Dispatch
