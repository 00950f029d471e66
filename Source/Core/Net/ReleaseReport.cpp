#include "Net/ReleaseReport.h"

#include "Common/Log.h"

namespace Net {

namespace {

constexpr std::int64_t LogIntervalMs = 5000;

} // namespace

bool ReleaseReport::isDue(Interval &interval, std::int64_t nowMs, std::uint64_t &suppressed)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (nowMs < interval.untilMs) {
        ++interval.suppressed;
        return false;
    }
    suppressed = interval.suppressed;
    interval = {nowMs + LogIntervalMs, 0};
    return true;
}

void ReleaseReport::released(const Release &release, const std::string &client, std::int64_t nowMs)
{
    std::uint64_t suppressed = 0;
    if (this->isDue(this->releases, nowMs, suppressed)) {
        Common::logEvent(Common::LogLevel::Warning, "connection_released",
                         {{"listener", Common::nameOf(ListenerNames, this->listener)},
                          {"stage", Common::nameOf(HoldingStageNames, release.stage)},
                          {"cause", Common::nameOf(ReleaseCauseNames, release.cause)},
                          {"bytes", release.bytes},
                          {"client", client},
                          {"not_shown", suppressed}});
    }
}

void ReleaseReport::refused(std::size_t bytes, const std::string &client, std::int64_t nowMs)
{
    std::uint64_t suppressed = 0;
    if (this->isDue(this->refusals, nowMs, suppressed)) {
        Common::logEvent(Common::LogLevel::Warning, "request_not_admitted",
                         {{"listener", Common::nameOf(ListenerNames, this->listener)},
                          {"bytes", bytes},
                          {"client", client},
                          {"not_shown", suppressed}});
    }
}

} // namespace Net
