#include "Agent/AgentMetrics.h"

#include <algorithm>
#include <ctime>

namespace Agent {

namespace {

double threadCpuSeconds()
{
    constexpr double NanosPerSecond = 1e9;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / NanosPerSecond;
}

double answeredLinks(const AgentState &state)
{
    const auto &endpoints = state.links.endpoints;
    return static_cast<double>(
            std::count_if(endpoints.begin(), endpoints.end(),
                          [](const auto &entry) { return entry.second.answered; }));
}

} // namespace

void publishState(Common::Metrics &metrics, const AgentState &state, Common::Moment now)
{
    constexpr double MillisPerSecond = 1000;
    const auto count = [](std::size_t size) { return static_cast<double>(size); };
    metrics.set("auburntrail_agent_running_tasks", count(state.slots.running.size()));
    metrics.set("auburntrail_agent_queued_tasks", count(state.slots.queue.size()));
    metrics.set("auburntrail_agent_remembered_tasks", count(state.outcomes.records.size()));
    metrics.set("auburntrail_agent_owed_states", count(state.outcomes.pendingReports.size()));
    metrics.set("auburntrail_agent_result_bytes", count(state.outcomes.resultBytes));
    metrics.set("auburntrail_agent_links", answeredLinks(state));
    metrics.set("auburntrail_agent_backend_healthy", state.healthy ? 1 : 0);
    metrics.set("auburntrail_agent_draining", isDraining(state) ? 1 : 0);
    metrics.set("auburntrail_agent_lease_left_seconds",
                static_cast<double>(leaseLeftMs(state.fence, now)) / MillisPerSecond);
    metrics.set("auburntrail_agent_config_version", static_cast<double>(state.configVersion));
    metrics.set("auburntrail_agent_table_version", static_cast<double>(state.fence.tableVersion));
}

void publishTraffic(Common::Metrics &metrics, const Net::PeerHubTraffic &traffic)
{
    const auto count = [](std::uint64_t number) { return static_cast<double>(number); };
    metrics.set("auburntrail_agent_frames_sent", count(traffic.framesSent));
    metrics.set("auburntrail_agent_frames_received", count(traffic.framesReceived));
    metrics.set("auburntrail_agent_bytes_sent", count(traffic.bytesSent));
    metrics.set("auburntrail_agent_bytes_received", count(traffic.bytesReceived));
    metrics.set("auburntrail_agent_malformed_frames", count(traffic.malformedFrames));
    metrics.set("auburntrail_agent_control_cpu_seconds", threadCpuSeconds());
}

} // namespace Agent
