#include "Transient/LateBinding.h"

#include <algorithm>

namespace Transient {

namespace {

/// A round trip between failure domains, the time that both processes need, and the start.
constexpr double PlacingAnewMs = 10;
/// Share of the time to spare that a single wait may use.
constexpr double ShareOfSpareTime = 0.125;

} // namespace

std::optional<std::int64_t> longestWaitMs(const GatewayState &state, const JobRecord &job,
                                          const TaskRecord &task, const Placement &placement,
                                          Common::Moment now)
{
    if (!isShared(state.shared) || !state.shared.bindsLate || task.returns >= MaxReturns
        || !placement.hasAlternative) {
        return std::nullopt;
    }
    const double spareMs = static_cast<double>(job.targetMs - now.steadyMs) - placement.runMs;
    const double limitMs = std::max(PlacingAnewMs, spareMs * ShareOfSpareTime);
    if (placement.waitMs > limitMs) {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(limitMs);
}

} // namespace Transient
