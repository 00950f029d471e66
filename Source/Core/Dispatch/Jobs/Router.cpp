#include "Dispatch/Jobs/Router.h"

#include "Dispatch/Jobs/JobCompletion.h"
#include "Dispatch/Jobs/Submissions.h"

namespace Dispatch {

using Schema::ForwardKind;

namespace {

constexpr const char *RetriedCounter = "auburntrail_forward_retries_total";
constexpr std::int64_t NotOwnerRetryDelayMs = 50;

Effects handleLocally(GatewayState &state, const std::string &requestId, ForwardKind kind,
                      Common::Moment now)
{
    switch (kind) {
    case ForwardKind::Submit:
        return handleSubmit(state, requestId, now);
    case ForwardKind::Cancel:
        return handleCancel(state, requestId);
    default:
        return handleGet(state, requestId);
    }
}

Effects forwardRequest(GatewayState &state, Request &request, const std::string &owner)
{
    if (!request.fromGateway.empty()) {
        // A forwarded request is not forwarded again: two gateways with different ownership tables
        // would send it back and forth. The sender retries with the owner that it knows by then.
        const std::optional<Request> taken = takeRequest(state.requests, request.id);
        Schema::Frame frame = frameOf(Schema::FrameType::ForwardAnswer);
        frame.forwardAnswer.emplace();
        frame.forwardAnswer->requestId = taken->remoteId;
        frame.forwardAnswer->notOwner = true;
        return {SendToGateway{taken->fromGateway, std::move(frame)}};
    }
    markForwarded(state.requests, request, owner);
    return {SendToGateway{owner, forwardFrame(request)}};
}

} // namespace

Effects routeRequest(GatewayState &state, const std::string &requestId, Common::Moment now)
{
    Request *request = findRequest(state.requests, requestId);
    if (request == nullptr || request->stage != RequestStage::Held) {
        return {};
    }
    const std::int64_t shard = shardOf(state.ledger, request->job);
    const std::optional<std::string> owner = ownerOf(state.site.ownership, shard);
    if (!owner) {
        return {};
    }
    if (*owner != state.self.instance) {
        const bool isReachable = peerLive(state.site.ownership, *owner, now);
        return isReachable ? forwardRequest(state, *request, *owner) : Effects{};
    }
    if (shardPhase(state.site.ownership, shard) != ShardPhase::Serving
        || !ownershipConfirmed(state.site.ownership, now)) {
        return {};
    }
    return handleLocally(state, requestId, request->kind, now);
}

Effects routeHeldRequests(GatewayState &state, Common::Moment now)
{
    Effects effects;
    for (const std::string &id : overdueRequests(state.requests, now)) {
        const Request *request = findRequest(state.requests, id);
        append(effects, answerRequest(state, id, ownerUnreachableAnswer(*request)));
    }
    for (const std::string &id : heldRequests(state.requests, now)) {
        append(effects, routeRequest(state, id, now));
    }
    return effects;
}

Effects handleForward(GatewayState &state, const std::string &gateway,
                      const Schema::Forward &forward, Common::Moment now)
{
    Request request;
    request.fromGateway = gateway;
    request.remoteId = forward.requestId;
    request.kind = forward.kind;
    request.wait = forward.wait.value_or(false);
    request.job = forward.job.value_or("");
    request.submit = forward.submit;
    request.deadlineMs = now.wallMs + state.settings.maxDeadlineMs;
    const std::string id = addRequest(state.requests, std::move(request)).id;
    return routeRequest(state, id, now);
}

Effects handleForwardAnswer(GatewayState &state, const Schema::ForwardAnswer &answer,
                            Common::Moment now)
{
    Request *request = findRequest(state.requests, answer.requestId);
    if (request == nullptr || request->stage != RequestStage::Forwarded) {
        return {};
    }
    if (answer.answer) {
        return answerRequest(state, answer.requestId, *answer.answer);
    }
    // The other gateway's ownership table is older or newer than ours. The delay gives the older
    // one time to catch up.
    holdRequest(state.requests, *request, now.steadyMs + NotOwnerRetryDelayMs);
    return {CountReason{RetriedCounter, Schema::Reason::OwnerUnreachable}};
}

std::string generateJobId(const GatewayState &state, Common::Random &random)
{
    constexpr int MaxAttempts = 4096;
    std::string id;
    for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
        id = Common::randomId(random);
        if (shardPhase(state.site.ownership, shardOf(state.ledger, id)) == ShardPhase::Serving) {
            break;
        }
    }
    return id;
}

} // namespace Dispatch
