#pragma once

#include <cstdint>
#include <vector>

#include "Schema/Schema.h"

/// What comes back from the platform's log, as decisions see it.
namespace Dispatch {

/// How an append ended. Unknown means that the records may have been written.
enum class AppendStatus { Durable, Unknown, Refused, Unavailable };

/// One delivery of a stream, in log order.
struct LogRead
{
    std::vector<Schema::LogEntry> entries;
    /// Offset from which the next read goes on.
    std::int64_t nextOffset = 0;
    /// True when nothing more was there at the time of the read.
    bool atEnd = false;
    /// Above the offset asked for when retention has dropped records.
    std::int64_t oldestOffset = 0;
};

} // namespace Dispatch
