#include <algorithm>

#include "Transient/JobsInternal.h"
#include "Transient/Learned.h"

/// Handles agents that connect, disconnect and restart, and the tasks that they had.
namespace Transient {

namespace {

using Schema::AttemptPhase;
using Schema::Reason;

struct HeldTask
{
    std::string task;
    std::int64_t attempt = 0;
    bool isStartAnswered = false;
};

/// The tasks that the agent's instance has according to this gateway's records.
std::vector<HeldTask> tasksAt(const GatewayState &state, const std::string &instance)
{
    std::vector<HeldTask> held;
    for (const auto &[id, job] : state.jobs) {
        for (std::size_t step = 0; step < job.steps.size(); ++step) {
            const std::vector<TaskRecord> &tasks = job.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                const TaskRecord &task = tasks[index];
                const bool isThere =
                        task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Withdrawn;
                if (isThere && task.agentInstance == instance) {
                    held.push_back({taskName(job, static_cast<int>(step), static_cast<int>(index)),
                                    task.attempt, task.isStartAnswered});
                }
            }
        }
    }
    // In a fixed order, so that a seed reproduces a run.
    std::sort(held.begin(), held.end(),
              [](const HeldTask &left, const HeldTask &right) { return left.task < right.task; });
    return held;
}

Effects settleAttempt(GatewayState &state, const std::string &instance, const HeldTask &held,
                      AttemptPhase phase, Common::Moment now, Common::Random &random)
{
    Schema::AttemptState ended;
    ended.task = held.task;
    ended.attempt = held.attempt;
    ended.phase = phase;
    ended.reason = Reason::AgentLost;
    return handleAttemptState(state, instance, ended, now, random);
}

/// Ends all attempts at an instance except those in \a stillHeld.
Effects settleAttempts(GatewayState &state, const std::string &instance,
                       const std::vector<Schema::TaskAttempt> &stillHeld, AttemptPhase phase,
                       Common::Moment now, Common::Random &random)
{
    Effects effects;
    for (const HeldTask &held : tasksAt(state, instance)) {
        const bool isHeld = std::any_of(
                stillHeld.begin(), stillHeld.end(), [&held](const Schema::TaskAttempt &attempt) {
                    return attempt.task == held.task && attempt.attempt == held.attempt;
                });
        if (isHeld) {
            continue;
        }
        append(effects, settleAttempt(state, instance, held, phase, now, random));
    }
    return effects;
}

/// Ends the attempts at a lost instance whose starts were answered, as their leases have lapsed. An
/// unanswered start may still be on its way to the backend server and take effect with a new lease;
/// if its task had been sent elsewhere meanwhile, it would run twice at the same time. Such an
/// attempt stays until a new process of the agent has raised the fence, or until it is too late for
/// any start to arrive.
Effects settleAnswered(GatewayState &state, const std::string &instance, Common::Moment now,
                       Common::Random &random)
{
    Effects effects;
    std::size_t uncertain = 0;
    for (const HeldTask &held : tasksAt(state, instance)) {
        if (held.isStartAnswered) {
            append(effects,
                   settleAttempt(state, instance, held, AttemptPhase::Stopped, now, random));
        } else {
            ++uncertain;
        }
    }
    effects.emplace_back(LogLine{"agent_settled",
                                 {{"agent", instance}, {"uncertain", std::to_string(uncertain)}}});
    return effects;
}

/// Withdraws the tasks that a reconnected agent still has although this gateway no longer wants
/// them: it may have withdrawn them or ended their attempts while the agent was unreachable.
void withdrawUnknown(GatewayState &state, Effects &effects,
                     const Schema::AgentAnnouncement &announcement)
{
    Withdrawals withdrawals;
    for (const Schema::TaskAttempt &held : announcement.held) {
        const auto ref = parseTaskName(held.task);
        const auto found = ref ? state.jobs.find(ref->job) : state.jobs.end();
        const TaskRecord *task =
                found == state.jobs.end() ? nullptr : findTask(found->second, *ref);
        const bool isWanted = task != nullptr && task->attempt == held.attempt
                              && task->phase == TaskPhase::Ordered
                              && task->agentInstance == announcement.instance;
        if (!isWanted) {
            withdrawals[announcement.instance].push_back(held);
        }
    }
    sendWithdrawals(effects, withdrawals);
}

template <typename Test>
void removeFormerAgents(GatewayState &state, Test isOver)
{
    std::vector<FormerAgent> &formerAgents = state.fleet.formerAgents;
    formerAgents.erase(std::remove_if(formerAgents.begin(), formerAgents.end(), isOver),
                       formerAgents.end());
}

FormerAgent makeFormerAgent(const GatewayState &state, const AgentView &agent)
{
    FormerAgent former;
    former.instance = agent.announced.instance;
    former.name = agent.announced.name;
    former.settledAtMs = agent.loadAtMs + state.times.settleMs;
    former.lateStartsOverMs = agent.loadAtMs + state.times.lateStartMs;
    former.orphans = agent.orphans;
    return former;
}

/// Forgets the learned speed if another kind of backend server has started at the agent. One that
/// has not announced itself yet is not known to be another.
void forgetSpeedOfOther(AgentView &agent)
{
    const bool isDescribed = agent.announced.resources.processors > 0;
    if (isDescribed && agent.speedLabels != agent.announced.labels) {
        agent.speed = {};
        agent.speedLabels = agent.announced.labels;
    }
}

/// Ends all attempts at former processes of the agent \a name. The agent has reported that nothing
/// of them runs any more and that their orders no longer take effect.
Effects settleCleanAgent(GatewayState &state, const std::string &name, Common::Moment now,
                         Common::Random &random)
{
    Effects effects;
    std::vector<std::string> over;
    for (const FormerAgent &former : state.fleet.formerAgents) {
        if (former.name == name) {
            over.push_back(former.instance);
        }
    }
    removeFormerAgents(state, [&](const FormerAgent &former) { return former.name == name; });
    for (const std::string &earlier : over) {
        endList(state.orphanRelay, earlier, now);
        append(effects, settleAttempts(state, earlier, {}, AttemptPhase::Stopped, now, random));
    }
    return effects;
}

} // namespace

