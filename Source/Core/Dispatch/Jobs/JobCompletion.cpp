#include "Dispatch/Jobs/JobCompletion.h"

#include <map>
#include <optional>
#include <utility>

#include "Dispatch/Persistence/JobAnswers.h"

namespace Dispatch {

using Schema::Reason;

namespace {

constexpr const char *RefusedCounter = "auburntrail_jobs_refused_total";
constexpr const char *EndedCounter = "auburntrail_jobs_ended_total";

/// Refusals that start nothing but don't prove that the id has never run: it may have run with
/// other content, or so long ago that its record has expired.
bool mayHaveRunBefore(Reason reason)
{
    return reason == Reason::IdConflict || reason == Reason::SubmissionTooOld
           || reason == Reason::UnknownJob;
}

} // namespace

Effects answerRequest(GatewayState &state, const std::string &requestId,
                      const Schema::JobAnswer &answer)
{
    const std::optional<Request> request = takeRequest(state.requests, requestId);
    if (!request) {
        return {};
    }
    if (request->fromGateway.empty()) {
        return {AnswerRequest{request->remoteId, answer}};
    }
    Schema::Frame frame = frameOf(Schema::FrameType::ForwardAnswer);
    frame.forwardAnswer.emplace();
    frame.forwardAnswer->requestId = request->remoteId;
    frame.forwardAnswer->answer = answer;
    return {SendToGateway{request->fromGateway, std::move(frame)}};
}

Effects refuseRequest(GatewayState &state, const std::string &requestId, Reason reason,
                      const std::string &detail, std::int64_t retryAfterMs)
{
    const Request *request = findRequest(state.requests, requestId);
    if (request == nullptr) {
        return {};
    }
    const std::size_t taskCount = request->submit ? request->submit->tasks.size() : 0;
    Schema::JobAnswer answer = refusal(request->job, taskCount, reason, detail, retryAfterMs);
    answer.notRun = !mayHaveRunBefore(reason);
    Effects effects{CountReason{RefusedCounter, reason}};
    append(effects, answerRequest(state, requestId, answer));
    return effects;
}

Effects answerRequests(GatewayState &state, const std::vector<std::string> &requests,
                       const Schema::JobAnswer &answer)
{
    Effects effects;
    for (const std::string &request : requests) {
        append(effects, answerRequest(state, request, answer));
    }
    return effects;
}

Effects finishJob(GatewayState &state, JobEntry &job, const Schema::JobAnswer &answer)
{
    std::map<std::string, Schema::TaskRefs> cancelled;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const TaskEntry &task = job.tasks[index];
        if (task.stage == TaskStage::Sent && !task.agent.empty()) {
            Schema::TaskRef ref;
            ref.job = job.id;
            ref.index = static_cast<std::int64_t>(index);
            cancelled[task.agent].tasks.push_back(std::move(ref));
        }
    }
    Effects effects{CountReason{EndedCounter, answer.reason}};
    append(effects, answerRequests(state, endJob(state.ledger, job, answer), answer));
    dropJob(state.scheduler, job.id);
    state.awaitingIntent.erase(job.id);
    for (auto &[agent, refs] : cancelled) {
        Schema::Frame frame = frameOf(Schema::FrameType::CancelTasks);
        frame.cancelTasks = std::move(refs);
        effects.emplace_back(SendToAgent{agent, std::move(frame)});
    }
    return effects;
}

Effects finishIfDecided(GatewayState &state, JobEntry &job)
{
    if (job.answer) {
        return {};
    }
    const std::optional<Schema::JobAnswer> answer = decidedAnswer(job);
    return answer ? finishJob(state, job, *answer) : Effects{};
}

Effects finishOverdueJobs(GatewayState &state, Common::Moment now)
{
    Effects effects;
    for (const ExpiredJob &expired : expiredJobs(state.scheduler, now)) {
        JobEntry *job = findJob(state.ledger, expired.job);
        if (job != nullptr && !job->answer) {
            Schema::JobAnswer answer =
                    abortedAnswer(*job, expired.refusal.reason, expired.refusal.detail);
            if (expired.refusal.retryAfterMs > 0) {
                answer.retryAfterMs = expired.refusal.retryAfterMs;
            }
            append(effects, finishJob(state, *job, answer));
        }
    }
    for (const std::string &id : pastDeadline(state.ledger, now)) {
        JobEntry *job = findJob(state.ledger, id);
        if (job != nullptr && !job->answer) {
            append(effects, finishJob(state, *job, abortedAnswer(*job, Reason::DeadlinePassed)));
        }
    }
    return effects;
}

} // namespace Dispatch
