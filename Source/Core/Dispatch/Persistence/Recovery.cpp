#include "Dispatch/Persistence/Recovery.h"

#include <algorithm>

#include "Dispatch/Jobs/JobCompletion.h"
#include "Dispatch/Jobs/TaskReports.h"

namespace Dispatch {

namespace {

/// A takeover waits this many times agentSilenceMs for the answers of agents and gateways before it
/// serves the shards without them. This covers a reconnection of a live agent. Each task that is
/// still unknown then is answered unknown.
constexpr std::int64_t ReportWaitFactor = 2;
/// Allows for an agent that one gateway lost and another gateway sent a task to a little later, and
/// for differences between the clocks of callers.
constexpr std::int64_t ClockMarginMs = 5'000;

std::vector<Schema::ShardOwner> ownEpochs(const GatewayState &state,
                                          const std::vector<std::int64_t> &shards)
{
    std::vector<Schema::ShardOwner> epochs;
    for (const std::int64_t shard : shards) {
        Schema::ShardOwner owner;
        owner.shard = shard;
        owner.owner = state.self.instance;
        owner.epoch = epochOf(state.site.ownership, shard);
        epochs.push_back(std::move(owner));
    }
    return epochs;
}

Effect askTasksEffect(const GatewayState &state, const std::string &agent,
                      const std::string &requestId, const std::vector<std::int64_t> &shards)
{
    Schema::Frame frame = frameOf(Schema::FrameType::AskTasks);
    frame.askTasks.emplace();
    frame.askTasks->requestId = requestId;
    frame.askTasks->shards = ownEpochs(state, shards);
    return SendToAgent{agent, std::move(frame)};
}

std::string nextQuestionId(GatewayState &state)
{
    return "q" + std::to_string(++state.lastRequestNumber);
}

std::int64_t agentListCompleteSince(const GatewayState &state, Common::Moment now)
{
    const std::int64_t sinceStart = state.startedWallMs;
    const std::int64_t lastGoneWall =
            state.agents.lastRemovalMs == 0
                    ? 0
                    : now.wallMs - (now.steadyMs - state.agents.lastRemovalMs);
    return std::max(sinceStart, lastGoneWall) + state.settings.agentSilenceMs + ClockMarginMs;
}

bool isInTakeover(const GatewayState &state, std::int64_t shard)
{
    return std::any_of(state.recovery.takeovers.begin(), state.recovery.takeovers.end(),
                       [shard](const Takeover &takeover) {
                           return std::find(takeover.shards.begin(), takeover.shards.end(), shard)
                                  != takeover.shards.end();
                       });
}

Effects askNewAgents(GatewayState &state, Takeover &takeover)
{
    Effects effects;
    for (const std::string &agent : connectedAgents(state.agents)) {
        if (takeover.agentsAsked.insert(agent).second) {
            takeover.agentsKnown.insert(agent);
            effects.push_back(askTasksEffect(state, agent, takeover.requestId, takeover.shards));
        }
    }
    return effects;
}

Effects askGateways(const GatewayState &state, Takeover &takeover, Common::Moment now)
{
    Effects effects;
    const bool wasAskedLately = takeover.lastAskedMs != 0
                                && now.steadyMs < takeover.lastAskedMs + state.settings.heartbeatMs;
    if (wasAskedLately) {
        return effects;
    }
    takeover.lastAskedMs = now.steadyMs;
    for (const Schema::Member &member : state.site.ownership.table.roster) {
        if (takeover.gatewaysAnswered.count(member.instance) != 0) {
            continue;
        }
        Schema::Frame frame = frameOf(Schema::FrameType::AskAgents);
        frame.askAgents.emplace();
        frame.askAgents->requestId = takeover.requestId;
        effects.emplace_back(SendToGateway{member.instance, std::move(frame)});
    }
    return effects;
}

Effects beginTakeovers(GatewayState &state, Common::Moment now)
{
    Takeover takeover;
    for (const std::int64_t shard : shardsIn(state.site.ownership, ShardPhase::NeedsReports)) {
        if (!isInTakeover(state, shard)) {
            takeover.shards.push_back(shard);
        }
    }
    if (takeover.shards.empty()) {
        return {};
    }
    takeover.requestId = nextQuestionId(state);
    takeover.startedMs = now.steadyMs;
    takeover.gatewaysAnswered.insert(state.self.instance);
    takeover.completeSinceMs = agentListCompleteSince(state, now);
    Effects effects{
            LogLine{"takeover_begun", {{"shards", std::to_string(takeover.shards.size())}}}};
    state.recovery.takeovers.push_back(std::move(takeover));
    return effects;
}

bool hasMajority(const GatewayState &state, const Takeover &takeover)
{
    const auto &roster = state.site.ownership.table.roster;
    const auto answered =
            std::count_if(roster.begin(), roster.end(), [&takeover](const Schema::Member &member) {
                return takeover.gatewaysAnswered.count(member.instance) != 0;
            });
    return static_cast<std::size_t>(answered) * 2 > roster.size();
}

bool allReported(const GatewayState &state, const Takeover &takeover)
{
    return hasMajority(state, takeover)
           && std::includes(takeover.agentsAnswered.begin(), takeover.agentsAnswered.end(),
                            takeover.agentsKnown.begin(), takeover.agentsKnown.end());
}

/// Resolves the tasks that no agent has reported: as not started if the job was first submitted at
/// or after \a provenNotStartedSinceMs, as lost otherwise.
Effects resolveUnreportedTasks(GatewayState &state, std::int64_t shard,
                               std::int64_t provenNotStartedSinceMs)
{
    Effects effects;
    for (const std::string &id : jobsOfShard(state.ledger, shard)) {
        JobEntry *job = findJob(state.ledger, id);
        if (job->answer) {
            continue;
        }
        for (std::size_t index = 0; index < job->tasks.size(); ++index) {
            TaskEntry &task = job->tasks[index];
            if (task.stage != TaskStage::Sent || !task.agent.empty()) {
                continue;
            }
            if (job->firstSubmittedMs >= provenNotStartedSinceMs) {
                markNotStarted(*job, static_cast<std::int64_t>(index));
            } else {
                markLost(*job, static_cast<std::int64_t>(index));
            }
        }
        append(effects, finishIfDecided(state, *job));
    }
    return effects;
}

Effects endTakeover(GatewayState &state, const Takeover &takeover, bool isComplete,
                    Common::Moment now)
{
    const std::int64_t provenNotStartedSinceMs =
            isComplete ? takeover.completeSinceMs : now.wallMs + ClockMarginMs;
    Effects effects{LogLine{"takeover_ended",
                            {{"shards", std::to_string(takeover.shards.size())},
                             {"complete", isComplete ? "true" : "false"},
                             {"agents", std::to_string(takeover.agentsAnswered.size())}}}};
    for (const std::int64_t shard : takeover.shards) {
        if (shardPhase(state.site.ownership, shard) != ShardPhase::NeedsReports) {
            continue;
        }
        state.recovery.provenNotStartedSinceMs[shard] = provenNotStartedSinceMs;
        append(effects, resolveUnreportedTasks(state, shard, provenNotStartedSinceMs));
        serveShard(state.site, shard, now);
    }
    return effects;
}

/// Starts that the agent was asked about and that its answer does not list.
std::vector<SentTask> unlistedTasks(const AgentRecord &record, const Schema::TaskStates &report)
{
    std::set<std::pair<std::string, std::int64_t>> listed;
    for (const Schema::TaskState &task : report.states) {
        listed.emplace(task.job, task.index);
    }
    std::vector<SentTask> unlisted;
    for (const SentTask &sent : record.requestedTasks) {
        if (listed.count({sent.task.job, sent.task.index}) == 0) {
            unlisted.push_back(sent);
        }
    }
    return unlisted;
}

} // namespace

Effects recoveryTick(GatewayState &state, Common::Moment now)
{
    Effects effects = beginTakeovers(state, now);
    auto &takeovers = state.recovery.takeovers;
    const std::int64_t waitMs = ReportWaitFactor * state.settings.agentSilenceMs;
    for (std::size_t at = 0; at < takeovers.size();) {
        append(effects, askNewAgents(state, takeovers[at]));
        append(effects, askGateways(state, takeovers[at], now));
        const bool isComplete = allReported(state, takeovers[at]);
        if (!isComplete && now.steadyMs < takeovers[at].startedMs + waitMs) {
            ++at;
            continue;
        }
        const Takeover takeover = takeovers[at];
        takeovers.erase(takeovers.begin() + static_cast<std::ptrdiff_t>(at));
        append(effects, endTakeover(state, takeover, isComplete, now));
    }
    return effects;
}

Effects handleAskAgents(const GatewayState &state, const std::string &gateway,
                        const Schema::AskAgents &ask, Common::Moment now)
{
    Schema::Frame frame = frameOf(Schema::FrameType::KnownAgents);
    Schema::KnownAgents &known = frame.knownAgents.emplace();
    known.requestId = ask.requestId;
    known.instance = state.self.instance;
    for (const auto &[agent, record] : state.agents.agents) {
        known.agents.push_back(agent);
    }
    known.completeSinceMs = agentListCompleteSince(state, now);
    return {SendToGateway{gateway, std::move(frame)}};
}

Effects handleKnownAgents(GatewayState &state, const Schema::KnownAgents &known)
{
    for (Takeover &takeover : state.recovery.takeovers) {
        if (takeover.requestId == known.requestId) {
            takeover.gatewaysAnswered.insert(known.instance);
            takeover.agentsKnown.insert(known.agents.begin(), known.agents.end());
            takeover.completeSinceMs = std::max(takeover.completeSinceMs, known.completeSinceMs);
        }
    }
    return {};
}

Effects askAfterReconnection(GatewayState &state, const std::string &agent)
{
    AgentRecord &record = state.agents.agents[agent];
    if (record.tasks.empty()) {
        return {};
    }
    std::set<std::int64_t> shards;
    record.requestedTasks.clear();
    for (const auto &[id, index] : record.tasks) {
        shards.insert(shardOf(state.ledger, id));
        const JobEntry *job = findJob(state.ledger, id);
        if (job != nullptr) {
            const TaskEntry &task = job->tasks[static_cast<std::size_t>(index)];
            record.requestedTasks.push_back(
                    {{id, static_cast<int>(index)}, task.epoch, task.attempt});
        }
    }
    record.pendingReportRequest = nextQuestionId(state);
    return {askTasksEffect(state, agent, record.pendingReportRequest,
                           {shards.begin(), shards.end()})};
}

Effects handleTaskStatesAnswer(GatewayState &state, const std::string &agent,
                               const Schema::TaskStates &report, Common::Moment now,
                               Common::Random &random)
{
    const std::string question = report.answerTo.value_or("");
    for (Takeover &takeover : state.recovery.takeovers) {
        if (takeover.requestId == question) {
            takeover.agentsAnswered.insert(agent);
        }
    }
    const auto found = state.agents.agents.find(agent);
    if (question.empty() || found == state.agents.agents.end()
        || found->second.pendingReportRequest != question) {
        return {};
    }
    found->second.pendingReportRequest.clear();
    Schema::TaskStates missing;
    for (const SentTask &sent : unlistedTasks(found->second, report)) {
        Schema::TaskState row;
        row.job = sent.task.job;
        row.index = sent.task.index;
        row.epoch = sent.epoch;
        row.attempt = sent.attempt;
        row.phase = Schema::TaskPhase::NotStarted;
        row.reason = Schema::Reason::ConnectionLost;
        missing.states.push_back(std::move(row));
    }
    return handleTaskReports(state, agent, missing, now, random);
}

} // namespace Dispatch
