#pragma once

#include <cstdint>

/// Learns by how much tasks wait longer at their agents than predicted.
///
/// Load pattern: between two reports of an agent, other gateways fill its backend server. Most
/// 8-task jobs that ended late were predicted to wait 0 ms (predicted 86 ms, taken 236 ms). A wide
/// job ends with its latest task, so that the spread of the errors delays it as well as their mean.
namespace Transient {

/// Errors of the waits of one queue and priority.
struct WaitError
{
    /// Moving averages of time waited minus wait predicted, and of its distance from the mean.
    double meanMs = 0;
    double distanceMs = 0;
    /// Steady clock at the last sample.
    std::int64_t observedMs = 0;
};

/// Updates the error with a task that waited \a waitedMs at its agent.
void observeWait(WaitError &error, double predictedMs, double waitedMs, std::int64_t nowMs);

/// Expected maximum of \a count independent standard normal values.
double expectedMaximum(int count);

/// Expected wait of the latest of \a tasks tasks whose predicted wait is \a predictedMs; never
/// below 0.
double latestWaitMs(const WaitError &error, double predictedMs, int tasks, std::int64_t nowMs);

} // namespace Transient
