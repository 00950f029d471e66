#include "Dispatch/Persistence/IntentIndex.h"

#include "Common/Hash.h"

namespace Dispatch {

namespace {

constexpr std::int64_t ExpiryStepMs = 5000;
constexpr std::size_t HexDigitsOfWord = 16;
constexpr int HexBase = 16;

} // namespace

ContentHash contentHash(const std::string &text)
{
    const std::string hex = Common::digest(text);
    ContentHash hash;
    hash.high = std::stoull(hex.substr(0, HexDigitsOfWord), nullptr, HexBase);
    hash.low = std::stoull(hex.substr(HexDigitsOfWord), nullptr, HexBase);
    return hash;
}

void indexIntent(IntentIndex &index, const Schema::Intent &intent, std::int64_t dedupWindowMs,
                 std::int64_t nowWallMs)
{
    const std::int64_t expiresMs = intent.firstSubmittedMs + dedupWindowMs;
    if (expiresMs < nowWallMs) {
        return;
    }
    const ContentHash key = contentHash(intent.job);
    JournaledIntent entry;
    entry.digest = contentHash(intent.digest);
    entry.firstSubmittedMs = intent.firstSubmittedMs;
    entry.tasks = static_cast<std::int32_t>(intent.tasks);
    if (index.intents.emplace(key, entry).second) {
        index.byExpiry[expiresMs / ExpiryStepMs + 1].push_back(key);
    }
}

std::optional<JournaledIntent> lookUpIntent(const IntentIndex &index, const std::string &job)
{
    const auto found = index.intents.find(contentHash(job));
    if (found == index.intents.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool sameContent(const JournaledIntent &intent, const std::string &digest)
{
    return intent.digest == contentHash(digest);
}

void expireIntents(IntentIndex &index, std::int64_t nowWallMs)
{
    while (!index.byExpiry.empty() && index.byExpiry.begin()->first * ExpiryStepMs < nowWallMs) {
        for (const ContentHash &key : index.byExpiry.begin()->second) {
            index.intents.erase(key);
        }
        index.byExpiry.erase(index.byExpiry.begin());
    }
}

} // namespace Dispatch
