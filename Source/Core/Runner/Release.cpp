#include "Runner/Release.h"

#include <algorithm>

namespace Runner {

namespace {

/// Orders that the gateway has sent before it was told arrive within this time.
constexpr std::int64_t OrdersInTransitMs = 1000;

bool hasRecentEnds(const RunnerState &state, const std::string &gateway)
{
    const auto found = state.recentEnds.find(gateway);
    return found != state.recentEnds.end() && !found->second.empty();
}

} // namespace

ReleaseStep nextReleaseStep(const RunnerState &state, GatewayReports &reports,
                            const std::string &gateway, bool isSurplus, Common::Moment now)
{
    if (isSurplus != reports.releasedMs.has_value()) {
        reports.releasedMs = isSurplus ? std::optional(now.steadyMs) : std::nullopt;
        return ReleaseStep::Announce;
    }
    if (!isSurplus || now.steadyMs < *reports.releasedMs + OrdersInTransitMs) {
        return ReleaseStep::None;
    }
    const bool isInUse =
            hasRuns(state, gateway) || hasRecentEnds(state, gateway) || !reports.unsent.empty();
    return isInUse ? ReleaseStep::None : ReleaseStep::Close;
}

void gatewayReleased(RunnerState &state, const std::string &gateway)
{
    state.lastOrders.erase(gateway);
    state.recentEnds.erase(gateway);
    state.grants.erase(gateway);
}

bool hasRuns(const RunnerState &state, const std::string &gateway)
{
    return std::any_of(state.runs.begin(), state.runs.end(),
                       [&](const auto &entry) { return entry.second.gateway == gateway; });
}

} // namespace Runner
