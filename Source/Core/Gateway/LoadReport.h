#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "Common/Common.h"

namespace Gateway {

/// What the control thread is working on.
enum class ControlWork { Requests, AgentFrames, GatewayFrames, Timers };

constexpr Common::NameTable<ControlWork, 4> ControlWorkNames{
        {{ControlWork::Requests, "requests"},
         {ControlWork::AgentFrames, "agent_frames"},
         {ControlWork::GatewayFrames, "gateway_frames"},
         {ControlWork::Timers, "timers"}}};

/// Measures what a gateway for transient jobs spends its processor time on, and how old requests
/// and heartbeats are when their turn comes. Writes one log line a second and updates the metrics.
/// A process that is short of processor time shows by it what the time is spent on.
class LoadReport
{
public:
    /// \a metrics must outlive this object.
    explicit LoadReport(Common::Metrics &metrics);

    /// Called on the HTTP thread after a request was read that arrived \a ageMs ago.
    void requestRead(std::int64_t ageMs);
    /// Called on the thread of the links after a frame was read.
    void frameRead();

    /// The other functions are called on the control thread. The time until the next call counts as
    /// spent on \a work.
    void begin(ControlWork work);
    /// A request that arrived \a ageMs ago is admitted, forwarded or refused.
    void requestDecided(std::int64_t ageMs);
    /// A request is refused before its body is read.
    void requestRefusedUnread();
    /// A heartbeat leaves \a lateMs after it was due.
    void heartbeatSent(std::int64_t lateMs);
    /// Reports if a second has passed since the last report.
    void reportIfDue(std::int64_t nowMs);

private:
    static constexpr std::size_t WorkCount = ControlWorkNames.size();

    Common::Metrics &metrics;
    std::atomic<double> httpCpuSeconds{0};
    std::atomic<double> linksCpuSeconds{0};
    std::atomic<std::int64_t> requestsRead{0};
    std::atomic<std::int64_t> oldestReadMs{0};

    ControlWork work = ControlWork::Timers;
    double workBeganCpuSeconds = 0;
    std::array<double, WorkCount> workCpuSeconds{};
    std::int64_t requestsDecided = 0;
    std::int64_t oldestDecidedMs = 0;
    std::int64_t requestsRefusedUnread = 0;
    std::int64_t latestHeartbeatMs = 0;

    std::int64_t reportedMs = 0;
    double reportedProcessSeconds = 0;
    double reportedHttpSeconds = 0;
    double reportedLinksSeconds = 0;
};

} // namespace Gateway
