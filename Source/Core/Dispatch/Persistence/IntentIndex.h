#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Schema/Schema.h"

/// Index of the intents in the journal that are still within the dedup window, by a 128-bit hash of
/// the job's id. A new owner looks up the jobs of its predecessor here. The ids themselves are not
/// stored, so that the memory for an id is small and does not depend on its length.
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
    /// Hashed ids by the time from which they can be removed, in steps of 5 s.
    std::map<std::int64_t, std::vector<ContentHash>> byExpiry;
};

/// Heap bytes per id in an index of a million ids.
constexpr std::size_t IndexBytesPerIntent = 118;

/// Adds an intent. Does nothing if the job is already indexed or its dedup window has passed.
void indexIntent(IntentIndex &index, const Schema::Intent &intent, std::int64_t dedupWindowMs,
                 std::int64_t nowWallMs);
std::optional<JournaledIntent> lookUpIntent(const IntentIndex &index, const std::string &job);
/// Whether a resubmission with \a digest has the same content as the first submission.
bool sameContent(const JournaledIntent &intent, const std::string &digest);
void expireIntents(IntentIndex &index, std::int64_t nowWallMs);

} // namespace Dispatch
