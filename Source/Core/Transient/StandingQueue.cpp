#include "Transient/StandingQueue.h"

namespace Transient {

void observeRequestAge(StandingQueue &queue, std::int64_t ageMs, std::int64_t nowMs)
{
    // A request that arrived after the one before was handled found no queue. If it is old all the
    // same, it was held up in a pause, as of a frozen process, which says nothing of the time that
    // this process has now.
    const bool wasEmpty = nowMs - ageMs > queue.observedMs;
    queue.observedMs = nowMs;
    if (ageMs < FreshRequestMs) {
        queue.agedSinceMs.reset();
        return;
    }
    if (!queue.agedSinceMs || wasEmpty) {
        queue.agedSinceMs = nowMs;
    }
    if (nowMs >= *queue.agedSinceMs + StandingAfterMs) {
        queue.standingMs = nowMs;
    }
}

bool isStanding(const StandingQueue &queue, std::int64_t nowMs)
{
    return queue.agedSinceMs && nowMs >= *queue.agedSinceMs + StandingAfterMs
           && nowMs <= queue.observedMs + StandingAfterMs;
}

bool wasStandingSince(const StandingQueue &queue, std::int64_t sinceMs)
{
    return queue.standingMs && *queue.standingMs >= sinceMs;
}

} // namespace Transient
