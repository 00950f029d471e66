#include "Transient/Capacity.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Transient {

namespace {

/// Shares of the machine that reports of the load may use. What jobs need comes first.
constexpr double ReportShareOfLink = 0.1;
constexpr double ReportShareOfProcessors = 0.15;
/// One report, with the headers of all protocols.
constexpr double ReportBytes = 300;
constexpr double ReportProcessorMs = 0.06;
/// Share of the link that orders may use; the rest is for callers, reports and heartbeats.
constexpr double OrderShareOfLink = 0.7;

double drainedBytes(const LinkBacklog &backlog, const Capacity &capacity, Common::Moment now)
{
    return static_cast<double>(now.steadyMs - backlog.updatedMs) * capacity.linkBytesPerMs
           * OrderShareOfLink;
}

} // namespace

Capacity makeCapacity(double linkMbitPerS, double processors)
{
    constexpr double BytesPerMsInMbitPerS = 125;
    return {linkMbitPerS * BytesPerMsInMbitPerS, processors};
}

std::optional<std::int64_t> loadIntervalMs(const Capacity &capacity, std::size_t agents)
{
    double reportsPerMs = std::numeric_limits<double>::max();
    if (capacity.linkBytesPerMs > 0) {
        reportsPerMs = capacity.linkBytesPerMs * ReportShareOfLink / ReportBytes;
    }
    if (capacity.processors > 0) {
        reportsPerMs = std::min(reportsPerMs,
                                capacity.processors * ReportShareOfProcessors / ReportProcessorMs);
    }
    if (reportsPerMs == std::numeric_limits<double>::max()) {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(agents) / reportsPerMs));
}

void addToBacklog(LinkBacklog &backlog, const Capacity &capacity, std::size_t bytes,
                  Common::Moment now)
{
    if (capacity.linkBytesPerMs <= 0) {
        return;
    }
    backlog.bytes = std::max(backlog.bytes - drainedBytes(backlog, capacity, now), 0.0)
                    + static_cast<double>(bytes);
    backlog.updatedMs = now.steadyMs;
}

double backlogMs(const LinkBacklog &backlog, const Capacity &capacity, Common::Moment now)
{
    if (capacity.linkBytesPerMs <= 0) {
        return 0;
    }
    const double bytes = std::max(backlog.bytes - drainedBytes(backlog, capacity, now), 0.0);
    return bytes / (capacity.linkBytesPerMs * OrderShareOfLink);
}

} // namespace Transient
