#include "Agent/Windows.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Agent {

namespace {

struct SlotRequest
{
    std::string gateway;
    std::int64_t amount = 0;
};

std::vector<SlotRequest> smallestFirst(const Demands &demands)
{
    std::vector<SlotRequest> requests;
    for (const auto &[gateway, demand] : demands) {
        requests.push_back({gateway, demand.held + demand.waiting});
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const SlotRequest &left, const SlotRequest &right) {
                         return left.amount < right.amount;
                     });
    return requests;
}

} // namespace

Windows splitSlots(std::int64_t slots, const Demands &demands)
{
    const std::vector<SlotRequest> requests = smallestFirst(demands);
    std::int64_t totalRequested = 0;
    for (const SlotRequest &request : requests) {
        totalRequested += request.amount;
    }
    Windows windows;
    std::int64_t left = slots;
    auto remainingGateways = static_cast<std::int64_t>(requests.size());
    for (const SlotRequest &request : requests) {
        const std::int64_t share = std::min(request.amount, left / remainingGateways);
        const std::int64_t unusedByOthers = slots - (totalRequested - request.amount);
        windows[request.gateway] = std::max({share, unusedByOthers, std::int64_t{1}});
        left -= share;
        --remainingGateways;
    }
    return windows;
}

} // namespace Agent
