#include "Transient/ForwardingFrames.h"

#include <algorithm>
#include <utility>

namespace Transient {

namespace {

using Schema::TransientOutcome;

constexpr const char *ForwardedCounter = "auburntrail_transient_forwarded_total";

constexpr std::pair<JobOutcome, TransientOutcome> Outcomes[]{
        {JobOutcome::Succeeded, TransientOutcome::Succeeded},
        {JobOutcome::Failed, TransientOutcome::Failed},
        {JobOutcome::Refused, TransientOutcome::Refused},
        {JobOutcome::GaveUp, TransientOutcome::GaveUp}};

TransientOutcome toSchema(JobOutcome outcome)
{
    return std::find_if(std::begin(Outcomes), std::end(Outcomes),
                        [outcome](const auto &pair) { return pair.first == outcome; })
            ->second;
}

JobOutcome fromSchema(TransientOutcome outcome)
{
    return std::find_if(std::begin(Outcomes), std::end(Outcomes),
                        [outcome](const auto &pair) { return pair.second == outcome; })
            ->first;
}

Schema::TransientStep stepFrame(const StepRequest &request)
{
    Schema::TransientStep step;
    step.after.assign(request.after.begin(), request.after.end());
    step.dataRack = request.dataRack;
    step.expectedRunMs = request.expectedRunMs;
    step.maxTasksPerBackend = request.maxTasksPerBackend;
    step.requiredLabel = request.requiredLabel;
    step.resources = request.resources;
    step.taskCount = request.taskCount;
    return step;
}

StepRequest stepRequest(const Schema::TransientStep &step)
{
    StepRequest request;
    for (const std::int64_t earlier : step.after) {
        request.after.push_back(static_cast<int>(earlier));
    }
    request.dataRack = step.dataRack;
    request.expectedRunMs = step.expectedRunMs;
    request.maxTasksPerBackend = static_cast<int>(step.maxTasksPerBackend);
    request.requiredLabel = step.requiredLabel;
    request.resources = step.resources;
    request.taskCount = static_cast<int>(step.taskCount);
    return request;
}

} // namespace

Schema::Frame jobFrame(const ForwardedOut &record, const ForwardingPeer &peer, Common::Moment now)
{
    const Submission &submission = record.submission;
    Schema::ForwardedJob job;
    job.ageMs = now.steadyMs - record.arrivedMs;
    job.echoMs = peer.sentMs;
    job.job = submission.request.id;
    job.payload = submission.request.payload;
    job.queue = submission.queue;
    for (const StepRequest &request : submission.request.steps) {
        job.steps.push_back(stepFrame(request));
    }
    job.timeoutInMs = record.deadlineMs - now.steadyMs;
    job.token = record.token;
    Schema::Frame frame = frameOf(Schema::FrameType::ForwardedJob);
    frame.forwardedJob = std::move(job);
    return frame;
}

Submission submissionOf(const Schema::ForwardedJob &job, std::string token, Common::Moment now)
{
    Submission submission;
    submission.token = std::move(token);
    submission.queue = job.queue;
    submission.request.id = job.job;
    submission.request.payload = job.payload;
    for (const Schema::TransientStep &step : job.steps) {
        submission.request.steps.push_back(stepRequest(step));
    }
    submission.remainingTimeoutMs = job.ageMs + job.timeoutInMs;
    submission.arrivedMs = now.steadyMs - job.ageMs;
    return submission;
}

SendToGateway cancelOf(const ForwardedOut &record)
{
    Schema::Frame frame = frameOf(Schema::FrameType::ForwardedCancel);
    frame.forwardedCancel = Schema::ForwardedCancel{record.token};
    return {record.peer, std::move(frame)};
}

SendToGateway resultFrame(const std::string &peer, const std::string &token,
                          const JobResult &result)
{
    Schema::Frame frame = frameOf(Schema::FrameType::ForwardedResult);
    frame.forwardedResult = Schema::ForwardedResult{};
    frame.forwardedResult->outcome = toSchema(result.outcome);
    frame.forwardedResult->reason = result.reason;
    frame.forwardedResult->retryAfterMs = result.retryAfterMs;
    frame.forwardedResult->token = token;
    return {peer, std::move(frame)};
}

JobResult resultOf(const Schema::ForwardedResult &received)
{
    return {fromSchema(received.outcome), received.reason, received.retryAfterMs};
}

void reportEnd(Effects &effects, const std::string &direction, const std::string &job,
               const std::string &peer, const JobResult &result)
{
    effects.emplace_back(
            LogLine{"forwarded_job_ended",
                    {{"job", job},
                     {"direction", direction},
                     {"peer", peer},
                     {"outcome", std::string(Common::nameOf(JobOutcomeNames, result.outcome))},
                     {"reason", Schema::enumName(result.reason)}}});
    effects.emplace_back(CountReason{ForwardedCounter, result.reason, {{"direction", direction}}});
}

} // namespace Transient
