#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Schema/Schema.h"

/// Every intent in the journal that is still within the dedup window, by 128-bit hash of the job's
/// id: what a successor knows of its predecessor's jobs. Ids are not kept whole, so that the memory
/// for an id is small and does not depend on its length.
namespace Dispatch {

struct ContentHash
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool operator==(const ContentHash &other) const
    {
        return this->high == other.high && this->low == other.low;
    }
};

ContentHash contentHash(const std::string &text);

struct ContentHashHasher
{
    std::size_t operator()(const ContentHash &hash) const { return hash.low; }
};

struct JournaledIntent
{
    ContentHash digest;
    std::int64_t firstSubmittedMs = 0;
    std::int32_t tasks = 0;
};

struct IntentIndex
{
    std::unordered_map<ContentHash, JournaledIntent, ContentHashHasher> intents;
    /// Ids by the time from which they can be forgotten, in steps of some seconds.
    std::map<std::int64_t, std::vector<ContentHash>> byExpiry;
};

/// Bytes of heap for one id, as measured with a million of them.
constexpr std::size_t IndexBytesPerIntent = 118;

/// Does nothing for a job that is known, or whose window has passed.
void indexIntent(IntentIndex &index, const Schema::Intent &intent, std::int64_t dedupWindowMs,
                 std::int64_t nowWallMs);
std::optional<JournaledIntent> lookUpIntent(const IntentIndex &index, const std::string &job);
/// Whether a resubmission with \a digest has the content of the first.
bool sameContent(const JournaledIntent &intent, const std::string &digest);
void expireIntents(IntentIndex &index, std::int64_t nowWallMs);

} // namespace Dispatch
