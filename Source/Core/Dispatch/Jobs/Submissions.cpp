#include "Dispatch/Jobs/Submissions.h"

#include <algorithm>
#include <optional>

#include "Dispatch/Jobs/JobCompletion.h"
#include "Dispatch/Jobs/TaskStarts.h"
#include "Dispatch/Persistence/JobAnswers.h"

namespace Dispatch {

using Schema::Reason;

namespace {

bool isKnownTeam(const Schema::Configuration &configuration, const std::string &name)
{
    return std::any_of(configuration.teams.begin(), configuration.teams.end(),
                       [&name](const Schema::Team &team) { return team.name == name; });
}

bool isKnownService(const Schema::Configuration &configuration, const std::string &name)
{
    return std::any_of(configuration.services.begin(), configuration.services.end(),
                       [&name](const Schema::Service &service) { return service.name == name; });
}

/// Makes the request wait for the end of the job or, if its caller doesn't wait, for its
/// acceptance. A job that has been accepted already is answered at once in the latter case.
Effects waitForJob(GatewayState &state, const std::string &requestId, JobEntry &job)
{
    Request *request = findRequest(state.requests, requestId);
    markWaiting(state.requests, *request);
    if (request->wait) {
        job.waiters.push_back(requestId);
        return {};
    }
    if (job.startable) {
        return answerRequest(state, requestId, pendingAnswer(job));
    }
    job.acceptWaiters.push_back(requestId);
    return {};
}

/// Answers a submission whose id an earlier owner may have acted on without leaving a record that
/// this gateway can read. The job is stored as ended, so that it is never started and every
/// resubmission gets the same answer.
Effects answerUnknownOutcome(GatewayState &state, const std::string &requestId,
                             const Schema::SubmitJob &submit, Reason reason)
{
    JobEntry &job = addRecoveredJob(state.ledger, *submit.id,
                                    static_cast<std::int64_t>(submit.tasks.size()),
                                    submit.firstSubmittedMs.value_or(0));
    adoptSubmission(state.ledger, job, submit);
    job.waiters.push_back(requestId);
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        markLost(job, static_cast<std::int64_t>(index));
    }
    return finishJob(
            state, job,
            abortedAnswer(job, reason, "an earlier owner of this job may have started it"));
}

Effects acceptJob(GatewayState &state, const std::string &requestId,
                  const Schema::SubmitJob &submit, Common::Moment now)
{
    JobEntry &job = addJob(state.ledger, submit);
    const std::optional<Refusal> refused = admitJob(state.scheduler, demandOf(job), now);
    if (refused) {
        removeJob(state.ledger, job.id);
        return refuseRequest(state, requestId, refused->reason, refused->detail,
                             refused->retryAfterMs);
    }
    awaitIntent(state, job, now);
    return waitForJob(state, requestId, job);
}

/// Handles a submission whose id is not in the ledger. The journal may still contain it.
Effects submitUnknownJob(GatewayState &state, const std::string &requestId,
                         const Schema::SubmitJob &submit, Common::Moment now)
{
    const std::int64_t shard = shardOf(state.ledger, *submit.id);
    const std::int64_t firstMs = submit.firstSubmittedMs.value_or(now.wallMs);
    const std::optional<JournaledIntent> intent = findIntent(state.site.journal, *submit.id);
    if (intent && !sameContent(*intent, submissionDigest(submit))) {
        return refuseRequest(state, requestId, Reason::IdConflict,
                             "this id was submitted before with other content");
    }
    const JobHistory history = jobHistory(state.site, *submit.id, firstMs);
    if (history == JobHistory::Journaled) {
        const auto proven = state.recovery.provenNotStartedSinceMs.find(shard);
        const bool isProvedNotStarted = proven != state.recovery.provenNotStartedSinceMs.end()
                                        && intent && intent->firstSubmittedMs >= proven->second;
        if (!isProvedNotStarted) {
            return answerUnknownOutcome(state, requestId, submit, Reason::TaskLost);
        }
        return acceptJob(state, requestId, submit, now);
    }
    if (history == JobHistory::Unknown) {
        return answerUnknownOutcome(state, requestId, submit, Reason::PredecessorUnlogged);
    }
    const Schema::Configuration &config = configuration(state.site.config);
    if (!isKnownTeam(config, submit.team)) {
        return refuseRequest(state, requestId, Reason::UnknownTeam, "no such team: " + submit.team);
    }
    if (!isKnownService(config, submit.service)) {
        return refuseRequest(state, requestId, Reason::UnknownService,
                             "no such service: " + submit.service);
    }
    return acceptJob(state, requestId, submit, now);
}

/// Adds the submitted content to a job that was known only from the journal or from reports, and
/// schedules the job.
Effects resumeRecoveredJob(GatewayState &state, const std::string &requestId, JobEntry &job,
                           const Schema::SubmitJob &submit, Common::Moment now)
{
    if (submit.tasks.size() != job.tasks.size()) {
        return refuseRequest(state, requestId, Reason::IdConflict,
                             "this id was submitted before with other content");
    }
    adoptSubmission(state.ledger, job, submit);
    scheduleJob(state, job, now);
    return waitForJob(state, requestId, job);
}

} // namespace

