#include "Agent/Windows.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Agent {

namespace {

struct Want
{
    std::string gateway;
    std::int64_t amount = 0;
};

std::vector<Want> smallestFirst(const Demands &demands)
{
    std::vector<Want> wants;
    for (const auto &[gateway, demand] : demands) {
        wants.push_back({gateway, demand.held + demand.waiting});
    }
    std::stable_sort(wants.begin(), wants.end(), [](const Want &left, const Want &right) {
        return left.amount < right.amount;
    });
    return wants;
}

} // namespace

Windows splitSlots(std::int64_t slots, const Demands &demands)
{
    const std::vector<Want> wants = smallestFirst(demands);
    std::int64_t wantedInAll = 0;
    for (const Want &want : wants) {
        wantedInAll += want.amount;
    }
    Windows windows;
    std::int64_t left = slots;
    auto sharers = static_cast<std::int64_t>(wants.size());
    for (const Want &want : wants) {
        const std::int64_t share = std::min(want.amount, left / sharers);
        const std::int64_t unwantedByOthers = slots - (wantedInAll - want.amount);
        windows[want.gateway] = std::max({share, unwantedByOthers, std::int64_t{1}});
        left -= share;
        --sharers;
    }
    return windows;
}

} // namespace Agent
