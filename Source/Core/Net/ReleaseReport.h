#pragma once

#include <cstdint>
#include <mutex>
#include <string>

#include "Net/Holdings.h"

namespace Net {

/// Logs connections that are given up and requests that are refused for want of room: at most one
/// line of each kind in an interval, with the number of those that are not shown.
class ReleaseReport
{
public:
    void setListener(Listener listener) { this->listener = listener; }
    void released(const Release &release, const std::string &client, std::int64_t nowMs);
    void refused(std::size_t bytes, const std::string &client, std::int64_t nowMs);

private:
    struct Interval
    {
        std::int64_t untilMs = 0;
        std::uint64_t suppressed = 0;
    };

    bool isDue(Interval &interval, std::int64_t nowMs, std::uint64_t &suppressed);

    Listener listener = Listener::Callers;
    std::mutex mutex;
    Interval releases;
    Interval refusals;
};

} // namespace Net
