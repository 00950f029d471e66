#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Runner/RunnerState.h"

/// Decides what an agent sends to each gateway, and when.
namespace Runner {

/// What a gateway has been told on its present connection, and what it has yet to be told.
struct GatewayReports
{
    /// When the last frame was sent.
    std::int64_t sentMs = 0;
    double reportedProcessors = 0;
    /// The last change of the orphaned jobs that was sent.
    std::uint64_t reportedOrphansChange = 0;
    /// Shortest interval that the gateway allows for reports that contain only the load.
    std::int64_t loadIntervalMs = 0;
    std::vector<Schema::AttemptState> unsent;
    /// Since when the agent accepts no tasks of the gateway, to give up the connection.
    std::optional<std::int64_t> releasedMs;
};

/// Announcement of this agent to \a gateway.
Schema::Frame makeAnnouncement(const RunnerState &state, GatewayReports &reports,
                               const std::string &gateway, Common::Moment now);

/// Whether a report has to be sent now to one of \a gateways gateways: ends of its tasks and new
/// orphaned jobs at once, the load when it has changed, and a heartbeat if nothing else was sent.
bool isReportDue(const RunnerState &state, const GatewayReports &reports, std::size_t gateways,
                 Common::Moment now);

/// Report to \a gateway with all that it has yet to be told.
Schema::Frame makeReport(const RunnerState &state, GatewayReports &reports,
                         const std::string &gateway, Common::Moment now);

} // namespace Runner
