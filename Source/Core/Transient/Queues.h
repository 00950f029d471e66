#pragma once

#include <string>

#include "Schema/Schema.h"

/// Queue table, and the queue that a request belongs to.
namespace Transient {

/// Replaces the table in force by \a newer. Returns false, and changes nothing, if that is not
/// newer: a process never goes back to an older table.
bool takeQueues(Schema::QueueTable &inForce, Schema::QueueTable newer);

/// The queue of \a host with the longest path that is a prefix of \a path; null if there is none.
/// The paths of queues may overlap.
const Schema::JobQueue *findQueue(const Schema::QueueTable &queues, const std::string &host,
                                  const std::string &path);

} // namespace Transient
