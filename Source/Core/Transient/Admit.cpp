#include <algorithm>
#include <cmath>
#include <random>

#include "Transient/Cost.h"
#include "Transient/Displacement.h"
#include "Transient/JobsInternal.h"
#include "Transient/Orphans.h"
#include "Transient/Placement.h"

/// Handles submissions: creates the record of a job, predicts its end and admits or refuses it.
namespace Transient {

namespace {

using Schema::Reason;

constexpr double PercentOfOne = 100;
/// A stopping gateway admits only jobs that are sure to end in time: predictions are means, and the
/// last of a handful of tasks takes up to twice as long.
constexpr double StopSafetyFactor = 2;

std::vector<double> stepRunsMs(const GatewayState &state, const JobRecord &job)
{
    std::vector<double> runs;
    for (const StepRecord &step : job.steps) {
        runs.push_back(Dispatch::meanRunMs(state.fleet.estimates, step.profile));
    }
    return runs;
}

JobRecord makeJob(GatewayState &state, Submission &submission, Common::Moment now)
{
    JobRecord job;
    job.id = submission.request.id;
    job.queue = submission.queue;
    job.payload = std::move(submission.request.payload);
    job.tokens.push_back(submission.token);
    job.arrivedMs = *submission.arrivedMs;
    job.receivedMs = now.steadyMs;
    const auto former = state.formerAttempts.find(job.id);
    const std::int64_t formerAttempts =
            former == state.formerAttempts.end() ? 0 : former->second.highest;
    for (StepRequest &request : submission.request.steps) {
        StepRecord step;
        step.profile = Dispatch::findOrAddProfile(state.fleet.estimates, job.queue.name,
                                                  request.expectedRunMs);
        step.tasks.resize(static_cast<std::size_t>(request.taskCount));
        for (TaskRecord &task : step.tasks) {
            task.attempt = formerAttempts;
        }
        step.request = std::move(request);
        job.steps.push_back(std::move(step));
    }
    const std::vector<double> runsMs = stepRunsMs(state, job);
    const double chainMs = longestChainMs(job.steps, runsMs);
    job.chainMs = chainMs;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        const StepRequest &request = job.steps[step].request;
        job.workMs += request.taskCount * request.resources.processors * runsMs[step];
    }
    UsualRemainingTimeout &usual = state.patiences[job.queue.name];
    if (state.limits.countsWaiting) {
        job.waitedBeforeMs = waitedBeforeMs(usual, submission.remainingTimeoutMs);
    }
    observeRemainingTimeout(usual, submission.remainingTimeoutMs);
    job.targetMs = now.steadyMs + static_cast<std::int64_t>(job.queue.latencyFactor * chainMs)
                   + job.queue.targetLatencyMs - job.waitedBeforeMs;
    const double usefulMs =
            static_cast<double>(job.targetMs - now.steadyMs) * state.limits.maxLateness;
    job.lastStartMs = now.steadyMs + static_cast<std::int64_t>(usefulMs - chainMs);
    job.deadlineMs = job.arrivedMs + submission.remainingTimeoutMs;
    return job;
}

int taskCount(const JobRecord &job)
{
    std::size_t tasks = 0;
    for (const StepRecord &step : job.steps) {
        tasks += step.tasks.size();
    }
    return static_cast<int>(tasks);
}

/// Time from the first start to the last end, if each task runs as long as expected on the backend
/// server that was chosen for it.
double longestRunMs(const GatewayState &state, const JobRecord &job,
                    const std::vector<PlacedTask> &placed)
{
    std::vector<double> chosenMs(job.steps.size(), 0);
    for (const PlacedTask &one : placed) {
        double &slowest = chosenMs[static_cast<std::size_t>(one.step)];
        slowest = std::max(slowest, one.placement.runMs);
    }
    std::vector<double> stepMs = stepRunsMs(state, job);
    for (std::size_t step = 0; step < stepMs.size(); ++step) {
        stepMs[step] = chosenMs[step] > 0 ? chosenMs[step] : stepMs[step];
    }
    return longestChainMs(job.steps, stepMs);
}

/// Replaces the prediction by one that includes the errors of earlier predicted waits. Run times
/// are not corrected: their spread is part of the time that callers allow for a job.
void includeWaitErrors(const GatewayState &state, const JobRecord &job,
                       const std::vector<PlacedTask> &placed, double taskWaitMs,
                       AdmissionQuery &query, Common::Moment now)
{
    const auto error = state.waitErrors.find({job.queue.name, job.queue.priority});
    const double latestMs =
            error == state.waitErrors.end()
                    ? taskWaitMs
                    : latestWaitMs(error->second, taskWaitMs, taskCount(job), now.steadyMs);
    query.waitErrorMs = latestMs - taskWaitMs;
    query.hasRoom = std::all_of(placed.begin(), placed.end(), [](const PlacedTask &one) {
        return one.placement.waitMs <= 0 || one.placement.hasAlternative;
    });
    query.stretch = 1;
    query.predictedMs =
            longestRunMs(state, job, placed) + latestMs + state.times.overheadMs + query.linkWaitMs;
}

AdmissionQuery admissionQuery(const GatewayState &state, const JobRecord &job,
                              const std::vector<PlacedTask> &placed, Common::Moment now,
                              Common::Random &random)
{
    std::vector<double> stepMs = stepRunsMs(state, job);
    AdmissionQuery query;
    for (const PlacedTask &one : placed) {
        double &longest = stepMs[static_cast<std::size_t>(one.step)];
        longest = std::max(longest, one.placement.waitMs + one.placement.runMs);
        query.waitMs = std::max(query.waitMs, one.placement.waitMs);
    }
    const double taskWaitMs = query.waitMs;
    query.linkWaitMs = std::floor(backlogMs(state.orderBacklog, state.capacity, now));
    query.waitMs = std::max(query.waitMs, query.linkWaitMs);
    query.predictedMs =
            longestChainMs(job.steps, stepMs) + state.times.overheadMs + query.linkWaitMs;
    const auto error = state.predictionErrors.find(job.queue.name);
    if (state.limits.correctsPredictions && error != state.predictionErrors.end()) {
        query.stretch = expectedStretch(error->second, now.steadyMs);
    }
    if (includesWaitErrors(state)) {
        includeWaitErrors(state, job, placed, taskWaitMs, query, now);
    }
    query.ownDelayMs = countedOwnDelayMs(state);
    query.targetMs = static_cast<double>(job.targetMs - now.steadyMs);
    query.deadlineMs = static_cast<double>(job.deadlineMs - now.steadyMs);
    query.spread = std::uniform_real_distribution<double>(0, 1)(random);
    return query;
}

Effects refuse(const std::string &token, const std::string &job, const JobResult &result,
               std::vector<std::pair<std::string, std::string>> inputs)
{
    Effects effects;
    inputs.insert(inputs.begin(), {{"job", job}, {"reason", Schema::enumName(result.reason)}});
    inputs.emplace_back("retry_after_ms", std::to_string(result.retryAfterMs));
    effects.emplace_back(LogLine{"job_refused", std::move(inputs)});
    effects.emplace_back(CountReason{RefusalCounter, result.reason});
    effects.emplace_back(AnswerCaller{token, job, result});
    return effects;
}

/// Answers a request that was read, or released from waiting, when its caller's timeout had passed.
/// Whether an earlier submission of the job has run is not known here.
Effects giveUpLate(const std::string &token, const JobRecord &job, Common::Moment now)
{
    Effects effects;
    effects.emplace_back(LogLine{"job_given_up",
                                 {{"job", job.id},
                                  {"reason", Schema::enumName(Reason::DeadlinePassed)},
                                  {"late_ms", std::to_string(now.steadyMs - job.deadlineMs)}}});
    effects.emplace_back(CountReason{RefusalCounter, Reason::DeadlinePassed});
    effects.emplace_back(
            AnswerCaller{token, job.id, {JobOutcome::GaveUp, Reason::DeadlinePassed, 0}});
    return effects;
}

std::optional<JobResult> refusalForStop(const GatewayState &state, const AdmissionQuery &query,
                                        Common::Moment now)
{
    const double leftMs = static_cast<double>(state.stopDeadlineMs - now.steadyMs);
    if (!state.isStopping || correctedMs(query) * StopSafetyFactor <= leftMs) {
        return std::nullopt;
    }
    return JobResult{JobOutcome::Refused, Reason::Stopping, RetryMs};
}

/// Refuses a job if no backend server could run one of its steps. Within gatherMs of its start a
/// gateway refuses no job for this reason, since agents may still be connecting.
std::optional<JobResult> refusalForLackOfBackends(const GatewayState &state, const JobRecord &job,
                                                  Common::Moment now)
{
    const bool allEligible =
            std::all_of(job.steps.begin(), job.steps.end(), [&state, &job](const StepRecord &step) {
                return hasEligibleBackend(state.fleet, job.queue.service, step.request);
            });
    if (allEligible || now.steadyMs < state.startedMs + state.times.gatherMs) {
        return std::nullopt;
    }
    return JobResult{JobOutcome::Refused, Reason::NoBackend, RetryMs};
}

/// Refuses a job if all backend servers that could run one of its steps are in evacuated failure
/// domains, and logs which one.
std::optional<Effects> refuseEvacuated(const GatewayState &state, const std::string &token,
                                       const JobRecord &job, Common::Moment now)
{
    for (const StepRecord &step : job.steps) {
        if (hasEligibleBackend(state.fleet, job.queue.service, step.request)) {
            continue;
        }
        const std::string failureDomain =
                evacuatedDomainFor(state.fleet, job.queue.service, step.request);
        if (!failureDomain.empty()) {
            const JobResult result{JobOutcome::Refused, Reason::FailureDomainEvacuated,
                                   evacuatedRetryMs(state, failureDomain, now)};
            LogFields fields = evacuationFields(state.fleet.evacuations, failureDomain, now);
            fields.emplace_back("queue", job.queue.name);
            return refuse(token, job.id, result, std::move(fields));
        }
    }
    return std::nullopt;
}

/// By how much the predicted time has to become shorter for the job to be in time.
double excessMs(const GatewayState &state, const AdmissionQuery &query)
{
    return (correctedMs(query) - usefulMs(state.limits, query)) / query.stretch;
}

/// The admitted jobs that yield to one that would be refused for its wait; empty if it stays
/// refused.
std::vector<std::string> jobsYieldingTo(const GatewayState &state, const JobRecord &job,
                                        const JobResult &refused, const AdmissionQuery &query,
                                        const std::vector<PlacedTask> &placed, Common::Moment now)
{
    if (refused.reason != Reason::DeadlineUnreachable) {
        return {};
    }
    const auto needed = neededWaits(placed, excessMs(state, query));
    return needed ? jobsThatYield(state, job, *needed, now) : std::vector<std::string>{};
}

} // namespace

