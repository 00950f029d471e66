#include "Net/TrafficReport.h"

namespace Net {

namespace {

struct TrafficDifference
{
    std::string type;
    FrameTraffic traffic;
};

std::vector<TrafficDifference> difference(const FrameTrafficByType &traffic,
                                          const FrameTrafficByType &before)
{
    std::vector<TrafficDifference> differences;
    for (const auto &[type, counted] : traffic) {
        const auto found = before.find(type);
        const FrameTraffic known = found == before.end() ? FrameTraffic{} : found->second;
        if (counted.frames > known.frames) {
            differences.push_back({Schema::enumName(type),
                                   {counted.frames - known.frames, counted.bytes - known.bytes}});
        }
    }
    return differences;
}

} // namespace

void publishTraffic(Common::Metrics &metrics, const PeerHubTraffic &traffic,
                    const PeerHubTraffic &published)
{
    const auto publish = [&metrics](const std::string &direction, const auto &differences) {
        for (const TrafficDifference &one : differences) {
            const Common::MetricLabels labels{{"direction", direction}, {"type", one.type}};
            metrics.count("auburntrail_peer_frames_total", labels,
                          static_cast<double>(one.traffic.frames));
            metrics.count("auburntrail_peer_bytes_total", labels,
                          static_cast<double>(one.traffic.bytes));
        }
    };
    publish("sent", difference(traffic.sent, published.sent));
    publish("received", difference(traffic.received, published.received));
    metrics.set("auburntrail_peer_unsent_bytes", static_cast<double>(traffic.unsentBytes));
}

std::vector<std::pair<std::string, std::string>> trafficFields(const PeerHubTraffic &traffic,
                                                               const PeerHubTraffic &before)
{
    std::vector<std::pair<std::string, std::string>> fields;
    const auto add = [&fields](const std::string &direction, const auto &differences) {
        for (const TrafficDifference &one : differences) {
            const std::string name = direction + '_' + one.type;
            fields.emplace_back(name, std::to_string(one.traffic.frames));
            fields.emplace_back(name + "_bytes", std::to_string(one.traffic.bytes));
        }
    };
    add("sent", difference(traffic.sent, before.sent));
    add("received", difference(traffic.received, before.received));
    return fields;
}

} // namespace Net
