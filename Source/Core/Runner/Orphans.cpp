#include "Runner/Orphans.h"

#include <algorithm>
#include <set>

#include "Runner/Runs.h"

namespace Runner {

namespace {

/// Most unanswered starts are resolved by their first stop within this time, and need not be
/// reported to the gateways.
constexpr std::int64_t UnansweredGraceMs = 50;

std::int64_t suspectAtMs(const RunnerState &state, std::int64_t grantedUntilMs)
{
    return grantedUntilMs - state.times.grantMs + state.times.suspectMs;
}

bool isSuspect(const RunnerState &state, const std::string &gateway, Common::Moment now)
{
    const auto grant = state.grants.find(gateway);
    return grant == state.grants.end() || now.steadyMs >= suspectAtMs(state, grant->second);
}

/// Whether the start of the run may still be in transit to the backend server.
bool mayStillStart(const Run &run)
{
    return run.phase != RunPhase::Queued && !run.isStartKnown && run.stopAcceptedMs == 0;
}

bool isStopUnconfirmed(const Run &run, Common::Moment now)
{
    return run.phase == RunPhase::Stopping
           && now.steadyMs >= run.stopRequestedMs + UnansweredGraceMs;
}

Schema::OrphanedJobs collectOrphans(const RunnerState &state, Common::Moment now)
{
    std::set<std::string> held;
    std::set<std::string> unanswered;
    for (const auto &[id, run] : state.runs) {
        const bool isHeld = isSuspect(state, run.gateway, now);
        const bool isUnanswered = isHeld ? mayStillStart(run) || mayStartLate(state, run, now)
                                         : mayStillStart(run) && isStopUnconfirmed(run, now);
        if (!isHeld && !isUnanswered) {
            continue;
        }
        const auto ref = Transient::parseTaskName(run.task);
        if (!ref) {
            continue;
        }
        if (isHeld) {
            held.insert(ref->job);
        }
        if (isUnanswered) {
            unanswered.insert(ref->job);
        }
    }
    return {std::nullopt, {held.begin(), held.end()}, {unanswered.begin(), unanswered.end()}};
}

} // namespace

void updateOrphans(RunnerState &state, Effects &effects, Common::Moment now)
{
    const Schema::OrphanedJobs orphans = collectOrphans(state, now);
    Schema::OrphanedJobs &before = state.orphans;
    const bool isEmpty = orphans.held.empty() && orphans.unanswered.empty();
    const bool isRefreshDue =
            !isEmpty && now.steadyMs >= state.orphansChangedMs + Transient::OrphansRefreshMs;
    if (orphans.held == before.held && orphans.unanswered == before.unanswered && !isRefreshDue) {
        return;
    }
    ++state.orphansChange;
    state.orphansChangedMs = now.steadyMs;
    if (Transient::hasNewJob(orphans.held, before.held)
        || Transient::hasNewJob(orphans.unanswered, before.unanswered)) {
        state.urgentOrphansChange = state.orphansChange;
        effects.emplace_back(
                Transient::LogLine{"jobs_orphaned",
                                   {{"held", std::to_string(orphans.held.size())},
                                    {"unanswered", std::to_string(orphans.unanswered.size())}}});
    }
    before = orphans;
    before.change = static_cast<std::int64_t>(state.orphansChange);
}

std::int64_t nextSuspectMs(const RunnerState &state, Common::Moment now)
{
    std::int64_t next = std::numeric_limits<std::int64_t>::max();
    if (state.runs.empty()) {
        return next;
    }
    for (const auto &[gateway, untilMs] : state.grants) {
        const std::int64_t atMs = suspectAtMs(state, untilMs);
        if (atMs > now.steadyMs) {
            next = std::min(next, atMs);
        }
    }
    return next;
}

} // namespace Runner