Effects admit(GatewayState &state, Submission submission, Common::Moment now,
              Common::Random &random)
{
    JobRecord job = makeJob(state, submission, now);
    if (now.steadyMs >= job.deadlineMs) {
        return giveUpLate(submission.token, job, now);
    }
    if (const auto refused = refusalForLackOfBackends(state, job, now)) {
        if (auto evacuated = refuseEvacuated(state, submission.token, job, now)) {
            return *std::move(evacuated);
        }
        return refuse(
                submission.token, job.id, *refused,
                {{"queue", job.queue.name}, {"agents", std::to_string(state.fleet.agents.size())}});
    }
    openSteps(job);
    const std::vector<PlacedTask> placed = placeReady(state, job, now, random);
    const AdmissionQuery query = admissionQuery(state, job, placed, now, random);
    std::optional<JobResult> refused = refusalForStop(state, query, now);
    if (!refused) {
        refused = decideAdmission(state.limits, query);
    }
    std::vector<std::pair<std::string, std::string>> inputs{
            {"queue", job.queue.name},
            {"predicted_ms", text(query.predictedMs)},
            {"wait_ms", text(query.waitMs)},
            {"link_wait_ms", text(query.linkWaitMs)},
            {"waited_before_ms", std::to_string(job.waitedBeforeMs)},
            {"stretch_percent", text(query.stretch * PercentOfOne)},
            {"target_ms", text(query.targetMs)},
            {"deadline_ms", text(query.deadlineMs)}};
    if (isShared(state.shared)) {
        inputs.emplace_back("run_ms", text(longestRunMs(state, job, placed)));
        inputs.emplace_back("wait_error_ms", text(query.waitErrorMs));
        inputs.emplace_back("has_room", query.hasRoom ? "true" : "false");
        inputs.emplace_back("own_delay_ms", text(query.ownDelayMs));
        inputs.emplace_back("corrected_ms", text(correctedMs(query)));
    }
    std::vector<std::string> yielding;
    if (refused) {
        yielding = jobsYieldingTo(state, job, *refused, query, placed, now);
    }
    if (refused && yielding.empty()) {
        undoPlacing(state, job, placed);
        return refuse(submission.token, job.id, *refused, std::move(inputs));
    }
    inputs.insert(inputs.begin(), {"job", job.id});
    inputs.emplace_back("tasks_placed", std::to_string(placed.size()));
    inputs.emplace_back("tasks_waiting",
                        std::to_string(job.ready - static_cast<int>(placed.size())));
    job.predictedMs = query.predictedMs;
    if (!yielding.empty()) {
        job.predictedMs -= excessMs(state, query);
    }
    job.correctedMs = correctedMs(query);
    job.ownDelayMs = query.ownDelayMs;
    Effects effects;
    if (isShared(state.shared) && state.shared.displaces) {
        inputs.emplace_back("jobs_displaced", std::to_string(yielding.size()));
        recordSize(state.yields[job.queue.name], job.workMs);
    }
    effects.emplace_back(LogLine{"job_accepted", std::move(inputs)});
    for (const std::string &other : yielding) {
        append(effects,
               beginDisplacement(state, state.jobs.at(other), job.id, correctedWaitMs(query), now));
    }
    state.readyTasks += job.ready;
    const std::string id = job.id;
    JobRecord &kept = state.jobs.emplace(id, std::move(job)).first->second;
    append(effects, orderTasks(state, kept, placed, now));
    return effects;
}

Effects admitParked(GatewayState &state, const std::string &id, Common::Moment now,
                    Common::Random &random)
{
    Effects effects;
    const auto found = state.parked.find(id);
    if (found == state.parked.end() || state.jobs.count(id) != 0
        || state.forwarding.out.count(id) != 0 || isOrphaned(state, id, now)) {
        return effects;
    }
    std::vector<Submission> waiting = std::move(found->second);
    state.parked.erase(found);
    for (Submission &submission : waiting) {
        append(effects,
               handleSubmission(state, std::move(submission), MayForward::No, now, random));
    }
    return effects;
}

} // namespace Transient
