#include "Transient/Queues.h"

#include <utility>

namespace Transient {

bool takeQueues(Schema::QueueTable &inForce, Schema::QueueTable newer)
{
    if (newer.version <= inForce.version) {
        return false;
    }
    inForce = std::move(newer);
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

} // namespace Transient
