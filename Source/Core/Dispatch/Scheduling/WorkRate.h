#pragma once

#include <cmath>
#include <cstdint>

namespace Dispatch {

/// Work offered in a millisecond, over the last seconds. Work is in milliseconds of one slot.
struct WorkRate
{
    double workMs = 0;
    std::int64_t atMs = 0;
};

/// Long enough to see through a pause between two jobs, short against a deadline of 30 s.
constexpr double RateTimeConstantMs = 2000;

inline void addWork(WorkRate &rate, double workMs, std::int64_t nowMs)
{
    const auto age = static_cast<double>(nowMs - rate.atMs);
    rate.workMs = rate.workMs * std::exp(-age / RateTimeConstantMs) + workMs;
    rate.atMs = nowMs;
}

inline double workPerMs(const WorkRate &rate, std::int64_t nowMs)
{
    const auto age = static_cast<double>(nowMs - rate.atMs);
    return rate.workMs * std::exp(-age / RateTimeConstantMs) / RateTimeConstantMs;
}

} // namespace Dispatch
