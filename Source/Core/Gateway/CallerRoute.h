#pragma once

#include <optional>
#include <string>

#include "Common/Common.h"
#include "platform/CallerCalls.h"
#include "Schema/Schema.h"

namespace Gateway {

constexpr const char *NoJobIdDetail = "the path must end with a job's id";

/// What the path of a caller's request names.
struct CallerRoute
{
    /// In the table that was searched.
    const Schema::JobQueue *queue = nullptr;
    /// Nothing if the path is that of the queue itself.
    std::optional<Platform::JobId> job;
};

/// Finds the queue that a path belongs to, and the id behind the queue's prefix. The prefix need
/// not end with a slash, so that an id is known only together with its queue. Fails with
/// NoConfiguration, with UnknownQueue, or with Malformed if what follows the prefix is no id.
Common::Outcome<CallerRoute> findRoute(const Schema::QueueTable &queues, const std::string &host,
                                       const std::string &path);

} // namespace Gateway
