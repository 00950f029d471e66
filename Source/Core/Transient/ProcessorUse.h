#pragma once

#include <cstdint>
#include <optional>

#include "Common/Common.h"

/// Measures how much of its processors a gateway uses, and how many it has.
///
/// Load pattern: a machine gives a process less processor time than its settings say, since others
/// share it or it has become slow. Measured against the settings, a gateway at half its speed never
/// seems more than half used, does not forward jobs, and offers others processors that it does not
/// have. What a process uses while requests wait all the time is what there is.
namespace Transient {

/// Longest time between two samples.
constexpr std::int64_t ProcessorSampleMs = 250;

struct ProcessorUse
{
    /// Share of the processors that are available, smoothed over about half a second.
    double usedShare = 0;
    /// Processors that the process gets if it needs them, as far as is known; nothing before the
    /// first sample.
    std::optional<double> available;
    /// Last sample; nothing before the first.
    std::optional<double> cpuSeconds;
    std::int64_t sampledMs = 0;
};

/// Takes a sample of the processor time that the process has used so far. \a processors are those
/// of the settings. \a isSaturated tells whether requests have waited for processor time since the
/// last sample.
void observeProcessorUse(ProcessorUse &use, double cpuSeconds, double processors, bool isSaturated,
                         Common::Moment now);
/// When the next sample is due.
std::int64_t nextProcessorSampleMs(const ProcessorUse &use);

} // namespace Transient
