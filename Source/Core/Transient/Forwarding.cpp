#include "Transient/Forwarding.h"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>

#include "Transient/JobsInternal.h"
#include "Transient/Resubmission.h"

namespace Transient {

namespace {

using Schema::Reason;
using Schema::TransientOutcome;

constexpr const char *ForwardedCounter = "auburntrail_transient_forwarded_total";
/// Used share from which on jobs are forwarded, and by how much more all are. A share that grows
/// with the use settles, while a single limit would make all load go back and forth.
constexpr double ForwardFromShare = 0.45;
constexpr double ForwardAllRange = 0.25;
/// A gateway takes forwarded jobs up to this share of its own processors.
constexpr double TakeUpToShare = 0.6;
/// A job takes about 1 ms of a processor.
constexpr double JobsPerProcessorMs = 1;
/// Sends nothing to a peer whose last announcement is older: it may refuse the job as too late.
constexpr std::int64_t OldAnnouncementMs = 600;
static_assert(SpareIntervalMs < OldAnnouncementMs && OldAnnouncementMs < GrantMs);

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

std::string inToken(const std::string &peer, const std::string &token)
{
    return "forwarded:" + peer + ':' + token;
}

SendToGateway cancelOf(const ForwardedOut &record)
{
    Schema::Frame frame = frameOf(Schema::FrameType::ForwardedCancel);
    frame.forwardedCancel = Schema::ForwardedCancel{record.token};
    return {record.peer, std::move(frame)};
}

/// Logs and counts the end of a forwarded job. \a direction is "out" at the gateway that has
/// forwarded it and "in" at the other one.
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

void sendResult(Effects &effects, const ForwardedIn &record, const JobResult &result)
{
    reportEnd(effects, "in", record.job, record.peer, result);
    effects.emplace_back(resultFrame(record.peer, record.token, result));
}

/// Sends the results of the jobs that have no record any more.
Effects sendSettledResults(GatewayState &state)
{
    Effects effects;
    std::map<std::string, ForwardedIn> &in = state.forwarding.in;
    for (auto entry = in.begin(); entry != in.end();) {
        const ForwardedIn &record = entry->second;
        if (record.unsentResult && state.jobs.count(record.job) == 0) {
            sendResult(effects, record, *record.unsentResult);
            entry = in.erase(entry);
        } else {
            ++entry;
        }
    }
    return effects;
}

std::vector<std::string> sortedIds(const Forwarding &forwarding)
{
    std::vector<std::string> ids;
    for (const auto &[id, record] : forwarding.out) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

void answerTokens(Effects &effects, const std::string &id, ForwardedOut &record,
                  const JobResult &result)
{
    for (const std::string &token : record.tokens) {
        effects.emplace_back(AnswerCaller{token, id, result});
    }
    record.tokens.clear();
}

/// Admits here a job that the peer has not taken.
Effects admitHere(GatewayState &state, const ForwardedOut &record, Common::Moment now,
                  Common::Random &random)
{
    Effects effects;
    for (const std::string &token : record.tokens) {
        Submission submission = record.submission;
        submission.token = token;
        append(effects,
               handleSubmission(state, std::move(submission), MayForward::No, now, random));
    }
    return effects;
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

/// Times in the frame are relative to \a now.
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

/// Least processors that a peer has to spare to be sent a job: as many as this machine has, so that
/// gateways of equal size do not send jobs to and fro. Where requests wait already, less is enough.
double leastSpareProcessors(const GatewayState &state, Common::Moment now)
{
    constexpr double SaturatedShare = 0.25;
    const double own = availableProcessors(state);
    return isStanding(state.requestQueue, now.steadyMs) ? own * SaturatedShare : own;
}

/// A peer with processors to spare, at random by what they can spare; the end of the map if there
/// is none.
std::map<std::string, ForwardingPeer>::iterator choosePeer(GatewayState &state, Common::Moment now,
                                                           Common::Random &random)
{
    std::map<std::string, ForwardingPeer> &peers = state.forwarding.peers;
    const double leastSpare = leastSpareProcessors(state, now);
    const auto weight = [leastSpare, now](const ForwardingPeer &peer) {
        const bool isEligible = peer.spareProcessors >= leastSpare && peer.budget >= 1
                                && now.steadyMs <= peer.heardMs + OldAnnouncementMs;
        return isEligible ? peer.spareProcessors : 0;
    };
    double total = 0;
    for (const auto &[key, peer] : peers) {
        total += weight(peer);
    }
    if (total <= 0) {
        return peers.end();
    }
    double left = std::uniform_real_distribution<double>(0, total)(random);
    auto chosen = peers.end();
    for (auto entry = peers.begin(); entry != peers.end(); ++entry) {
        if (weight(entry->second) > 0) {
            chosen = entry;
            left -= weight(entry->second);
            if (left < 0) {
                break;
            }
        }
    }
    return chosen;
}

/// Answers a forwarded job whose peer was lost, once nothing of it can run any more.
Effects endLost(GatewayState &state, const std::string &id, Common::Moment now,
                Common::Random &random)
{
    Effects effects;
    ForwardedOut record = std::move(state.forwarding.out.at(id));
    state.forwarding.out.erase(id);
    const JobResult result{JobOutcome::GaveUp, Reason::ForwardingFailed, 0};
    reportEnd(effects, "out", id, record.peer, result);
    answerTokens(effects, id, record, result);
    append(effects, admitParked(state, id, now, random));
    return effects;
}

} // namespace

bool takesPartInForwarding(const GatewayState &state)
{
    return isShared(state.shared) && state.shared.forwards && !state.isStopping
           && state.capacity.processors > 0;
}

double availableProcessors(const GatewayState &state)
{
    return state.forwarding.use.available.value_or(state.capacity.processors);
}

Capacity presentCapacity(const GatewayState &state)
{
    return {state.capacity.linkBytesPerMs, availableProcessors(state)};
}

double spareProcessors(const GatewayState &state)
{
    return std::max(0.0, TakeUpToShare - state.forwarding.use.usedShare)
           * availableProcessors(state);
}

double forwardedShare(double usedShare)
{
    return std::clamp((usedShare - ForwardFromShare) / ForwardAllRange, 0.0, 1.0);
}

void addSpare(Schema::GatewayAnnouncement &announcement, const GatewayState &state,
              const std::string &peer, Common::Moment now)
{
    if (!isShared(state.shared) || !state.shared.forwards) {
        return;
    }
    announcement.sentMs = now.steadyMs;
    const auto found = state.forwarding.peers.find(peer);
    announcement.echoMs = found == state.forwarding.peers.end() ? 0 : found->second.sentMs;
    if (takesPartInForwarding(state)) {
        announcement.spareProcessors = spareProcessors(state);
    }
}

void spareAnnounced(GatewayState &state, const std::string &peer,
                    const Schema::GatewayAnnouncement &announcement, Common::Moment now)
{
    if (!announcement.sentMs) {
        return;
    }
    ForwardingPeer &known = state.forwarding.peers[peer];
    known.spareProcessors = announcement.spareProcessors.value_or(0);
    known.budget =
            known.spareProcessors * static_cast<double>(SpareIntervalMs) * JobsPerProcessorMs;
    known.sentMs = *announcement.sentMs;
    known.heardMs = now.steadyMs;
}

std::optional<Effects> forward(GatewayState &state, Submission &submission, Common::Moment now,
                               Common::Random &random)
{
    const std::int64_t deadlineMs =
            submission.arrivedMs.value_or(now.steadyMs) + submission.remainingTimeoutMs;
    const double share = isStanding(state.requestQueue, now.steadyMs)
                                 ? 1
                                 : forwardedShare(state.forwarding.use.usedShare);
    if (!takesPartInForwarding(state) || share <= 0 || now.steadyMs >= deadlineMs
        || std::uniform_real_distribution<double>(0, 1)(random) >= share) {
        return std::nullopt;
    }
    const auto peer = choosePeer(state, now, random);
    if (peer == state.forwarding.peers.end()) {
        return std::nullopt;
    }
    peer->second.budget -= 1;
    ForwardedOut record;
    record.peer = peer->first;
    record.token = std::to_string(++state.forwarding.lastToken);
    record.tokens.push_back(submission.token);
    record.arrivedMs = submission.arrivedMs.value_or(now.steadyMs);
    record.deadlineMs = deadlineMs;
    record.submission = std::move(submission);
    const std::string id = record.submission.request.id;
    Effects effects;
    effects.emplace_back(LogLine{"job_forwarded",
                                 {{"job", id},
                                  {"queue", record.submission.queue.name},
                                  {"peer", record.peer},
                                  {"used_percent", text(state.forwarding.use.usedShare * 100)},
                                  {"age_ms", std::to_string(now.steadyMs - record.arrivedMs)}}});
    effects.emplace_back(SendToGateway{record.peer, jobFrame(record, peer->second, now)});
    state.forwarding.out.emplace(id, std::move(record));
    return effects;
}

Effects joinForwarded(GatewayState &state, Submission submission, Common::Moment now)
{
    Effects effects;
    const std::string id = submission.request.id;
    ForwardedOut &record = state.forwarding.out.at(id);
    if (record.isCancelled || record.lostAtMs) {
        effects.emplace_back(LogLine{"job_parked", {{"job", id}, {"forwarded", "true"}}});
        state.parked[id].push_back(std::move(submission));
        return effects;
    }
    record.tokens.push_back(submission.token);
    effects.emplace_back(LogLine{"job_joined",
                                 {{"job", id},
                                  {"requests", std::to_string(record.tokens.size())},
                                  {"age_ms", std::to_string(now.steadyMs - record.arrivedMs)}}});
    return effects;
}

std::optional<Effects> forwardedCallerLeft(GatewayState &state, const std::string &token)
{
    for (auto &[id, record] : state.forwarding.out) {
        const auto found = std::find(record.tokens.begin(), record.tokens.end(), token);
        if (found == record.tokens.end()) {
            continue;
        }
        record.tokens.erase(found);
        return record.tokens.empty() ? endForwarded(state, id, Reason::CallerGone) : Effects{};
    }
    return std::nullopt;
}

Effects endForwarded(GatewayState &state, const std::string &id, Reason reason)
{
    Effects effects;
    ForwardedOut &record = state.forwarding.out.at(id);
    answerTokens(effects, id, record, {JobOutcome::GaveUp, reason, 0});
    if (!record.isCancelled && !record.lostAtMs) {
        effects.emplace_back(cancelOf(record));
    }
    record.isCancelled = true;
    return effects;
}

Effects updateForwarded(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects = sendSettledResults(state);
    for (const std::string &id : sortedIds(state.forwarding)) {
        const auto found = state.forwarding.out.find(id);
        if (found == state.forwarding.out.end()) {
            continue;
        }
        const ForwardedOut &record = found->second;
        if (now.steadyMs >= record.deadlineMs && !record.isCancelled) {
            append(effects, endForwarded(state, id, Reason::DeadlinePassed));
        }
        if (record.lostAtMs && now.steadyMs >= *record.lostAtMs + state.times.settleMs) {
            append(effects, endLost(state, id, now, random));
        }
    }
    return effects;
}

Effects endAllForwarded(GatewayState &state)
{
    Effects effects;
    for (const std::string &id : sortedIds(state.forwarding)) {
        if (!state.forwarding.out.at(id).isCancelled) {
            append(effects, endForwarded(state, id, Reason::Stopping));
        }
    }
    return effects;
}

std::int64_t nextForwardedMs(const GatewayState &state, std::int64_t sweepMs)
{
    std::int64_t next = std::numeric_limits<std::int64_t>::max();
    for (const auto &[id, record] : state.forwarding.out) {
        if (!record.isCancelled) {
            next = std::min(next, record.deadlineMs);
        }
        if (record.lostAtMs) {
            next = std::min(next, *record.lostAtMs + state.times.settleMs);
        }
    }
    for (const auto &[token, record] : state.forwarding.in) {
        if (record.unsentResult) {
            next = std::min(next, sweepMs);
        }
    }
    return next;
}

Effects forwardedJobReceived(GatewayState &state, const std::string &peer,
                             const Schema::ForwardedJob &job, Common::Moment now,
                             Common::Random &random)
{
    Effects effects;
    const ForwardedIn record{peer, job.token, job.job, std::nullopt};
    effects.emplace_back(LogLine{"forwarded_job_received",
                                 {{"job", job.job},
                                  {"peer", peer},
                                  {"age_ms", std::to_string(job.ageMs)},
                                  {"echo_ms", std::to_string(now.steadyMs - job.echoMs)}}});
    if (state.isStopping || now.steadyMs - job.echoMs > GrantMs) {
        // A frame that was held up: by now the sender may have given the job up, and the caller may
        // have submitted it again.
        sendResult(effects, record, {JobOutcome::Refused, Reason::ForwardingFailed, RetryMs});
        return effects;
    }
    const std::string token = inToken(peer, job.token);
    state.forwarding.in[token] = record;
    append(effects,
           handleSubmission(state, submissionOf(job, token, now), MayForward::No, now, random));
    return effects;
}

Effects forwardedCancelReceived(GatewayState &state, const std::string &peer,
                                const Schema::ForwardedCancel &cancel, Common::Moment now)
{
    const std::string token = inToken(peer, cancel.token);
    const auto found = state.forwarding.in.find(token);
    if (found == state.forwarding.in.end()) {
        // The result is on its way, or the job never arrived.
        return {resultFrame(peer, cancel.token, {JobOutcome::GaveUp, Reason::CallerGone, 0})};
    }
    if (found->second.unsentResult) {
        return {};
    }
    found->second.unsentResult = JobResult{JobOutcome::GaveUp, Reason::CallerGone, 0};
    Effects effects = handleCallerDisconnected(state, token, now);
    append(effects, sendSettledResults(state));
    return effects;
}

Effects forwardedResultReceived(GatewayState &state, const std::string &peer,
                                const Schema::ForwardedResult &received, Common::Moment now,
                                Common::Random &random)
{
    std::unordered_map<std::string, ForwardedOut> &out = state.forwarding.out;
    const auto found = std::find_if(out.begin(), out.end(), [&](const auto &entry) {
        return entry.second.peer == peer && entry.second.token == received.token;
    });
    if (found == out.end() || found->second.lostAtMs) {
        return {};
    }
    const std::string id = found->first;
    ForwardedOut record = std::move(found->second);
    out.erase(found);
    const JobResult result{fromSchema(received.outcome), received.reason, received.retryAfterMs};
    Effects effects;
    reportEnd(effects, "out", id, peer, result);
    if (result.outcome == JobOutcome::Succeeded || result.outcome == JobOutcome::Failed) {
        state.finished[id] = {result, now.steadyMs + state.times.retentionMs};
    }
    const bool wasNotTaken =
            result.outcome == JobOutcome::Refused
            && (result.reason == Reason::ForwardingFailed || result.reason == Reason::Stopping);
    if (wasNotTaken && now.steadyMs < record.deadlineMs) {
        append(effects, admitHere(state, record, now, random));
    } else {
        answerTokens(effects, id, record, result);
    }
    append(effects, admitParked(state, id, now, random));
    return effects;
}

Effects handlePeerLost(GatewayState &state, const std::string &peer, Common::Moment now)
{
    Effects effects;
    Forwarding &forwarding = state.forwarding;
    forwarding.peers.erase(peer);
    for (auto &[id, record] : forwarding.out) {
        if (record.peer == peer && !record.lostAtMs) {
            record.lostAtMs = now.steadyMs;
        }
    }
    std::vector<std::string> tokens;
    for (auto entry = forwarding.in.begin(); entry != forwarding.in.end();) {
        if (entry->second.peer != peer) {
            ++entry;
            continue;
        }
        tokens.push_back(entry->first);
        reportEnd(effects, "in", entry->second.job, peer,
                  {JobOutcome::GaveUp, Reason::CallerGone, 0});
        entry = forwarding.in.erase(entry);
    }
    for (const std::string &token : tokens) {
        append(effects, handleCallerDisconnected(state, token, now));
    }
    return effects;
}

std::optional<Effects> answerForwarded(GatewayState &state, const AnswerCaller &answer)
{
    const auto found = state.forwarding.in.find(answer.token);
    if (found == state.forwarding.in.end()) {
        return std::nullopt;
    }
    ForwardedIn &record = found->second;
    if (answer.result.outcome == JobOutcome::GaveUp) {
        record.unsentResult = answer.result;
        return sendSettledResults(state);
    }
    Effects effects;
    sendResult(effects, record, answer.result);
    state.forwarding.in.erase(found);
    return effects;
}

bool isForwarded(const GatewayState &state, const std::string &id, const std::string &queue)
{
    const auto found = state.forwarding.out.find(id);
    return found != state.forwarding.out.end() && !found->second.isCancelled
           && found->second.submission.queue.name == queue;
}

bool usesPeer(const Forwarding &forwarding, const std::string &peer)
{
    const auto isOnLink = [&peer](const auto &entry) { return entry.second.peer == peer; };
    return std::any_of(forwarding.out.begin(), forwarding.out.end(), isOnLink)
           || std::any_of(forwarding.in.begin(), forwarding.in.end(), isOnLink);
}

} // namespace Transient
