#include "Runner/Reports.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Runner/Load.h"

namespace Runner {

namespace {

/// A change of the load by more than this share of the processors is reported at once, but not more
/// often than loadReportIntervalMs() allows.
constexpr double SignificantLoadShare = 0.1;

} // namespace

Schema::Frame makeAnnouncement(const RunnerState &state, GatewayReports &reports,
                               const std::string &gateway, Common::Moment now)
{
    Schema::Frame frame = frameOf(Schema::FrameType::AgentAnnouncement);
    frame.agentAnnouncement = announcementFor(state, gateway, now);
    if (reports.releasedMs) {
        frame.agentAnnouncement->accepting = false;
    }
    reports.sentMs = now.steadyMs;
    reports.reportedProcessors = frame.agentAnnouncement->load.committedProcessors;
    reports.reportedOrphansChange = state.orphansChange;
    return frame;
}

bool isReportDue(const RunnerState &state, const GatewayReports &reports, std::size_t gateways,
                 Common::Moment now)
{
    if (isUrgent(reports.unsent) || reports.reportedOrphansChange < state.urgentOrphansChange
        || now.steadyMs >= reports.sentMs + state.times.heartbeatMs) {
        return true;
    }
    const std::int64_t intervalMs =
            std::max(loadReportIntervalMs(gateways), reports.loadIntervalMs);
    const Transient::BackendAnnouncement *announced = announcedBackend(state);
    if (announced == nullptr || now.steadyMs < reports.sentMs + intervalMs) {
        return false;
    }
    const double change = std::abs(committedProcessors(state) - reports.reportedProcessors);
    return change > announced->resources.processors * SignificantLoadShare;
}

Schema::Frame makeReport(const RunnerState &state, GatewayReports &reports,
                         const std::string &gateway, Common::Moment now)
{
    Schema::Frame frame = frameOf(Schema::FrameType::AgentReport);
    frame.agentReport = Schema::AgentReport{};
    frame.agentReport->load = loadFor(state, gateway, now);
    frame.agentReport->states = std::exchange(reports.unsent, {});
    reports.sentMs = now.steadyMs;
    reports.reportedProcessors = frame.agentReport->load.committedProcessors;
    if (reports.reportedOrphansChange != state.orphansChange) {
        frame.agentReport->orphans = state.orphans;
        reports.reportedOrphansChange = state.orphansChange;
    }
    return frame;
}

} // namespace Runner
