#include "Transient/Jobs.h"

#include <algorithm>
#include <limits>
#include <random>

#include "Transient/Displacement.h"
#include "Transient/JobsInternal.h"
#include "Transient/Orphans.h"
#include "Transient/Queues.h"
#include "Transient/Resubmission.h"

namespace Transient {

namespace {

using Schema::Reason;

/// Least time between two rounds of timers; bounds the work that timers cause.
constexpr std::int64_t SweepMs = 20;
/// Slack for timers that run late.
constexpr std::int64_t LateTimersMs = 170;

/// Ids of the jobs without a result that \a isSelected accepts, in a fixed order, so that a seed
/// reproduces a run.
template <typename Test>
std::vector<std::string> openJobs(const GatewayState &state, Test isSelected)
{
    std::vector<std::string> open;
    for (const auto &[id, job] : state.jobs) {
        if (!job.result && isSelected(job)) {
            open.push_back(id);
        }
    }
    std::sort(open.begin(), open.end());
    return open;
}

/// Ends a job that cannot be completed. It counts as refused, which means "not run", only if none
/// of its tasks was ordered.
Effects endUnserved(GatewayState &state, const std::string &id, Reason gaveUp,
                    const JobResult &refusal, Common::Moment now)
{
    JobRecord &job = state.jobs.at(id);
    const JobResult result = job.anyOrdered ? JobResult{JobOutcome::GaveUp, gaveUp, 0} : refusal;
    Effects effects = endJob(state, job, result, now);
    removeIfSettled(state, id, now);
    return effects;
}

/// Ends all jobs when a stopping gateway has no time left. Callers get a final answer before the
/// process exits, and their tasks are stopped before they submit again. Otherwise their connections
/// would close without an answer.
Effects endAll(GatewayState &state, Common::Moment now)
{
    Effects effects;
    for (const std::string &id : openJobs(state, [](const JobRecord &) { return true; })) {
        append(effects, endUnserved(state, id, Reason::Stopping,
                                    {JobOutcome::Refused, Reason::Stopping, RetryMs}, now));
    }
    // Tasks of an earlier job with the same id have run: "not run" would not be true.
    for (const auto &[id, waiting] : state.parked) {
        for (const Submission &submission : waiting) {
            effects.emplace_back(
                    LogLine{"parked_job_given_up",
                            {{"job", id}, {"reason", Schema::enumName(Reason::Stopping)}}});
            effects.emplace_back(
                    AnswerCaller{submission.token, id, {JobOutcome::GaveUp, Reason::Stopping, 0}});
        }
    }
    state.parked.clear();
    append(effects, endAllForwarded(state));
    return effects;
}

/// Ends jobs past their deadline, and jobs of which no task was ordered in time to be of use.
Effects endOverdue(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects;
    const auto isOverdue = [now](const JobRecord &job) {
        const bool isHopeless = !job.anyOrdered && now.steadyMs >= job.lastStartMs;
        return now.steadyMs >= job.deadlineMs || isHopeless;
    };
    for (const std::string &id : openJobs(state, isOverdue)) {
        const Reason refused =
                state.fleet.agents.empty() ? Reason::NoBackend : Reason::DeadlineUnreachable;
        append(effects, endUnserved(state, id, Reason::DeadlinePassed,
                                    {JobOutcome::Refused, refused, RetryMs}, now));
        append(effects, admitParked(state, id, now, random));
    }
    return effects;
}

/// Ends jobs with ready tasks that only backend servers in evacuated failure domains could run.
Effects endEvacuated(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects;
    if (state.readyTasks == 0 || !anyEvacuated(state.fleet.evacuations)
        || now.steadyMs < state.startedMs + state.times.gatherMs) {
        return effects;
    }
    const auto isWaiting = [](const JobRecord &job) { return job.ready > 0; };
    for (const std::string &id : openJobs(state, isWaiting)) {
        const std::string failureDomain = evacuatedDomainOf(state, state.jobs.at(id));
        if (failureDomain.empty()) {
            continue;
        }
        const std::int64_t retryMs = evacuatedRetryMs(state, failureDomain, now);
        LogLine line{"job_without_backends",
                     evacuationFields(state.fleet.evacuations, failureDomain, now)};
        line.fields.insert(line.fields.begin(), {"job", id});
        effects.emplace_back(std::move(line));
        append(effects,
               endUnserved(state, id, Reason::FailureDomainEvacuated,
                           {JobOutcome::Refused, Reason::FailureDomainEvacuated, retryMs}, now));
        append(effects, admitParked(state, id, now, random));
    }
    return effects;
}

/// Whether a job with this id may have run here or elsewhere.
bool isKnownJob(const GatewayState &state, const std::string &id, Common::Moment now)
{
    return state.jobs.count(id) != 0 || state.finished.count(id) != 0 || state.parked.count(id) != 0
           || state.formerAttempts.count(id) != 0 || state.forwarding.out.count(id) != 0
           || isOrphaned(state, id, now);
}

/// Queue of the job that is known here under the id; null if there is none.
const Schema::JobQueue *queueOfJob(const GatewayState &state, const std::string &id)
{
    const auto job = state.jobs.find(id);
    if (job != state.jobs.end()) {
        return &job->second.queue;
    }
    const auto forwarded = state.forwarding.out.find(id);
    if (forwarded != state.forwarding.out.end()) {
        return &forwarded->second.submission.queue;
    }
    const auto finished = state.finished.find(id);
    return finished == state.finished.end() ? nullptr : &finished->second.queue;
}

/// Refuses a submission whose id a job of another queue has.
Effects refuseConflict(const Submission &submission, const Schema::JobQueue &other)
{
    const JobResult refused{JobOutcome::Refused, Reason::IdConflict, RetryMs};
    const std::string &id = submission.request.id;
    return {LogLine{"job_refused",
                    {{"job", id},
                     {"reason", Schema::enumName(refused.reason)},
                     {"queue", submission.queue.name},
                     {"queue_of_id", other.name}}},
            CountReason{RefusalCounter, refused.reason},
            AnswerCaller{submission.token, id, refused}};
}

template <typename Record>
void removeExpired(std::unordered_map<std::string, Record> &records, Common::Moment now)
{
    for (auto entry = records.begin(); entry != records.end();) {
        entry = now.steadyMs >= entry->second.expiresAtMs ? records.erase(entry) : std::next(entry);
    }
}

void removeExpiredRecords(GatewayState &state, Common::Moment now)
{
    removeExpired(state.finished, now);
    removeExpired(state.formerAttempts, now);
    removeOldLists(state.orphanRelay, now);
}

} // namespace

std::int64_t settleTimeMs(std::int64_t silenceMs, std::int64_t leaseMs)
{
    return silenceMs + onSlowClockMs(leaseMs) + LateTimersMs;
}

std::string text(double value)
{
    return std::to_string(static_cast<std::int64_t>(value));
}

double countedOwnDelayMs(const GatewayState &state)
{
    return isShared(state.shared) && state.shared.separatesOwnDelay ? ownDelayMs(state.ownDelay)
                                                                    : 0;
}

bool includesWaitErrors(const GatewayState &state)
{
    return isShared(state.shared) && state.shared.learnsWaitErrors;
}

std::optional<Effects> refuseWaited(GatewayState &state, const std::string &token,
                                    const std::string &id, std::int64_t arrivedMs,
                                    Common::Moment now, Common::Random &random)
{
    const std::int64_t ageMs = now.steadyMs - arrivedMs;
    observeRequestAge(state.requestQueue, ageMs, now.steadyMs);
    const bool isRefused = state.limits.refuses && isStanding(state.requestQueue, now.steadyMs)
                           && ageMs > MaxRequestAgeMs && !isKnownJob(state, id, now);
    if (!isRefused) {
        return std::nullopt;
    }
    const double spread = std::uniform_real_distribution<double>(0, 1)(random);
    const JobResult refused{JobOutcome::Refused, Reason::QueueFull,
                            retryAfterBacklogMs(static_cast<double>(ageMs), spread)};
    // No log line: under overload these are the most frequent requests, and must cost little.
    return Effects{CountReason{RefusalCounter, refused.reason}, AnswerCaller{token, id, refused}};
}

Effects jobSubmitted(GatewayState &state, Submission submission, Common::Moment now,
                     Common::Random &random)
{
    return handleSubmission(state, std::move(submission), MayForward::Yes, now, random);
}

Effects handleSubmission(GatewayState &state, Submission submission, MayForward mayForward,
                         Common::Moment now, Common::Random &random)
{
    Effects effects;
    submission.arrivedMs = submission.arrivedMs.value_or(now.steadyMs);
    const std::string id = submission.request.id;
    const Schema::JobQueue *queueOfId = queueOfJob(state, id);
    if (queueOfId != nullptr && !servesSamePaths(*queueOfId, submission.queue)) {
        return refuseConflict(submission, *queueOfId);
    }
    const auto finished = state.finished.find(id);
    if (finished != state.finished.end()) {
        effects.emplace_back(LogLine{"job_answered_again", {{"job", id}}});
        effects.emplace_back(AnswerCaller{submission.token, id, finished->second.result});
        return effects;
    }
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end()) {
        if (state.forwarding.out.count(id) != 0) {
            return joinForwarded(state, std::move(submission), now);
        }
        if (!isOrphaned(state, id, now)) {
            if (mayForward == MayForward::Yes && state.parked.count(id) == 0) {
                if (auto forwarded = forward(state, submission, now, random)) {
                    return *std::move(forwarded);
                }
            }
            return admit(state, std::move(submission), now, random);
        }
        effects.emplace_back(LogLine{"job_parked", {{"job", id}, {"orphaned", "true"}}});
        state.parked[id].push_back(std::move(submission));
        return effects;
    }
    JobRecord &job = found->second;
    if (!job.result) {
        effects.emplace_back(LogLine{"job_joined",
                                     {{"job", id},
                                      {"requests", std::to_string(job.tokens.size() + 1)},
                                      {"age_ms", std::to_string(now.steadyMs - job.receivedMs)}}});
        job.tokens.push_back(submission.token);
        return effects;
    }
    if (job.result->outcome == JobOutcome::Failed) {
        effects.emplace_back(AnswerCaller{submission.token, id, *job.result});
        return effects;
    }
    effects.emplace_back(
            LogLine{"job_parked", {{"job", id}, {"unsettled", std::to_string(job.unsettled)}}});
    state.parked[id].push_back(std::move(submission));
    return effects;
}

