#pragma once

#include <string>

#include "Schema/Schema.h"

/// Which queue a request belongs to.
namespace Transient {

/// Takes \a newer over. False where it isn't newer than what is in force: a process never goes
/// back.
bool takeQueues(Schema::QueueTable &inForce, Schema::QueueTable newer);

/// The queue of \a host with the longest path that \a path begins with; null where there is none.
/// Paths of queues overlap.
const Schema::JobQueue *findQueue(const Schema::QueueTable &queues, const std::string &host,
                                  const std::string &path);

} // namespace Transient
