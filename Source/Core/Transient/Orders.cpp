#include <algorithm>
#include <tuple>

#include "Transient/JobsInternal.h"
#include "Transient/LateBinding.h"
#include "Transient/Placement.h"

/// Places tasks and sends them to agents as orders.
namespace Transient {

namespace {

/// Groups the orders whose waits are not limited.
constexpr std::int64_t NoLimitMs = -1;

Schema::TaskOrders makeOrders(const JobRecord &job, const StepRecord &step, double runMs,
                              Common::Moment now)
{
    Schema::TaskOrders orders;
    orders.payload = job.payload;
    orders.service = job.queue.service;
    if (!step.request.requiredLabel.empty()) {
        orders.requiredLabel = step.request.requiredLabel;
    }
    orders.resources = step.request.resources;
    orders.priority = job.queue.priority;
    orders.expectedRunMs = static_cast<std::int64_t>(runMs);
    orders.targetInMs = job.targetMs - now.steadyMs;
    orders.deadlineInMs = job.deadlineMs - now.steadyMs;
    return orders;
}

/// Approximate length of the frame with \a orders.
std::size_t orderBytes(const Schema::TaskOrders &orders)
{
    constexpr std::size_t FrameBytes = 300;
    constexpr std::size_t TaskBytes = 50;
    return FrameBytes + orders.payload.size() + TaskBytes * orders.tasks.size();
}

} // namespace

std::vector<PlacedTask> placeReady(GatewayState &state, JobRecord &job, Common::Moment now,
                                   Common::Random &random)
{
    std::vector<PlacedTask> placed;
    for (std::size_t stepIndex = 0; stepIndex < job.steps.size(); ++stepIndex) {
        StepRecord &step = job.steps[stepIndex];
        PlacementQuery query;
        query.service = job.queue.service;
        query.step = &step.request;
        query.runMs = Dispatch::meanRunMs(state.fleet.estimates, step.profile);
        query.priority = job.queue.priority;
        query.tasksByAgent = &step.tasksByAgent;
        query.spreads = isShared(state.shared) && state.shared.bindsLate;
        for (std::size_t index = 0; index < step.tasks.size(); ++index) {
            const TaskRecord &task = step.tasks[index];
            if (task.phase != TaskPhase::Ready) {
                continue;
            }
            query.avoided = &task.avoided;
            const auto placement = placeTask(state.fleet, query, now.steadyMs, random);
            if (!placement) {
                continue;
            }
            AgentView &agent = state.fleet.agents.at(placement->agent);
            agent.tentativeProcessors += step.request.resources.processors;
            ++agent.tentativeTasks;
            ++step.tasksByAgent[placement->agent];
            placed.push_back({static_cast<int>(stepIndex), static_cast<int>(index), *placement});
        }
    }
    return placed;
}

void undoPlacing(GatewayState &state, JobRecord &job, const std::vector<PlacedTask> &placed)
{
    for (const PlacedTask &one : placed) {
        StepRecord &step = job.steps[static_cast<std::size_t>(one.step)];
        AgentView &agent = state.fleet.agents.at(one.placement.agent);
        agent.tentativeProcessors = 0;
        agent.tentativeTasks = 0;
        --step.tasksByAgent[one.placement.agent];
    }
}

Effects orderTasks(GatewayState &state, JobRecord &job, const std::vector<PlacedTask> &placed,
                   Common::Moment now)
{
    Effects effects;
    std::map<std::tuple<std::string, int, std::int64_t>, Schema::TaskOrders> byAgent;
    for (const PlacedTask &one : placed) {
        StepRecord &step = job.steps[static_cast<std::size_t>(one.step)];
        TaskRecord &task = step.tasks[static_cast<std::size_t>(one.index)];
        AgentView &agent = state.fleet.agents.at(one.placement.agent);
        agent.tentativeProcessors = 0;
        agent.tentativeTasks = 0;
        Common::invariant(task.phase == TaskPhase::Ready, "only a ready task is ordered");
        task.phase = TaskPhase::Ordered;
        task.attempt += 1;
        task.isStartAnswered = false;
        task.agent = one.placement.agent;
        task.agentInstance = agent.announced.instance;
        task.expectedMs = one.placement.expectedMs;
        task.predictedWaitMs = one.placement.waitMs;
        task.expectedStartMs = now.steadyMs + static_cast<std::int64_t>(one.placement.waitMs);
        const auto limitMs = longestWaitMs(state, job, task, one.placement, now);
        const auto [entry, isNew] =
                byAgent.try_emplace({one.placement.agent, one.step, limitMs.value_or(NoLimitMs)});
        if (isNew) {
            entry->second = makeOrders(job, step, one.placement.expectedMs, now);
            entry->second.longestWaitMs = limitMs;
        }
        entry->second.tasks.push_back({task.attempt, taskName(job, one.step, one.index)});
    }
    const int count = static_cast<int>(placed.size());
    job.unsettled += count;
    job.ready -= count;
    state.readyTasks -= count;
    job.anyOrdered = job.anyOrdered || count > 0;
    for (auto &[key, orders] : byAgent) {
        AgentView &agent = state.fleet.agents.at(std::get<std::string>(key));
        const auto tasks = static_cast<std::int64_t>(orders.tasks.size());
        const double processors = orders.resources.processors * static_cast<double>(tasks);
        orders.sequence = countOrder(agent, processors, orders.priority, tasks);
        orders.echoMs = agent.load.sentMs;
        addToBacklog(state.orderBacklog, state.capacity, orderBytes(orders), now);
        Schema::Frame frame = frameOf(Schema::FrameType::TaskOrders);
        frame.taskOrders = std::move(orders);
        effects.emplace_back(SendToAgent{agent.announced.instance, std::move(frame)});
    }
    return effects;
}

Effects placeAndOrder(GatewayState &state, JobRecord &job, Common::Moment now,
                      Common::Random &random)
{
    return orderTasks(state, job, placeReady(state, job, now, random), now);
}

Effects placeWaiting(GatewayState &state, Common::Moment now, Common::Random &random)
{
    Effects effects;
    if (state.readyTasks == 0) {
        return effects;
    }
    std::vector<JobRecord *> waiting;
    for (auto &[id, job] : state.jobs) {
        if (job.ready > 0 && !job.result) {
            waiting.push_back(&job);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const JobRecord *left, const JobRecord *right) {
        return std::tie(left->queue.priority, left->targetMs, left->id)
               < std::tie(right->queue.priority, right->targetMs, right->id);
    });
    for (JobRecord *job : waiting) {
        append(effects, placeAndOrder(state, *job, now, random));
    }
    return effects;
}

} // namespace Transient
