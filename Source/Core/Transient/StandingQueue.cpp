#include "Transient/StandingQueue.h"

namespace Transient {

void observeRequestAge(StandingQueue &queue, std::int64_t ageMs, std::int64_t nowMs)
{
    // Requests that are old after a pause without any were held up elsewhere, as in a frozen
    // process, which says nothing of the time that this process has now.
    const bool wasPaused = nowMs > queue.observedMs + StandingAfterMs;
    queue.observedMs = nowMs;
    if (ageMs < FreshRequestMs) {
        queue.agedSinceMs.reset();
        return;
    }
    if (!queue.agedSinceMs || wasPaused) {
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
