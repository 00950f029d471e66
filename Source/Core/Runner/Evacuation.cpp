#include "Runner/Evacuation.h"

#include <algorithm>

#include "Runner/Load.h"
#include "Runner/Runs.h"

namespace Runner {

namespace {

Effects applyChanges(RunnerState &state, const std::vector<std::string> &changed,
                     const std::string &source, Common::Moment now)
{
    Effects effects;
    Transient::appendNews(effects,
                          Transient::evacuationNews(state.evacuations, changed, source, now));
    const bool isConcerned =
            std::find(changed.begin(), changed.end(), state.failureDomain) != changed.end();
    if (isConcerned) {
        returnEvacuatedTasks(state, effects, now);
        announceIfChanged(state, effects);
    }
    return effects;
}

} // namespace

Effects evacuationsTold(RunnerState &state, const Schema::EvacuationList &told,
                        const std::string &source, Common::Moment now)
{
    return applyChanges(state, Transient::mergeEvacuations(state.evacuations, told, now), source,
                        now);
}

Effects evacuationsRead(RunnerState &state, const Transient::EvacuationRecords &records,
                        std::int64_t sentMs, Common::Moment now)
{
    Effects effects = applyChanges(
            state, Transient::mergeEvacuations(state.evacuations, records, now), "store", now);
    Transient::confirmEvacuations(state.evacuations, sentMs);
    return effects;
}

bool isEvacuated(const RunnerState &state)
{
    return Transient::isEvacuated(state.evacuations, state.failureDomain);
}

void returnEvacuatedTasks(RunnerState &state, Effects &effects, Common::Moment now)
{
    if (!isEvacuated(state) || state.queue.empty()) {
        return;
    }
    const std::vector<RunId> queued = state.queue;
    std::size_t returned = 0;
    for (const RunId id : queued) {
        if (!mayStartLate(state, state.runs.at(id), now)) {
            finishRun(state, effects, id, Schema::AttemptPhase::NotStarted,
                      Schema::Reason::FailureDomainEvacuated, now);
            ++returned;
        }
    }
    if (returned == 0) {
        return;
    }
    Transient::LogLine line{
            "tasks_given_back",
            Transient::evacuationFields(state.evacuations, state.failureDomain, now)};
    line.fields.emplace_back("tasks", std::to_string(returned));
    line.fields.emplace_back("staying", std::to_string(state.queue.size()));
    effects.emplace_back(std::move(line));
}

} // namespace Runner
