#include "Agent/AgentCore.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Agent/BackendAnswer.h"
#include "Agent/Reports.h"
#include "Agent/Starts.h"

namespace Agent {

namespace {

std::string senderOf(const Endpoint &endpoint)
{
    return endpoint.answered ? endpoint.instance : std::string();
}

Effects setDrain(AgentState &state, bool drained, bool evacuated, Common::Moment now)
{
    if (state.drainConfigured == drained) {
        return {};
    }
    state.drainConfigured = drained;
    Effects effects{LogLine{drained ? "drain_started" : "drain_ended",
                            {{"failure_domain", state.backend.failureDomain},
                             {"evacuated", evacuated ? "true" : "false"},
                             {"version", std::to_string(state.configVersion)}}}};
    if (drained) {
        append(effects, returnQueued(state, Schema::Reason::AgentDraining, now));
    }
    append(effects, sendHellos(state, true, now));
    return effects;
}

/// Ignores documents that are not newer than the current one, so that a late document cannot revert
/// the configuration.
Effects updateConfiguration(AgentState &state, const Schema::Configuration &configuration,
                            Common::Moment now)
{
    if (configuration.version <= state.configVersion) {
        return {};
    }
    state.configVersion = configuration.version;
    const auto &drains = configuration.drains;
    const bool drained = std::any_of(drains.begin(), drains.end(), [&](const Schema::Drain &drain) {
        return drain.backend == state.backend.name;
    });
    const auto evacuations = configuration.evacuations.value_or(std::vector<Schema::Evacuation>{});
    const bool evacuated = std::any_of(
            evacuations.begin(), evacuations.end(), [&](const Schema::Evacuation &evacuation) {
                return evacuation.failureDomain == state.backend.failureDomain;
            });
    return setDrain(state, drained || evacuated, evacuated, now);
}

Effects updateTable(AgentState &state, const Schema::OwnershipTable &table, Common::Moment now)
{
    const bool newer = table.version > state.fence.tableVersion;
    const RaisedShards raised = mergeTable(state.fence, table);
    if (newer) {
        setRoster(state.links, state.fence.roster);
    }
    return applyRaisedEpochs(state, raised, now);
}

/// Closes a second link to the same gateway, so that states do not arrive twice. Such a link arises
/// where the settings name a load balancer, or a gateway by another address than the roster.
Effects closeDuplicate(AgentState &state, Endpoint &endpoint, Common::Moment now)
{
    Effects effects{CloseLink{endpoint.link},
                    LogLine{"link_duplicate", {{"gateway", endpoint.host}}}};
    markClosed(state.links, endpoint, now);
    return effects;
}

Effects handlePong(AgentState &state, Endpoint &endpoint, const Schema::GatewayPong &pong,
                   Common::Moment now)
{
    Effects effects;
    const bool first = !endpoint.answered;
    const std::optional<std::int64_t> sentMs = recordPong(endpoint, pong);
    if (isDuplicate(state.links, endpoint)) {
        return closeDuplicate(state, endpoint, now);
    }
    if (first) {
        makeReportsDue(state, pong.instance, now);
        effects.emplace_back(LogLine{"link_answered", {{"gateway", pong.instance}}});
    }
    if (pong.table) {
        append(effects, updateTable(state, *pong.table, now));
    }
    if (pong.configuration) {
        append(effects, updateConfiguration(state, *pong.configuration, now));
    }
    if (sentMs) {
        recordHelloAnswer(state.fence, pong, *sentMs);
    }
    return effects;
}

Effects handleStartTasks(AgentState &state, Endpoint &endpoint, const Schema::StartTasks &starts,
                         Common::Moment now)
{
    endpoint.demand = starts.demand;
    return acceptStarts(state, endpoint.link, senderOf(endpoint), starts, now);
}

Effects handleAskTasks(AgentState &state, const Endpoint &endpoint, const Schema::AskTasks &ask,
                       Common::Moment now)
{
    const LinkNumber link = endpoint.link;
    Effects effects = applyRaisedEpochs(state, mergeShards(state.fence, ask.shards), now);
    append(effects, answerAskTasks(state, link, ask, now));
    return effects;
}

bool hasPayload(const Schema::Frame &frame)
{
    switch (frame.type) {
    case Schema::FrameType::GatewayPong:
        return frame.gatewayPong.has_value();
    case Schema::FrameType::StartTasks:
        return frame.startTasks.has_value();
    case Schema::FrameType::AcknowledgeTasks:
        return frame.acknowledgeTasks.has_value();
    case Schema::FrameType::CancelTasks:
        return frame.cancelTasks.has_value();
    case Schema::FrameType::AskTasks:
        return frame.askTasks.has_value();
    default:
        return false;
    }
}

Effects handleFrame(AgentState &state, Endpoint &endpoint, const Schema::Frame &frame,
                    Common::Moment now)
{
    if (!hasPayload(frame)) {
        return {CountReason{RefusalsCounter, Schema::Reason::Malformed}};
    }
    switch (frame.type) {
    case Schema::FrameType::GatewayPong:
        return handlePong(state, endpoint, *frame.gatewayPong, now);
    case Schema::FrameType::StartTasks:
        return handleStartTasks(state, endpoint, *frame.startTasks, now);
    case Schema::FrameType::AcknowledgeTasks:
        handleAcknowledgement(state, senderOf(endpoint), *frame.acknowledgeTasks);
        return {};
    case Schema::FrameType::CancelTasks:
        return cancelQueued(state, *frame.cancelTasks, now);
    default:
        return handleAskTasks(state, endpoint, *frame.askTasks, now);
    }
}

/// Restarts the silence timers of all links after this process was paused for at least half of
/// silenceMs: frames that arrived meanwhile are still unread, so the links only look silent. The
/// lease is not extended, since it counts from the times at which hellos were sent.
void resetSilenceAfterPause(AgentState &state, Common::Moment now)
{
    const std::int64_t pausedMs = state.lastTickMs == 0 ? 0 : now.steadyMs - state.lastTickMs;
    state.lastTickMs = now.steadyMs;
    if (pausedMs < state.links.options.silenceMs / 2) {
        return;
    }
    for (auto &entry : state.links.endpoints) {
        entry.second.lastReceivedMs = now.steadyMs;
    }
}

} // namespace

Effects linkOpened(AgentState &state, LinkNumber link, Common::Moment now)
{
    Endpoint *endpoint = findLink(state.links, link);
    if (endpoint == nullptr) {
        return {CloseLink{link}};
    }
    markOpen(*endpoint, now);
    return sendHellos(state, false, now);
}

Effects linkClosed(AgentState &state, LinkNumber link, Common::Moment now)
{
    Endpoint *endpoint = findLink(state.links, link);
    if (endpoint == nullptr) {
        return {};
    }
    Effects effects;
    if (endpoint->stage == LinkStage::Open) {
        effects.emplace_back(CountReason{LinkLossesCounter, Schema::Reason::ConnectionLost});
        effects.emplace_back(LogLine{"link_lost", {{"gateway", endpoint->host}}});
    }
    state.directReplies.erase(link);
    markClosed(state.links, *endpoint, now);
    return effects;
}

Effects frameReceived(AgentState &state, LinkNumber link, const Schema::Frame &frame,
                      Common::Moment now)
{
    Endpoint *endpoint = findLink(state.links, link);
    if (endpoint == nullptr) {
        return {};
    }
    endpoint->lastReceivedMs = now.steadyMs;
    return handleFrame(state, *endpoint, frame, now);
}

Effects runAnswered(AgentState &state, const TaskKey &key, const Net::HttpResult &answer,
                    Common::Moment now)
{
    return endRunning(state, key, readRunAnswer(answer), now);
}

Effects healthAnswered(AgentState &state, bool healthy, Common::Moment now)
{
    if (healthy == state.healthy) {
        return {};
    }
    state.healthy = healthy;
    Effects effects{LogLine{healthy ? "backend_healthy" : "backend_unhealthy", {}}};
    append(effects, sendHellos(state, true, now));
    return effects;
}

Effects tick(AgentState &state, Common::Moment now)
{
    resetSilenceAfterPause(state, now);
    Effects effects = superviseLinks(state.links, now);
    append(effects, startQueued(state, now));
    append(effects, sendHellos(state, false, now));
    const std::size_t unacknowledged = removeExpired(state.outcomes, now);
    if (unacknowledged != 0) {
        effects.emplace_back(CountReason{DroppedCounter, Schema::Reason::OwnerUnreachable,
                                         static_cast<double>(unacknowledged)});
    }
    return effects;
}

Effects flush(AgentState &state, Common::Moment now)
{
    return flushReports(state, now);
}

Effects beginStop(AgentState &state, Common::Moment now)
{
    state.stopping = true;
    state.stopDeadlineMs = now.steadyMs + state.stopTimeoutMs;
    Effects effects{LogLine{"stopping", {{"running", std::to_string(state.slots.running.size())}}}};
    append(effects, returnQueued(state, Schema::Reason::AgentDraining, now));
    append(effects, sendHellos(state, true, now));
    return effects;
}

bool stopFinished(const AgentState &state, Common::Moment now)
{
    if (!state.stopping) {
        return false;
    }
    const bool idle = state.slots.running.empty() && state.slots.queue.empty();
    const bool reported = state.outcomes.pendingReports.empty() && state.directReplies.empty();
    return (idle && reported) || now.steadyMs >= state.stopDeadlineMs;
}

bool isReady(const AgentState &state, Common::Moment now)
{
    return state.healthy && !isDraining(state) && leaseLeftMs(state.fence, now) > 0;
}

} // namespace Agent