Effects handleSubmit(GatewayState &state, const std::string &requestId, Common::Moment now)
{
    const Schema::SubmitJob submit = *findRequest(state.requests, requestId)->submit;
    std::optional<Common::Failure> timeFailure;
    Common::handle([&] { return checkTimes(state.ledger, submit, now); },
                   [&](const Common::Failure &failure) { timeFailure = failure; });
    JobEntry *job = findJob(state.ledger, *submit.id);
    const SubmissionStatus status = lookUpSubmission(state.ledger, submit);
    const bool isNew = status == SubmissionStatus::New || status == SubmissionStatus::Refused;
    // Invalid times only prevent a job from being accepted. For example, a job that has ended keeps
    // its answer after its deadline.
    if (timeFailure && isNew) {
        const bool mayHaveRun =
                timeFailure->reason == Reason::DeadlinePassed && status == SubmissionStatus::New
                && jobHistory(state.site, *submit.id, submit.firstSubmittedMs.value_or(0))
                           != JobHistory::NeverStarted;
        if (mayHaveRun) {
            return answerUnknownOutcome(state, requestId, submit, Reason::TaskLost);
        }
        return refuseRequest(state, requestId, timeFailure->reason, timeFailure->detail);
    }
    switch (status) {
    case SubmissionStatus::New:
        return submitUnknownJob(state, requestId, submit, now);
    case SubmissionStatus::Refused:
        removeJob(state.ledger, *submit.id);
        return acceptJob(state, requestId, submit, now);
    case SubmissionStatus::Ended:
        return answerRequest(state, requestId, *job->answer);
    case SubmissionStatus::Conflict:
        return refuseRequest(state, requestId, Reason::IdConflict,
                             "this id was submitted before with other content");
    case SubmissionStatus::Pending:
        return waitForJob(state, requestId, *job);
    case SubmissionStatus::Recovered:
        break;
    }
    return resumeRecoveredJob(state, requestId, *job, submit, now);
}

Effects handleGet(GatewayState &state, const std::string &requestId)
{
    const Request *request = findRequest(state.requests, requestId);
    JobEntry *job = findJob(state.ledger, request->job);
    if (job == nullptr) {
        return refuseRequest(state, requestId, Reason::UnknownJob, "no job with this id is known");
    }
    if (job->answer) {
        return answerRequest(state, requestId, *job->answer);
    }
    if (request->wait) {
        return waitForJob(state, requestId, *job);
    }
    return answerRequest(state, requestId, pendingAnswer(*job));
}

Effects handleCancel(GatewayState &state, const std::string &requestId)
{
    JobEntry *job = findJob(state.ledger, findRequest(state.requests, requestId)->job);
    if (job != nullptr && !job->answer) {
        job->waiters.push_back(requestId);
        return finishJob(state, *job, abortedAnswer(*job, Reason::Cancelled));
    }
    return handleGet(state, requestId);
}

} // namespace Dispatch
