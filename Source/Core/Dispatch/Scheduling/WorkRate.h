#pragma once

#include <cmath>
#include <cstdint>

namespace Dispatch {

/// Exponentially decaying sum of admitted work, from which the rate over the last seconds is
/// computed. Work is in milliseconds of one slot.
struct WorkRate
{
    double workMs = 0;
    std::int64_t atMs = 0;
};

/// Long enough to bridge a pause between two jobs, and short compared with a deadline of 30 s.
constexpr double RateTimeConstantMs = 2000;

inline void addWork(WorkRate &rate, double workMs, std::int64_t nowMs)
{
    const auto age = static_cast<double>(nowMs - rate.atMs);
    rate.workMs = rate.workMs * std::exp(-age / RateTimeConstantMs) + workMs;
    rate.atMs = nowMs;
}

/// Average work per millisecond over the last seconds.
inline double workPerMs(const WorkRate &rate, std::int64_t nowMs)
{
    const auto age = static_cast<double>(nowMs - rate.atMs);
    return rate.workMs * std::exp(-age / RateTimeConstantMs) / RateTimeConstantMs;
}

} // namespace Dispatch
