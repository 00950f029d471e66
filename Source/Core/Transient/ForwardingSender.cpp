#include <algorithm>
#include <limits>
#include <random>
#include <utility>

#include "Transient/ForwardingFrames.h"
#include "Transient/ForwardingPeers.h"
#include "Transient/JobsInternal.h"

/// Jobs that this gateway has forwarded to others.
namespace Transient {

namespace {

using Schema::Reason;

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
    const JobResult result = resultOf(received);
    Effects effects;
    reportEnd(effects, "out", id, peer, result);
    if (result.outcome == JobOutcome::Succeeded || result.outcome == JobOutcome::Failed) {
        state.finished[id] = {result, now.steadyMs + state.times.retentionMs,
                              record.submission.queue};
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
    Forwarding &forwarding = state.forwarding;
    forwarding.peers.erase(peer);
    for (auto &[id, record] : forwarding.out) {
        if (record.peer == peer && !record.lostAtMs) {
            record.lostAtMs = now.steadyMs;
        }
    }
    return endForwardedBy(state, peer, now);
}

bool usesPeer(const Forwarding &forwarding, const std::string &peer)
{
    const auto isOnLink = [&peer](const auto &entry) { return entry.second.peer == peer; };
    return std::any_of(forwarding.out.begin(), forwarding.out.end(), isOnLink)
           || std::any_of(forwarding.in.begin(), forwarding.in.end(), isOnLink);
}

} // namespace Transient
