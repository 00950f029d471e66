#include "Gateway/CallerRoute.h"

#include <utility>

#include "Transient/Queues.h"

namespace Gateway {

using Schema::Reason;

Common::Outcome<CallerRoute> findRoute(const Schema::QueueTable &queues, const std::string &host,
                                       const std::string &path)
{
    if (queues.version == 0) {
        return Common::failure(Reason::NoConfiguration, "no configuration yet");
    }
    const Schema::JobQueue *queue = Transient::findQueue(queues, host, path);
    if (queue == nullptr) {
        return Common::failure(Reason::UnknownQueue, "no such queue");
    }
    if (path.size() == queue->path.size()) {
        return CallerRoute{queue, std::nullopt};
    }
    auto job = Platform::parseJobId(path.substr(queue->path.size()));
    if (!job) {
        return Common::failure(Reason::Malformed, NoJobIdDetail);
    }
    return CallerRoute{queue, std::move(job)};
}

} // namespace Gateway
