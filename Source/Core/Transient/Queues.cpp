#include "Transient/Queues.h"

#include <algorithm>
#include <utility>

namespace Transient {

namespace {

/// Longer than a gateway needs to read a new table from the store.
constexpr std::int64_t ReadFromStoreMs = 500;
/// A gateway without any table serves nobody.
constexpr std::int64_t FirstReadFromStoreMs = 200;
constexpr std::int64_t RepeatMs = 1000;

} // namespace

bool takeQueues(Schema::QueueTable &inForce, Schema::QueueTable newer)
{
    if (newer.version <= inForce.version) {
        return false;
    }
    inForce = std::move(newer);
    return true;
}

void observeQueuesVersion(QueuesPeer &peer, std::int64_t announced, std::int64_t inForce,
                          Common::Moment now)
{
    const bool hasProgressed = announced > peer.version;
    peer.version = std::max(peer.version, announced);
    if (inForce <= peer.version) {
        peer.behindSinceMs.reset();
        peer.sentMs.reset();
    } else if (hasProgressed || !peer.behindSinceMs) {
        peer.behindSinceMs = now.steadyMs;
    }
}

bool takeQueuesDue(QueuesPeer &peer, Common::Moment now)
{
    if (!peer.behindSinceMs) {
        return false;
    }
    const std::int64_t readMs = peer.version == 0 ? FirstReadFromStoreMs : ReadFromStoreMs;
    const bool hadTime = now.steadyMs >= *peer.behindSinceMs + readMs;
    const bool isOnTheWay = peer.sentMs && now.steadyMs < *peer.sentMs + RepeatMs;
    if (!hadTime || isOnTheWay) {
        return false;
    }
    peer.sentMs = now.steadyMs;
    return true;
}

const Schema::JobQueue *findQueue(const Schema::QueueTable &queues, const std::string &host,
                                  const std::string &path)
{
    const Schema::JobQueue *longest = nullptr;
    for (const Schema::JobQueue &queue : queues.queues) {
        const bool fits = queue.host == host && path.rfind(queue.path, 0) == 0;
        if (fits && (longest == nullptr || queue.path.size() > longest->path.size())) {
            longest = &queue;
        }
    }
    return longest;
}

bool servesSamePaths(const Schema::JobQueue &a, const Schema::JobQueue &b)
{
    return a.host == b.host && a.path == b.path;
}

} // namespace Transient
