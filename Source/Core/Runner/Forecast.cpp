#include "Runner/Forecast.h"

#include <queue>
#include <utility>

#include "Runner/Load.h"
#include "Runner/Pace.h"

namespace Runner {

namespace {

/// Processors that become free when a run ends.
struct Release
{
    double atMs = 0;
    double processors = 0;

    bool operator>(const Release &other) const { return this->atMs > other.atMs; }
};

/// Simulates the backend server from now on, as runs end and others start in their place.
struct Timeline
{
    std::priority_queue<Release, std::vector<Release>, std::greater<>> releases;
    double free = 0;
    double nowMs = 0;
};

void advanceUntilFree(Timeline &timeline, double processors)
{
    while (timeline.free < processors && !timeline.releases.empty()) {
        const Release next = timeline.releases.top();
        timeline.releases.pop();
        timeline.free += next.processors;
        timeline.nowMs = next.atMs;
    }
}

Timeline timelineOf(const RunnerState &state, Common::Moment now)
{
    Timeline timeline;
    const Transient::BackendAnnouncement *announced = announcedBackend(state);
    timeline.free = announced == nullptr ? 0 : announced->resources.processors;
    for (const auto &[id, run] : state.runs) {
        if (run.phase != RunPhase::Queued) {
            timeline.free -= run.resources.processors;
            timeline.releases.push(
                    {static_cast<double>(timeLeftMs(run, now)), run.resources.processors});
        }
    }
    return timeline;
}

/// Starts a queued run at the time that the timeline has reached.
void addRun(Timeline &timeline, const Run &run, double slowdown)
{
    timeline.free -= run.resources.processors;
    timeline.releases.push({timeline.nowMs + static_cast<double>(run.expectedMs) * slowdown,
                            run.resources.processors});
}

double meanProcessors(const RunnerState &state)
{
    return state.runs.empty() ? 0
                              : committedProcessors(state) / static_cast<double>(state.runs.size());
}

} // namespace

Forecast forecastOf(const RunnerState &state, Common::Moment now)
{
    const double slowdown = slowdownOf(state, now);
    const double needed = meanProcessors(state);
    Timeline timeline = timelineOf(state, now);
    Forecast forecast;
    bool isUrgentKnown = false;
    for (const RunId id : state.queue) {
        const Run &run = state.runs.at(id);
        if (!isUrgentKnown && run.priority > state.urgentPriority) {
            Timeline urgent = timeline;
            advanceUntilFree(urgent, needed);
            forecast.urgentWaitMs = urgent.nowMs;
            isUrgentKnown = true;
        }
        advanceUntilFree(timeline, run.resources.processors);
        addRun(timeline, run, slowdown);
    }
    advanceUntilFree(timeline, needed);
    forecast.waitMs = timeline.nowMs;
    if (!isUrgentKnown) {
        forecast.urgentWaitMs = forecast.waitMs;
    }
    return forecast;
}

std::vector<RunId> runsNotStaying(const RunnerState &state, const StaysFor &staysFor,
                                  Common::Moment now)
{
    const double slowdown = slowdownOf(state, now);
    Timeline timeline = timelineOf(state, now);
    std::vector<RunId> leaving;
    for (const RunId id : state.queue) {
        const Run &run = state.runs.at(id);
        Timeline started = timeline;
        advanceUntilFree(started, run.resources.processors);
        if (!staysFor(run, started.nowMs)) {
            leaving.push_back(id);
            continue;
        }
        addRun(started, run, slowdown);
        timeline = std::move(started);
    }
    return leaving;
}

} // namespace Runner
