#include "Runner/RunQueue.h"

#include <algorithm>
#include <tuple>

#include "Runner/Load.h"
#include "Runner/Observation.h"

namespace Runner {

namespace {

auto rankOf(const RunnerState &state, RunId id)
{
    const Run &run = state.runs.at(id);
    const bool isOrdered = state.decisions.ordersByUrgency;
    return std::make_tuple(isOrdered ? run.priority : 0,
                           isOrdered ? run.targetMs - run.expectedMs : 0, id);
}

bool hasOtherRun(const RunnerState &state, RunId id)
{
    const std::string &task = state.runs.at(id).task;
    return hasStray(state, task)
           || std::any_of(state.runs.begin(), state.runs.end(), [&](const auto &entry) {
                  return entry.first != id && entry.second.phase != RunPhase::Queued
                         && entry.second.task == task;
              });
}

} // namespace

bool isGranted(const RunnerState &state, const Run &run, Common::Moment now)
{
    const auto grant = state.grants.find(run.gateway);
    return grant != state.grants.end() && now.steadyMs < grant->second;
}

void enqueue(RunnerState &state, RunId id)
{
    const auto rank = rankOf(state, id);
    const auto place = std::find_if(state.queue.begin(), state.queue.end(),
                                    [&](RunId other) { return rank < rankOf(state, other); });
    state.queue.insert(place, id);
}

void dequeue(RunnerState &state, RunId id)
{
    state.queue.erase(std::remove(state.queue.begin(), state.queue.end(), id), state.queue.end());
}

std::vector<RunId> startable(const RunnerState &state, Common::Moment now)
{
    std::vector<RunId> ready;
    for (const RunId id : state.queue) {
        const Run &run = state.runs.at(id);
        if (isGranted(state, run, now) && now.steadyMs >= run.notBeforeMs
            && !hasOtherRun(state, id)) {
            ready.push_back(id);
        }
    }
    return ready;
}

} // namespace Runner
