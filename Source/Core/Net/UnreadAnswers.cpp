#include "Net/UnreadAnswers.h"

#include <algorithm>
#include <limits>

namespace Net {

namespace {

std::size_t totalBytes(const std::vector<UnreadAnswer> &unread)
{
    std::size_t total = 0;
    for (const UnreadAnswer &answer : unread) {
        total += answer.bytes;
    }
    return total;
}

} // namespace

std::vector<DroppedAnswer> answersToDrop(std::vector<UnreadAnswer> unread,
                                         const UnreadLimits &limits, std::int64_t nowMs)
{
    std::sort(unread.begin(), unread.end(), [](const UnreadAnswer &a, const UnreadAnswer &b) {
        return a.lastProgressMs < b.lastProgressMs;
    });
    std::size_t remainingBytes = totalBytes(unread);
    std::size_t remaining = unread.size();
    std::vector<DroppedAnswer> dropped;
    for (const UnreadAnswer &answer : unread) {
        const std::int64_t stalledMs = nowMs - answer.lastProgressMs;
        const bool isStalled = stalledMs >= limits.maxStall.count();
        const bool isIdle = stalledMs >= limits.idleAfter.count();
        const std::size_t room = isIdle ? limits.maxIdleBytes : limits.maxBytes;
        const bool exceedsMemory = remainingBytes > room && remaining > 1;
        if (!isStalled && !exceedsMemory) {
            break;
        }
        dropped.push_back({answer.connection, answer.bytes,
                           isStalled ? DropCause::Stalled : DropCause::Memory});
        remainingBytes -= answer.bytes;
        --remaining;
    }
    return dropped;
}

std::int64_t nextDropMs(const std::vector<UnreadAnswer> &unread, const UnreadLimits &limits,
                        std::int64_t nowMs)
{
    const bool isShortOfMemory = totalBytes(unread) > limits.maxIdleBytes;
    std::int64_t earliestMs = std::numeric_limits<std::int64_t>::max();
    for (const UnreadAnswer &answer : unread) {
        const std::int64_t idleMs = answer.lastProgressMs + limits.idleAfter.count();
        if (isShortOfMemory && idleMs > nowMs) {
            earliestMs = std::min(earliestMs, idleMs);
        }
        earliestMs = std::min(earliestMs, answer.lastProgressMs + limits.maxStall.count());
    }
    return earliestMs;
}

} // namespace Net
