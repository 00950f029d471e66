#pragma once

#include <cstdint>
#include <vector>

#include "Schema/Schema.h"

/// Results of appends to and reads from the platform's log, in the form used by the decision code.
namespace Dispatch {

/// Result of an append. Unknown means that the records may have been written.
enum class AppendStatus { Durable, Unknown, Refused, Unavailable };

/// Result of one read of a stream, in log order.
struct LogRead
{
    std::vector<Schema::LogEntry> entries;
    /// Offset at which the next read continues.
    std::int64_t nextOffset = 0;
    /// True if the stream had no further records at the time of the read.
    bool atEnd = false;
    /// Oldest offset in the stream; above the requested offset if retention has dropped records.
    std::int64_t oldestOffset = 0;
};

} // namespace Dispatch