Effects handleCallerDisconnected(GatewayState &state, const std::string &token, Common::Moment now)
{
    for (auto &[id, waiting] : state.parked) {
        waiting.erase(
                std::remove_if(waiting.begin(), waiting.end(),
                               [&token](const Submission &one) { return one.token == token; }),
                waiting.end());
    }
    if (auto effects = forwardedCallerLeft(state, token)) {
        return *std::move(effects);
    }
    for (auto &[id, job] : state.jobs) {
        const auto found = std::find(job.tokens.begin(), job.tokens.end(), token);
        if (found == job.tokens.end()) {
            continue;
        }
        job.tokens.erase(found);
        if (!job.tokens.empty() || job.result) {
            return {};
        }
        const std::string key = id;
        Effects effects = endJob(state, job, {JobOutcome::GaveUp, Reason::CallerGone, 0}, now);
        removeIfSettled(state, key, now);
        return effects;
    }
    return {};
}

Effects jobCancelled(GatewayState &state, const std::string &id, Common::Moment now)
{
    if (state.forwarding.out.count(id) != 0) {
        return endForwarded(state, id, Reason::Cancelled);
    }
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end() || found->second.result) {
        return {};
    }
    Effects effects = endJob(state, found->second, {JobOutcome::GaveUp, Reason::Cancelled, 0}, now);
    removeIfSettled(state, id, now);
    return effects;
}