void removeLostAgents(GatewayState &state, Effects &effects, Common::Moment now)
{
    for (auto entry = state.fleet.agents.begin(); entry != state.fleet.agents.end();) {
        const AgentView &agent = entry->second;
        if (agent.isConnected || now.steadyMs < agent.settledAtMs) {
            ++entry;
            continue;
        }
        effects.emplace_back(LogLine{"agent_forgotten", {{"agent", agent.announced.instance}}});
        state.fleet.formerAgents.push_back(makeFormerAgent(state, agent));
        entry = state.fleet.agents.erase(entry);
    }
}

Effects settleFormerAgents(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects;
    std::vector<std::string> over;
    std::vector<std::string> lapsed;
    for (FormerAgent &former : state.fleet.formerAgents) {
        if (now.steadyMs >= former.lateStartsOverMs) {
            over.push_back(former.instance);
        } else if (!former.isSettled && now.steadyMs >= former.settledAtMs) {
            former.isSettled = true;
            lapsed.push_back(former.instance);
        }
    }
    removeFormerAgents(state, [now](const FormerAgent &former) {
        return now.steadyMs >= former.lateStartsOverMs;
    });
    for (const std::string &instance : lapsed) {
        append(effects, settleAnswered(state, instance, now, random));
    }
    for (const std::string &instance : over) {
        append(effects, settleAttempts(state, instance, {}, AttemptPhase::Stopped, now, random));
    }
    return effects;
}

Effects agentAnnounced(GatewayState &state, const Schema::AgentAnnouncement &announcement,
                       Common::Moment now, Common::Random &random)
{
    Effects effects;
    const auto [entry, isNew] = state.fleet.agents.try_emplace(announcement.name);
    AgentView &agent = entry->second;
    const bool isRestarted = !isNew && agent.announced.instance != announcement.instance;
    const bool isNewConnection = !agent.isConnected || isRestarted;
    if (isNewConnection || agent.announced.accepting != announcement.accepting) {
        effects.emplace_back(LogLine{"agent_announced",
                                     {{"agent", announcement.instance},
                                      {"accepting", announcement.accepting ? "true" : "false"},
                                      {"processors", text(announcement.resources.processors)},
                                      {"held", std::to_string(announcement.held.size())}}});
    }
    if (isRestarted) {
        state.fleet.formerAgents.push_back(makeFormerAgent(state, agent));
        agent.inFlight = 0;
        agent.unreported.clear();
        agent.unreportedProcessors = 0;
        agent.unreportedUrgentProcessors = 0;
    }
    // The same process was only unreachable; its announcement lists the tasks that it still has.
    removeFormerAgents(state, [&announcement](const FormerAgent &former) {
        return former.instance == announcement.instance;
    });
    agent.announced = announcement;
    forgetSpeedOfOther(agent);
    agent.orphans = announcement.orphans.value_or(Schema::OrphanedJobs{});
    updateList(state.orphanRelay, announcement.instance, agent.orphans, now.steadyMs);
    agent.isConnected = true;
    agent.isEvacuated = isEvacuated(state.fleet.evacuations, announcement.failureDomain);
    recallSpeedOf(state.fleet, agent);
    updateLoad(agent, announcement.load, now.steadyMs);
    if (isNewConnection) {
        append(effects, settleAttempts(state, announcement.instance, announcement.held,
                                       AttemptPhase::NotStarted, now, random));
        withdrawUnknown(state, effects, announcement);
    }
    if (announcement.clean) {
        append(effects, settleCleanAgent(state, announcement.name, now, random));
    }
    append(effects, placeWaiting(state, now, random));
    return effects;
}

Effects agentReported(GatewayState &state, const std::string &instance,
                      const Schema::AgentReport &report, Common::Moment now, Common::Random &random)
{
    Effects effects;
    AgentView *agent = findAgent(state.fleet, instance);
    if (agent == nullptr) {
        return effects;
    }
    updateLoad(*agent, report.load, now.steadyMs);
    if (report.orphans) {
        agent->orphans = *report.orphans;
        updateList(state.orphanRelay, instance, agent->orphans, now.steadyMs);
    }
    for (const Schema::AttemptState &reported : report.states) {
        append(effects, handleAttemptState(state, instance, reported, now, random));
    }
    append(effects, placeWaiting(state, now, random));
    return effects;
}

Effects handleAgentDisconnected(GatewayState &state, const std::string &instance,
                                Common::Moment now)
{
    Effects effects;
    AgentView *agent = findAgent(state.fleet, instance);
    if (agent == nullptr || !agent->isConnected) {
        return effects;
    }
    agent->isConnected = false;
    agent->settledAtMs = agent->loadAtMs + state.times.settleMs;
    effects.emplace_back(
            LogLine{"agent_lost",
                    {{"agent", instance},
                     {"in_flight", std::to_string(agent->inFlight)},
                     {"settled_in_ms", std::to_string(agent->settledAtMs - now.steadyMs)}}});
    return effects;
}

} // namespace Transient
