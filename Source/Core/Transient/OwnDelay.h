#pragma once

/// Measures how long requests and frames wait in this process before the control thread handles
/// them.
///
/// Load pattern: a gateway with an eighth of a processor handles its frames late. When its late
/// answers were counted as slowness of backend servers, as a factor on every prediction (181%), it
/// refused jobs at a predicted wait of 5 ms. The delay does not depend on the work of a job, and is
/// the same for all backend servers.
namespace Transient {

struct OwnDelay
{
    /// Moving averages of the delay and of its distance from that average.
    double meanMs = 0;
    double deviationMs = 0;
};

/// Updates the averages with one request or frame that waited for \a waitedMs.
void observeOwnDelay(OwnDelay &delay, double waitedMs);

/// The delay to expect for the frames of a job. A job ends with the last of several frames, so that
/// this is more than the average.
double ownDelayMs(const OwnDelay &delay);

} // namespace Transient
