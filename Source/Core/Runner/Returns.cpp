#include "Runner/Returns.h"

#include <algorithm>
#include <cmath>

#include "Runner/Forecast.h"
#include "Runner/Load.h"
#include "Runner/Runs.h"

namespace Runner {

namespace {

constexpr const char *ReturnCounter = "auburntrail_runner_returns_total";

/// Whether the task was never sent to the backend server, and its order limits its wait.
bool isReturnable(const Run &run)
{
    return run.phase == RunPhase::Queued && run.longestWaitMs && run.startTries == 0;
}

bool anyReturnable(const RunnerState &state)
{
    return std::any_of(state.queue.begin(), state.queue.end(),
                       [&state](RunId id) { return isReturnable(state.runs.at(id)); });
}

} // namespace

Effects returnBusyTasks(RunnerState &state, Common::Moment now)
{
    Effects effects;
    if (!anyReturnable(state)) {
        return effects;
    }
    double longestMs = 0;
    std::vector<RunId> returned;
    const auto staysFor = [&](const Run &run, double waitMs) {
        const auto soFarMs = static_cast<double>(now.steadyMs - run.orderedMs);
        const bool stays = !isReturnable(run)
                           || (soFarMs < static_cast<double>(*run.longestWaitMs)
                               && soFarMs + waitMs <= static_cast<double>(*run.longestWaitMs));
        if (!stays) {
            longestMs = std::max(longestMs, soFarMs + waitMs);
        }
        return stays;
    };
    for (const RunId id : runsNotStaying(state, staysFor, now)) {
        returned.push_back(id);
    }
    if (returned.empty()) {
        return effects;
    }
    effects.emplace_back(Transient::LogLine{
            "tasks_returned",
            {{"tasks", std::to_string(returned.size())},
             {"expected_wait_ms", std::to_string(static_cast<std::int64_t>(longestMs))},
             {"queued", std::to_string(state.queue.size())},
             {"processors",
              std::to_string(static_cast<std::int64_t>(occupied(state).processors))}}});
    for (const RunId id : returned) {
        finishRun(state, effects, id, Schema::AttemptPhase::NotStarted, Schema::Reason::BackendBusy,
                  now);
        effects.emplace_back(Transient::CountReason{ReturnCounter, Schema::Reason::BackendBusy});
    }
    return effects;
}

std::optional<std::int64_t> nextReturnMs(const RunnerState &state)
{
    std::optional<std::int64_t> next;
    for (const RunId id : state.queue) {
        const Run &run = state.runs.at(id);
        if (isReturnable(run)) {
            const std::int64_t dueMs = run.orderedMs + *run.longestWaitMs;
            next = std::min(next.value_or(dueMs), dueMs);
        }
    }
    return next;
}

} // namespace Runner
