#include "Transient/OrphanRelay.h"

#include <algorithm>
#include <limits>

namespace Transient {

namespace {

/// Lists that arrive together are passed on together.
constexpr std::int64_t UrgentIntervalMs = 5;
/// With it, a list passes through four gateways well before a caller submits again.
constexpr std::int64_t IntervalMs = 100;
/// Longer than an orphaned job can last. Until then the change number tells older lists that arrive
/// late.
constexpr std::int64_t RetentionMs = 30'000;

} // namespace

bool hasJob(const std::vector<std::string> &jobs, const std::string &job)
{
    return std::binary_search(jobs.begin(), jobs.end(), job);
}

bool hasNewJob(const std::vector<std::string> &jobs, const std::vector<std::string> &before)
{
    return !std::includes(before.begin(), before.end(), jobs.begin(), jobs.end());
}

void updateList(OrphanRelay &relay, const std::string &agent, const Schema::OrphanedJobs &orphans,
                std::int64_t reportedMs)
{
    RelayedOrphans &known = relay.lists[agent];
    if (orphans.change.value_or(0) <= known.orphans.change.value_or(0)) {
        return;
    }
    relay.urgentChange += hasNewJob(orphans.held, known.orphans.held) ? 1 : 0;
    relay.change += hasNewJob(orphans.unanswered, known.orphans.unanswered) ? 1 : 0;
    known.orphans = orphans;
    known.reportedMs = reportedMs;
}

void endList(OrphanRelay &relay, const std::string &agent, Common::Moment now)
{
    const auto found = relay.lists.find(agent);
    if (found != relay.lists.end()) {
        Schema::OrphanedJobs none;
        none.change = found->second.orphans.change.value_or(0) + 1;
        updateList(relay, agent, none, now.steadyMs);
    }
}

void receiveLists(OrphanRelay &relay, ToldOrphans &told,
                  const std::vector<Schema::OrphanList> &lists, Common::Moment now)
{
    for (const Schema::OrphanList &list : lists) {
        std::int64_t &toldChange = told.lists[list.agent];
        toldChange = std::max(toldChange, list.orphans.change.value_or(0));
        updateList(relay, list.agent, list.orphans, now.steadyMs - list.ageMs);
    }
}

std::vector<Schema::OrphanList> listsFor(const OrphanRelay &relay, ToldOrphans &told,
                                         Common::Moment now)
{
    std::vector<Schema::OrphanList> lists;
    for (const auto &[agent, list] : relay.lists) {
        const std::int64_t change = list.orphans.change.value_or(0);
        std::int64_t &toldChange = told.lists[agent];
        if (change > toldChange) {
            toldChange = change;
            lists.push_back({now.steadyMs - list.reportedMs, agent, list.orphans});
        }
    }
    told.urgentChange = relay.urgentChange;
    told.change = relay.change;
    return lists;
}

std::int64_t nextListsMs(const OrphanRelay &relay, const ToldOrphans &told, std::int64_t sentMs)
{
    if (told.urgentChange != relay.urgentChange) {
        return sentMs + UrgentIntervalMs;
    }
    return told.change != relay.change ? sentMs + IntervalMs
                                       : std::numeric_limits<std::int64_t>::max();
}

bool isRelayed(const OrphanRelay &relay, const OrphanTimes &times, const std::string &job,
               Common::Moment now)
{
    return std::any_of(relay.lists.begin(), relay.lists.end(), [&](const auto &entry) {
        if (entry.first == relay.self) {
            return false;
        }
        const RelayedOrphans &list = entry.second;
        const std::int64_t ageMs = now.steadyMs - list.reportedMs;
        return (ageMs < times.heldMs + OrphansRefreshMs && hasJob(list.orphans.held, job))
               || (ageMs < times.unansweredMs + OrphansRefreshMs
                   && hasJob(list.orphans.unanswered, job));
    });
}

void removeOldLists(OrphanRelay &relay, Common::Moment now)
{
    for (auto entry = relay.lists.begin(); entry != relay.lists.end();) {
        const bool isOld = now.steadyMs > entry->second.reportedMs + RetentionMs;
        entry = isOld ? relay.lists.erase(entry) : std::next(entry);
    }
}

} // namespace Transient
