#include "Runner/Announcements.h"

#include "Runner/Incarnations.h"
#include "Runner/Load.h"
#include "Runner/Runs.h"

namespace Runner {

namespace {

using Schema::Reason;

/// Why an announcement counts as late.
enum class Lateness {
    /// Its incarnation started before the present one.
    EarlierStart,
    /// Another incarnation has replaced its own.
    Replaced,
    /// A later announcement of the same incarnation was received before.
    Overtaken
};

constexpr Common::NameTable<Lateness, 3> LatenessNames{{{Lateness::EarlierStart, "earlier_start"},
                                                        {Lateness::Replaced, "replaced"},
                                                        {Lateness::Overtaken, "overtaken"}}};

/// Announcements of a previous incarnation, or of one that was over before this process started,
/// are late. While the present incarnation does not answer, any other one may have replaced it:
/// start times are wall-clock times, which can jump.
std::optional<Lateness> latenessOf(const RunnerState &state,
                                   const Transient::BackendAnnouncement &announcement)
{
    const bool isOlder = state.backend && state.backend->startedAtMs != 0
                         && announcement.startedAtMs < state.backend->startedAtMs;
    const bool isPrevious = state.previousIncarnations.count(incarnationOf(announcement)) != 0;
    if (state.isBackendResponsive && isOlder) {
        return Lateness::EarlierStart;
    }
    if (state.isBackendResponsive && isPrevious) {
        return Lateness::Replaced;
    }
    const Transient::BackendAnnouncement *last = announcedBackend(state);
    if (last != nullptr && incarnationOf(*last) == incarnationOf(announcement)
        && announcement.sequence <= last->sequence) {
        return Lateness::Overtaken;
    }
    return std::nullopt;
}

void reportLate(const RunnerState &state, Effects &effects,
                const Transient::BackendAnnouncement &announcement, Lateness lateness)
{
    const std::string why(Common::nameOf(LatenessNames, lateness));
    effects.emplace_back(Transient::CountReason{
            "auburntrail_runner_announcements_late_" + why + "_total", Reason::None});
    Transient::LogLine line{"announcement_late",
                            {{"id", announcement.id},
                             {"started_at_ms", std::to_string(announcement.startedAtMs)},
                             {"sequence", std::to_string(announcement.sequence)},
                             {"leaving", announcement.leaving ? "true" : "false"},
                             {"why", why}},
                            Common::LogLevel::Warning};
    if (state.backend) {
        line.fields.emplace_back("present_id", state.backend->id);
        line.fields.emplace_back("present_started_at_ms",
                                 std::to_string(state.backend->startedAtMs));
    }
    if (const Transient::BackendAnnouncement *last = announcedBackend(state)) {
        line.fields.emplace_back("present_sequence", std::to_string(last->sequence));
    }
    effects.emplace_back(std::move(line));
}

/// Returns all waiting tasks to their gateways, since the present incarnation has begun to leave.
void handleLeaving(RunnerState &state, Effects &effects, Common::Moment now)
{
    effects.emplace_back(Transient::LogLine{
            "backend_leaving",
            {{"id", state.backend->id}, {"queued", std::to_string(state.queue.size())}}});
    returnQueuedTasks(state, effects, Reason::AgentDraining, now);
}

/// A late announcement may contain news all the same. A leaving is final, whatever has overtaken
/// it. And another incarnation may be the present one, since start times on the wall clock are no
/// proof of their order: the next observation shows which one answers.
void handleLate(RunnerState &state, Effects &effects,
                const Transient::BackendAnnouncement &announcement, Lateness lateness,
                Common::Moment now)
{
    reportLate(state, effects, announcement, lateness);
    if (lateness != Lateness::Overtaken) {
        state.isIncarnationDoubted = true;
        state.nextObserveMs = now.steadyMs;
        return;
    }
    if (announcement.leaving && !state.backend->leaving) {
        state.backend->leaving = true;
        handleLeaving(state, effects, now);
    }
}

void logAnnounced(Effects &effects, const Transient::BackendAnnouncement &announcement)
{
    std::string labels;
    for (const std::string &label : announcement.labels) {
        labels += (labels.empty() ? "" : ",") + label;
    }
    effects.emplace_back(
            Transient::LogLine{"backend_announced",
                               {{"id", announcement.id},
                                {"address", announcement.address},
                                {"service", announcement.service},
                                {"labels", labels},
                                {"started_at_ms", std::to_string(announcement.startedAtMs)},
                                {"processors", std::to_string(announcement.resources.processors)},
                                {"memory_mb", std::to_string(announcement.resources.memoryMb)},
                                {"sequence", std::to_string(announcement.sequence)}}});
}

/// Whether \a before says the same of what the backend server can run.
bool offersTheSame(const Transient::BackendAnnouncement *before,
                   const Transient::BackendAnnouncement &announcement)
{
    return before != nullptr && before->service == announcement.service
           && before->labels == announcement.labels
           && before->resources.processors == announcement.resources.processors
           && before->resources.memoryMb == announcement.resources.memoryMb
           && before->resources.accelerators == announcement.resources.accelerators;
}

/// Whether the announcement is of another incarnation than the present one. Backend servers that do
/// not give their start time are told apart by their ids.
bool isOfOther(const PresentBackend &present, const Transient::BackendAnnouncement &announcement)
{
    return present.id != announcement.id
           || (announcement.startedAtMs != 0 && present.startedAtMs != 0
               && present.startedAtMs != announcement.startedAtMs);
}

void takeAnnouncement(RunnerState &state, Effects &effects,
                      const Transient::BackendAnnouncement &announcement, Common::Moment now)
{
    const std::optional<PresentBackend> before = state.backend;
    const bool isOther = before && isOfOther(*before, announcement);
    const Transient::BackendAnnouncement *last = isOther ? nullptr : announcedBackend(state);
    if (!offersTheSame(last, announcement)) {
        logAnnounced(effects, announcement);
    }
    state.backend = {announcement.id, announcement.address, announcement.startedAtMs, false,
                     announcement};
    updateLeaving(state);
    // Another one seemed to have replaced it. Its further announcements are not late.
    state.previousIncarnations.erase(incarnationOf(announcement));
    if (isOther) {
        state.clockOffsetMs.reset();
        state.isBackendResponsive = true;
        beginIncarnation(state, effects, *before, now);
    }
    if (state.backend->leaving && (!before || !before->leaving)) {
        handleLeaving(state, effects, now);
    }
    stopIneligible(state, effects, now);
}

} // namespace

void updateLeaving(RunnerState &state)
{
    if (state.backend) {
        state.backend->leaving =
                state.leavingIncarnations.count(incarnationOf(*state.backend)) != 0;
    }
}

Effects backendAnnounced(RunnerState &state, const Transient::BackendAnnouncement &announcement,
                         Common::Moment now)
{
    Effects effects;
    if (announcement.leaving) {
        state.leavingIncarnations.insert(incarnationOf(announcement));
    }
    if (const std::optional<Lateness> lateness = latenessOf(state, announcement)) {
        handleLate(state, effects, announcement, *lateness, now);
    } else {
        takeAnnouncement(state, effects, announcement, now);
    }
    announceIfChanged(state, effects);
    return effects;
}

Effects backendLeft(RunnerState &state, const std::string &id, Common::Moment now)
{
    Effects effects;
    if (!state.backend || state.backend->id != id) {
        return effects;
    }
    effects.emplace_back(Transient::LogLine{"backend_left", {{"id", id}}});
    state.backend->leaving = true;
    returnQueuedTasks(state, effects, Reason::AgentDraining, now);
    // Started runs may continue for a moment; they count as over once their lease has expired.
    announceIfChanged(state, effects);
    return effects;
}

} // namespace Runner
