#include "Runner/Announcements.h"

#include <utility>

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

/// The next observation shows whether the incarnation is the present one.
void claim(RunnerState &state, const Transient::BackendAnnouncement &announcement, bool isLate,
           Common::Moment now)
{
    const bool isLess = isLate && state.claim && !state.claim->isLate;
    if (!isLess) {
        state.claim = {announcement, now.steadyMs, isLate};
    }
    state.nextObserveMs = now.steadyMs;
}

/// Whether the present incarnation is there, as far as is known.
bool isPresent(const RunnerState &state)
{
    return state.backend && !state.backend->leaving && state.isBackendResponsive
           && state.silentSinceMs == 0;
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
        claim(state, announcement, true, now);
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
    state.claim.reset();
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
    } else if (isPresent(state) && isOfOther(*state.backend, announcement)) {
        claim(state, announcement, false, now);
    } else {
        takeAnnouncement(state, effects, announcement, now);
    }
    announceIfChanged(state, effects);
    return effects;
}

void refuteClaim(RunnerState &state, Effects &effects, std::int64_t sentMs)
{
    if (!state.claim || sentMs < state.claim->claimedMs) {
        return;
    }
    const ClaimedIncarnation refuted = *std::exchange(state.claim, std::nullopt);
    const Transient::BackendAnnouncement &announcement = refuted.announcement;
    if (refuted.isLate) {
        return;
    }
    effects.emplace_back(
            Transient::CountReason{"auburntrail_runner_announcements_refuted_total", Reason::None});
    if (Common::addReported(state.refutedIncarnations,
                            announcement.id + ' ' + std::to_string(announcement.startedAtMs))) {
        effects.emplace_back(
                Transient::LogLine{"announcement_refuted",
                                   {{"id", announcement.id},
                                    {"started_at_ms", std::to_string(announcement.startedAtMs)},
                                    {"service", announcement.service},
                                    {"address", announcement.address},
                                    {"present_id", state.backend->id}},
                                   Common::LogLevel::Warning});
    }
}

void acceptClaim(RunnerState &state, Effects &effects, Common::Moment now)
{
    if (state.claim && !state.claim->isLate) {
        const Transient::BackendAnnouncement announcement = state.claim->announcement;
        takeAnnouncement(state, effects, announcement, now);
    }
}

void matchClaim(RunnerState &state, Effects &effects)
{
    if (!state.claim) {
        return;
    }
    const ClaimedIncarnation claimed = *std::exchange(state.claim, std::nullopt);
    if (incarnationOf(claimed.announcement) == incarnationOf(*state.backend)) {
        state.backend->announced = claimed.announcement;
        state.backend->address = claimed.announcement.address;
        logAnnounced(effects, claimed.announcement);
    }
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
    acceptClaim(state, effects, now);
    // Started runs may continue for a moment; they count as over once their lease has expired.
    announceIfChanged(state, effects);
    return effects;
}

} // namespace Runner