bool isOpenJob(const GatewayState &state, const std::string &id, const Schema::JobQueue &queue)
{
    const Schema::JobQueue *queueOfId = queueOfJob(state, id);
    if (queueOfId == nullptr || !servesSamePaths(*queueOfId, queue)) {
        return false;
    }
    const auto job = state.jobs.find(id);
    const auto forwarded = state.forwarding.out.find(id);
    return (job != state.jobs.end() && !job->second.result)
           || (forwarded != state.forwarding.out.end() && !forwarded->second.isCancelled);
}

void beginStop(GatewayState &state, std::int64_t timeoutMs, Common::Moment now)
{
    state.isStopping = true;
    state.stopDeadlineMs = now.steadyMs + timeoutMs;
}

Effects tick(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects;
    if (now.steadyMs < state.sweptMs + SweepMs) {
        return effects;
    }
    state.sweptMs = now.steadyMs;
    advanceFleet(state.fleet, now.steadyMs);
    removeLostAgents(state, effects, now);
    append(effects, settleFormerAgents(state, now, random));
    append(effects, endOverdue(state, now, random));
    append(effects, displaceHopeless(state, now));
    append(effects, endEvacuated(state, now, random));
    append(effects, updateForwarded(state, now, random));
    append(effects, admitReleased(state, now, random));
    if (state.isStopping && now.steadyMs >= state.stopDeadlineMs) {
        append(effects, endAll(state, now));
    }
    append(effects, placeWaiting(state, now, random));
    listLateJobs(state, now);
    removeExpiredRecords(state, now);
    return effects;
}

std::int64_t nextWakeMs(const GatewayState &state, Common::Moment now)
{
    std::int64_t next = std::numeric_limits<std::int64_t>::max();
    for (const auto &[id, job] : state.jobs) {
        if (!job.result) {
            next = std::min(next, job.anyOrdered ? job.deadlineMs
                                                 : std::min(job.deadlineMs, job.lastStartMs));
            const auto displacedAtMs = hopelessAtMs(state, job);
            if (displacedAtMs && *displacedAtMs > now.steadyMs) {
                next = std::min(next, *displacedAtMs);
            }
            if (lateJobAtMs(job) > now.steadyMs) {
                next = std::min(next, lateJobAtMs(job));
            }
        }
    }
    for (const auto &[name, agent] : state.fleet.agents) {
        if (!agent.isConnected) {
            next = std::min(next, agent.settledAtMs);
        }
    }
    next = std::min(next, nextForwardedMs(state, now.steadyMs + SweepMs));
    if (state.readyTasks > 0 || !state.parked.empty()) {
        next = std::min(next, now.steadyMs + SweepMs);
    }
    return std::max(next, state.sweptMs + SweepMs);
}

std::int64_t waitingJobs(const GatewayState &state, const std::string &queue)
{
    return std::count_if(state.jobs.begin(), state.jobs.end(), [&queue](const auto &entry) {
        return entry.second.queue.name == queue && !entry.second.anyOrdered && !entry.second.result;
    });
}

} // namespace Transient
