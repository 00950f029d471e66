#include "Transient/ProcessorUse.h"

#include <algorithm>
#include <cmath>

namespace Transient {

namespace {

constexpr double MsPerSecond = 1000;
constexpr double SmoothingMs = 500;
/// Weight of a sample taken under saturation: the first one may include time before it.
constexpr double SaturatedSampleWeight = 0.5;
/// Once requests no longer wait, the estimate of what is available doubles in this time. From an
/// eighth it is back in 1.5 s; where it is too high, requests wait again and correct it.
constexpr double AvailableDoublingMs = 500;
/// Least estimate, as a share of the processors of the settings.
constexpr double MinAvailableShare = 1.0 / 16;

double availableAfter(double available, double used, double processors, bool isSaturated,
                      double sinceMs)
{
    const double next =
            isSaturated ? available + SaturatedSampleWeight * (used - available)
                        : std::max(used, available * std::exp2(sinceMs / AvailableDoublingMs));
    return std::clamp(next, processors * MinAvailableShare, processors);
}

} // namespace

void observeProcessorUse(ProcessorUse &use, double cpuSeconds, double processors, bool isSaturated,
                         Common::Moment now)
{
    const auto sinceMs = static_cast<double>(now.steadyMs - use.sampledMs);
    if (use.cpuSeconds && sinceMs > 0 && processors > 0) {
        const double used = (cpuSeconds - *use.cpuSeconds) * MsPerSecond / sinceMs;
        use.available = availableAfter(use.available.value_or(processors), used, processors,
                                       isSaturated, sinceMs);
        const double share = isSaturated ? 1 : used / *use.available;
        use.usedShare += (share - use.usedShare) * (1 - std::exp(-sinceMs / SmoothingMs));
    }
    if (isSaturated) {
        use.usedShare = 1;
    }
    use.cpuSeconds = cpuSeconds;
    use.sampledMs = now.steadyMs;
}

std::int64_t nextProcessorSampleMs(const ProcessorUse &use)
{
    return use.cpuSeconds ? use.sampledMs + ProcessorSampleMs : 0;
}

} // namespace Transient
