#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "Common/Common.h"
#include "Schema/Schema.h"

/// Queue table, and the queue that a request belongs to.
namespace Transient {

/// Replaces the table in force by \a newer. Returns false, and changes nothing, if that is not
/// newer: a process never goes back to an older table.
bool takeQueues(Schema::QueueTable &inForce, Schema::QueueTable newer);

/// What another gateway has, as far as this one knows.
///
/// Load pattern: the operator writes six tables a second, and every gateway reads them from the
/// store. When each also sent them to all others, each of 12 gateways received up to 209 tables a
/// second, 1.5 MB, and jobs earned less than half of their worth meanwhile.
struct QueuesPeer
{
    /// Version that it announced last; 0 if it has none.
    std::int64_t version = 0;
    /// Since when it has had an older table than this gateway without progress.
    std::optional<std::int64_t> behindSinceMs;
    /// When the table in force was last sent to it.
    std::optional<std::int64_t> sentMs;
};

/// Takes note of the version that the peer has announced.
void observeQueuesVersion(QueuesPeer &peer, std::int64_t announced, std::int64_t inForce,
                          Common::Moment now);

/// Returns true if the table in force has to be sent to the peer now, and takes note of it.
/// Gateways read the store themselves: only one that stays behind is sent the table.
bool takeQueuesDue(QueuesPeer &peer, Common::Moment now);

/// The queue of \a host with the longest path that is a prefix of \a path; null if there is none.
/// The paths of queues may overlap.
const Schema::JobQueue *findQueue(const Schema::QueueTable &queues, const std::string &host,
                                  const std::string &path);

/// Whether both serve the same paths. The name and the service of a queue may change while it has
/// jobs.
bool servesSamePaths(const Schema::JobQueue &a, const Schema::JobQueue &b);

} // namespace Transient
