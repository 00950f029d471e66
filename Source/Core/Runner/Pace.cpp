#include "Runner/Pace.h"

#include <algorithm>
#include <cmath>

#include "Runner/Runs.h"

namespace Runner {

namespace {

using Schema::Reason;

/// Before this time, a run without progress may only just have begun.
constexpr std::int64_t MinPaceSampleMs = 25;
/// Share of the expected run time after which progress in whole percents shows the pace.
constexpr double MinPaceSampleShare = 0.1;
constexpr std::int64_t MinTimeLeftMs = 5;
constexpr double WholePercent = 100;
/// Progress is truncated to whole percents; the middle of the step is assumed.
constexpr double HalfPercent = 0.5;
constexpr double MaxRatio = 20;
/// A slowdown that no run shows any more decays, so that the backend server is tried again.
constexpr double SlowdownHalfLifeMs = 1500;
/// From this factor on the backend server itself is slow: declared times are off by less on average
/// over its tasks.
constexpr double SlowThreshold = 2;
/// From this factor on runs have practically no chance there. Runs that are merely slow are not
/// moved: under a load that other backend servers cannot take over, moving them discards their work
/// and makes other tasks late.
constexpr double StandstillThreshold = 6;
/// Time to stop a run, to confirm that it is over and to send its task to another backend server.
constexpr std::int64_t MoveMs = 40;
/// A task that was slow on this many backend servers is slow by itself.
constexpr std::int64_t MaxMoves = 2;

/// Total run time, extrapolated from the progress at the last observation.
double projectedRunMs(const Run &run)
{
    const auto observedMs = static_cast<double>(run.progressSeenMs - run.startedMs);
    return std::max(observedMs, 1.0) * WholePercent / (run.percent + HalfPercent);
}

double ratioOf(const Run &run)
{
    const double expectedMs = std::max(static_cast<double>(run.expectedMs), 1.0);
    return std::clamp(projectedRunMs(run) / expectedMs, 1 / MaxRatio, MaxRatio);
}

/// Run time that the task itself would need on a backend server of normal speed, at least the
/// expected one.
double intrinsicRunMs(const Run &run, double slowdown)
{
    const double intrinsicRatio = std::max(ratioOf(run) / slowdown, 1.0);
    return static_cast<double>(run.expectedMs) * intrinsicRatio;
}

bool isBetterElsewhere(const Run &run, double slowdown, Common::Moment now)
{
    if (run.attempt > MaxMoves || !isPaceKnown(run)) {
        return false;
    }
    const auto leftMs = static_cast<double>(timeLeftMs(run, now));
    const double elsewhereMs = intrinsicRunMs(run, slowdown) + static_cast<double>(MoveMs);
    const auto untilTargetMs = static_cast<double>(run.targetMs - now.steadyMs);
    return leftMs > untilTargetMs && leftMs > 2 * elsewhereMs;
}

} // namespace

bool isPaceKnown(const Run &run)
{
    const auto observedMs = static_cast<double>(run.progressSeenMs - run.startedMs);
    return run.phase == RunPhase::Running
           && observedMs >= std::max(static_cast<double>(MinPaceSampleMs),
                                     MinPaceSampleShare * static_cast<double>(run.expectedMs));
}

std::int64_t timeLeftMs(const Run &run, Common::Moment now)
{
    if (run.phase != RunPhase::Running) {
        return std::max(run.expectedMs, MinTimeLeftMs);
    }
    const std::int64_t soFarMs = now.steadyMs - run.startedMs;
    if (!isPaceKnown(run)) {
        return std::max(run.expectedMs - soFarMs, MinTimeLeftMs);
    }
    const double boundedMs = ratioOf(run) * static_cast<double>(run.expectedMs);
    return std::max(static_cast<std::int64_t>(boundedMs) - soFarMs, MinTimeLeftMs);
}

void updateSlowdown(RunnerState &state, Common::Moment now)
{
    double sum = 0;
    double count = 0;
    for (const auto &[id, run] : state.runs) {
        if (isPaceKnown(run)) {
            sum += std::log(ratioOf(run));
            count += 1;
        }
    }
    if (count == 0) {
        return;
    }
    // Adds one run at the expected pace: a single run may be long by itself.
    state.logSlowdown = sum / (count + 1);
    state.slowdownUpdatedMs = now.steadyMs;
}

double slowdownOf(const RunnerState &state, Common::Moment now)
{
    const auto idleMs = static_cast<double>(now.steadyMs - state.slowdownUpdatedMs);
    const double slowdown = std::exp(state.logSlowdown * std::exp2(-idleMs / SlowdownHalfLifeMs));
    return slowdown < SlowThreshold ? 1 : slowdown;
}

Effects moveFromSlow(RunnerState &state, Common::Moment now)
{
    Effects effects;
    const double slowdown = slowdownOf(state, now);
    if (!state.decisions.movesFromSlow || slowdown < StandstillThreshold) {
        return effects;
    }
    std::vector<RunId> moving;
    for (const auto &[id, run] : state.runs) {
        if (mayStartLate(state, run, now)) {
            continue;
        }
        const bool isWaiting = run.phase == RunPhase::Queued && run.attempt <= MaxMoves;
        if (isWaiting || isBetterElsewhere(run, slowdown, now)) {
            moving.push_back(id);
        }
    }
    for (const RunId id : moving) {
        stopRun(state, effects, id, Reason::BackendSlow, now);
    }
    return effects;
}

} // namespace Runner
