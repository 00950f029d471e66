#pragma once

#include <string>

#include "Schema/Schema.h"

/// Queues for tests of gateways.
namespace TestQueues {

inline Schema::JobQueue queueAt(const std::string &host, const std::string &path)
{
    Schema::JobQueue queue;
    queue.name = host + path;
    queue.host = host;
    queue.path = path;
    return queue;
}

} // namespace TestQueues
