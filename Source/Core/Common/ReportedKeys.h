#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace Common {

/// Keys that were reported once and are not to be reported again.
struct ReportedKeys
{
    /// Others are not reported: whoever leaves thousands of odd records must not fill the memory or
    /// the log.
    std::size_t limit = 1000;
    std::set<std::string> keys;
};

/// Returns true if \a key is new and below the limit.
inline bool addReported(ReportedKeys &reported, const std::string &key)
{
    return reported.keys.size() < reported.limit && reported.keys.insert(key).second;
}

} // namespace Common
