#include "Dispatch/GatewayCore.h"

#include <algorithm>
#include <set>

#include "Dispatch/Jobs/JobCompletion.h"
#include "Dispatch/Jobs/Router.h"
#include "Dispatch/Jobs/TaskReports.h"
#include "Dispatch/Jobs/TaskStarts.h"
#include "Dispatch/Ownership/Transfer.h"
#include "Dispatch/Persistence/Recovery.h"
#include "Dispatch/Query/SiteQuery.h"

namespace Dispatch {

using Schema::FrameType;
using Schema::Reason;

namespace {

/// Time for the answer to arrive: the owner sends it as late as the job's deadline.
constexpr std::int64_t AnswerGraceMs = 2'000;
constexpr std::int64_t NonWaitingTimeoutMs = 10'000;
constexpr std::int64_t SweepIntervalMs = 1'000;
/// An agent that has been disconnected for this many times agentSilenceMs is removed, and the
/// outcomes of its tasks are lost.
constexpr std::int64_t AgentExpiryFactor = 4;

std::vector<std::string> knownFailureDomains(const GatewayState &state)
{
    std::set<std::string> names;
    for (const Schema::Member &gateway : state.site.ownership.table.roster) {
        names.insert(gateway.failureDomain);
    }
    for (const FailureDomainLoad &domain : state.scheduler.pool.domains) {
        names.insert(domain.name);
    }
    return {names.begin(), names.end()};
}

LedgerSettings ledgerSettings(const Schema::GatewaySettings &settings)
{
    LedgerSettings ledger;
    ledger.shardCount = settings.shardCount;
    ledger.dedupWindowMs = settings.dedupWindowMs;
    ledger.defaultDeadlineMs = settings.defaultDeadlineMs;
    ledger.maxDeadlineMs = settings.maxDeadlineMs;
    ledger.clockSkewMs = MaxSubmissionSkewMs;
    return ledger;
}

Effect makePong(const GatewayState &state, const std::string &agent,
                const Schema::AgentHello &hello)
{
    Schema::Frame frame = frameOf(FrameType::GatewayPong);
    Schema::GatewayPong &pong = frame.gatewayPong.emplace();
    pong.instance = state.self.instance;
    pong.sequence = hello.sequence;
    pong.demand = totalDemand(state.scheduler);
    pong.tableVersion = ownershipVersion(state.site.ownership);
    const Schema::Configuration &config = configuration(state.site.config);
    pong.configVersion = config.version;
    if (hello.tableVersion < pong.tableVersion) {
        pong.table = ownershipTable(state.site.ownership);
    }
    if (hello.configVersion < config.version) {
        pong.configuration = config;
    }
    return SendToAgent{agent, std::move(frame)};
}

Effects handleAgentHello(GatewayState &state, const std::string &agent,
                         const Schema::AgentHello &hello, Common::Moment now)
{
    const auto known = state.agents.agents.find(agent);
    const bool isNewConnection = known == state.agents.agents.end() || !known->second.isConnected;
    Effects effects;
    for (const std::string &replaced : connectAgent(state.agents, agent, hello.backend.name)) {
        append(effects, removeLostAgent(state, replaced, now));
    }
    agentHelloReceived(state.scheduler, hello, now);
    effects.push_back(makePong(state, agent, hello));
    if (isNewConnection) {
        effects.emplace_back(
                LogLine{"agent_linked", {{"agent", agent}, {"backend", hello.backend.name}}});
        append(effects, askAfterReconnection(state, agent));
    }
    return effects;
}

/// Passes a new configuration to the scheduler.
void updateSchedulerConfiguration(GatewayState &state, Common::Moment now)
{
    const Schema::Configuration &config = configuration(state.site.config);
    if (config.version != state.schedulerConfigVersion) {
        state.schedulerConfigVersion = config.version;
        configureScheduler(state.scheduler, config, now);
    }
}

void countGateways(GatewayState &state, Common::Moment now)
{
    int live = 0;
    for (const Schema::Member &member : state.site.ownership.table.roster) {
        const bool isSelf = member.instance == state.self.instance;
        live += isSelf || peerLive(state.site.ownership, member.instance, now) ? 1 : 0;
    }
    setGatewayCount(state.scheduler, std::max(live, 1));
}

Effects sweep(GatewayState &state, Common::Moment now)
{
    if (now.steadyMs < state.lastSweepMs + SweepIntervalMs) {
        return {};
    }
    state.lastSweepMs = now.steadyMs;
    countGateways(state, now);
    removeExpiredJobs(state.ledger, now);
    Effects effects;
    const std::int64_t graceMs = AgentExpiryFactor * state.settings.agentSilenceMs;
    for (const std::string &agent : expiredAgents(state.agents, now, graceMs)) {
        append(effects, removeLostAgent(state, agent, now));
    }
    return effects;
}

Effects answerConfigChanges(GatewayState &state)
{
    Effects effects;
    for (const ChangeResult &result : takeChangeResults(state.site.config)) {
        AnswerConfigure answer;
        answer.requestId = result.requestId;
        answer.version = result.version;
        if (result.status == ChangeStatus::Conflict) {
            answer.reason = Reason::ConfigConflict;
            answer.detail = "another change to the same key came first";
        } else if (result.status == ChangeStatus::Unknown) {
            answer.reason = Reason::LogUnavailable;
            answer.detail =
                    "the log has not confirmed the change in time; it may still take effect";
        }
        effects.emplace_back(std::move(answer));
    }
    return effects;
}

bool ownsNoShards(const GatewayState &state)
{
    const auto &shards = state.site.ownership.table.shards;
    return std::none_of(shards.begin(), shards.end(), [&state](const ShardClaim &claim) {
        return claim.owner == state.self.instance;
    });
}

bool hasNoPendingWork(const GatewayState &state, Common::Moment now)
{
    const bool hasOffers = std::any_of(
            state.offers.begin(), state.offers.end(), [&](const OfferedHandover &offer) {
                return peerLive(state.site.ownership, offer.successor, now);
            });
    return state.requests.requests.empty() && state.ledger.deadlines.empty() && !hasOffers;
}

/// Leaves the roster once no work is pending: at once if this gateway owns no shards any more, else
/// after peerSilenceMs without a successor (the last gateway of a site that is stopped as a whole).
void stopTick(GatewayState &state, Common::Moment now)
{
    if (!state.stopping || state.isStopComplete) {
        return;
    }
    if (!hasNoPendingWork(state, now)) {
        state.idleSinceMs = 0;
        return;
    }
    state.idleSinceMs = state.idleSinceMs == 0 ? now.steadyMs : state.idleSinceMs;
    const bool hasNoSuccessor = now.steadyMs >= state.idleSinceMs + state.settings.peerSilenceMs;
    if (state.leavingSinceMs == 0 && (ownsNoShards(state) || hasNoSuccessor)) {
        state.leavingSinceMs = now.steadyMs;
        finishLeaving(state.site.ownership);
    }
    if (state.leavingSinceMs == 0) {
        return;
    }
    // Without the log, or while another member is silent, leaving can't be completed. The gateway
    // then stops anyway, and its roster entry is replaced like that of a lost gateway.
    const bool isLeaveTimedOut =
            now.steadyMs >= state.leavingSinceMs + 2 * state.settings.peerSilenceMs;
    state.isStopComplete = hasLeft(state.site.ownership) || isLeaveTimedOut;
}

} // namespace

GatewayState makeGateway(const Schema::GatewaySettings &settings, const Schema::Member &self,
                         Common::Moment now)
{
    GatewayState state;
    state.settings = settings;
    state.self = self;
    state.startedWallMs = now.wallMs;
    state.site = makeSite(settings, self, now);
    state.scheduler.agentSilenceMs = settings.agentSilenceMs;
    state.ledger.settings = ledgerSettings(settings);
    return state;
}

Effects handleCallerRequest(GatewayState &state, CallerRequest callerRequest, Common::Moment now,
                            Common::Random &random)
{
    Request request;
    request.remoteId = std::move(callerRequest.token);
    request.kind = callerRequest.kind;
    request.wait = callerRequest.wait;
    request.job = std::move(callerRequest.job);
    request.submit = std::move(callerRequest.submit);
    request.deadlineMs =
            now.wallMs + (callerRequest.wait ? state.settings.maxDeadlineMs : NonWaitingTimeoutMs);
    if (request.submit) {
        request.idGeneratedHere = !request.submit->id;
        if (request.idGeneratedHere) {
            request.submit->id = generateJobId(state, random);
            request.submit->firstSubmittedMs = now.wallMs;
        }
        request.job = *request.submit->id;
        const std::int64_t deadlineMs = deadlineOf(state.ledger, *request.submit);
        request.deadlineMs = std::max(deadlineMs, now.wallMs) + AnswerGraceMs;
    }
    const std::string id = addRequest(state.requests, std::move(request)).id;
    return routeRequest(state, id, now);
}

Effects handleConfigChange(GatewayState &state, const std::string &token,
                           const Schema::ConfigChange &change, std::int64_t basedOn,
                           Common::Moment now, Common::Random &random)
{
    Effects effects;
    Common::handle(
            [&]() -> Common::Outcome<void> {
                std::string error = evacuationError(change, knownFailureDomains(state));
                if (!error.empty()) {
                    return Common::failure(Schema::Reason::ConfigInvalid, std::move(error));
                }
                return proposeChange(state.site.config, token, change, basedOn, now, random);
            },
            [&](const Common::Failure &failure) {
                effects.emplace_back(AnswerConfigure{token, failure.reason, failure.detail,
                                                     configuration(state.site.config).version});
            });
    return effects;
}

Effects handleAgentFrame(GatewayState &state, const std::string &agent, const Schema::Frame &frame,
                         Common::Moment now, Common::Random &random)
{
    if (frame.type == FrameType::AgentHello) {
        return handleAgentHello(state, agent, *frame.agentHello, now);
    }
    if (frame.type != FrameType::TaskStates) {
        return {};
    }
    agentWindowReceived(state.scheduler, agent, frame.taskStates->window, frame.taskStates->running,
                        now);
    Effects effects = handleTaskReports(state, agent, *frame.taskStates, now, random);
    append(effects, handleTaskStatesAnswer(state, agent, *frame.taskStates, now, random));
    return effects;
}

Effects handleGatewayFrame(GatewayState &state, const std::string &gateway,
                           const Schema::Frame &frame, Common::Moment now)
{
    switch (frame.type) {
    case FrameType::PeerPing:
        return handlePing(state.site, *frame.peerPing, now);
    case FrameType::Forward:
        if (frame.forward->kind == Schema::ForwardKind::Query) {
            return handleQueryPart(state, gateway, *frame.forward, now);
        }
        return handleForward(state, gateway, *frame.forward, now);
    case FrameType::ForwardAnswer:
        if (frame.forwardAnswer->query) {
            return handleQueryPartAnswer(state, gateway, *frame.forwardAnswer);
        }
        return handleForwardAnswer(state, *frame.forwardAnswer, now);
    case FrameType::Handover:
        return handleHandover(state, *frame.handover, now);
    case FrameType::HandoverAccepted:
        return handoverAccepted(state, *frame.handoverAccepted);
    case FrameType::AskAgents:
        return handleAskAgents(state, gateway, *frame.askAgents, now);
    case FrameType::KnownAgents:
        return handleKnownAgents(state, *frame.knownAgents);
    default:
        return {};
    }
}

void handleAgentDisconnected(GatewayState &state, const std::string &agent, Common::Moment now)
{
    disconnectAgent(state.agents, agent, now);
    agentLost(state.scheduler, agent, now);
}

void handleGatewayDisconnected(GatewayState &state, const std::string &gateway)
{
    holdForwardedTo(state.requests, gateway);
}

Effects handleLogRead(GatewayState &state, LogStream stream, const LogRead &read,
                      Common::Moment now)
{
    return handleSiteLogRead(state.site, stream, read, now);
}

Effects handleAppendResult(GatewayState &state, LogStream stream, std::uint64_t batch,
                           AppendStatus status, Common::Moment now)
{
    return handleSiteAppendResult(state.site, stream, batch, status, now);
}

Effects gatewayTick(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects = siteTick(state.site, now, random);
    updateSchedulerConfiguration(state, now);
    const std::int64_t version = ownershipVersion(state.site.ownership);
    if (version != state.lostShardsDroppedVersion) {
        state.lostShardsDroppedVersion = version;
        dropLostShards(state, now);
    }
    append(effects, answerConfigChanges(state));
    append(effects, recoveryTick(state, now));
    append(effects, transferTick(state, now, random));
    append(effects, sweep(state, now));
    append(effects, releaseJournaledJobs(state, now));
    append(effects, finishOverdueJobs(state, now));
    append(effects, routeHeldRequests(state, now));
    append(effects, queryTick(state, now));
    if (state.leavingSinceMs == 0) {
        append(effects, startTasks(state, now, random));
    }
    stopTick(state, now);
    return effects;
}

bool isReady(const GatewayState &state)
{
    const auto &shards = state.site.ownership.table.shards;
    const bool knowsOwners =
            std::none_of(shards.begin(), shards.end(),
                         [](const ShardClaim &claim) { return claim.owner.empty(); });
    return !state.stopping && configurationReady(state.site.config) && knowsOwners;
}

void beginStop(GatewayState &state)
{
    state.stopping = true;
    leave(state.site.ownership);
}

bool isStopped(const GatewayState &state)
{
    return state.isStopComplete;
}

} // namespace Dispatch
