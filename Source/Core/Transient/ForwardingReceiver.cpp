#include <utility>

#include "Transient/ForwardingFrames.h"
#include "Transient/JobsInternal.h"
#include "Transient/Resubmission.h"

/// Jobs that other gateways have forwarded to this one.
namespace Transient {

namespace {

using Schema::Reason;

std::string inToken(const std::string &peer, const std::string &token)
{
    return "forwarded:" + peer + ':' + token;
}

void sendResult(Effects &effects, const ForwardedIn &record, const JobResult &result)
{
    reportEnd(effects, "in", record.job, record.peer, result);
    effects.emplace_back(resultFrame(record.peer, record.token, result));
}

} // namespace

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

Effects endForwardedBy(GatewayState &state, const std::string &peer, Common::Moment now)
{
    Effects effects;
    std::map<std::string, ForwardedIn> &in = state.forwarding.in;
    std::vector<std::string> tokens;
    for (auto entry = in.begin(); entry != in.end();) {
        if (entry->second.peer != peer) {
            ++entry;
            continue;
        }
        tokens.push_back(entry->first);
        reportEnd(effects, "in", entry->second.job, peer,
                  {JobOutcome::GaveUp, Reason::CallerGone, 0});
        entry = in.erase(entry);
    }
    for (const std::string &token : tokens) {
        append(effects, handleCallerDisconnected(state, token, now));
    }
    return effects;
}

} // namespace Transient
