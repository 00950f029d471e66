#include "Agent/Reports.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

namespace Agent {

namespace {

/// These limits keep frames well below a link's bound on unsent bytes.
constexpr std::size_t MaxStatesInFrame = 2000;
constexpr std::size_t MaxResultBytesInFrame = 1U << 20U;
/// A task that ends sooner is reported only once. Well below the gateways' startAckMs.
constexpr std::int64_t MaxRunningReportDelayMs = 200;

using StatesByLink = std::map<LinkNumber, std::vector<Schema::TaskState>>;

std::int64_t runningReportDelayMs(const AgentState &state)
{
    return std::min(MaxRunningReportDelayMs, state.links.options.heartbeatMs / 2);
}

std::int64_t heldTasks(const AgentState &state)
{
    return static_cast<std::int64_t>(state.slots.running.size() + state.slots.queue.size());
}

Demands demandsByAddress(AgentState &state)
{
    std::unordered_map<std::string, std::int64_t> held;
    for (const TaskKey &key : state.slots.running) {
        ++held[ownerOf(state.fence, findRecord(state.outcomes, key)->shard)];
    }
    for (const Schema::StartTask &task : state.slots.queue) {
        ++held[ownerOf(state.fence, task.shard)];
    }
    Demands demands;
    for (const auto &[address, endpoint] : state.links.endpoints) {
        if (endpoint.stage == LinkStage::Open) {
            const std::int64_t used = endpoint.answered ? held[endpoint.instance] : 0;
            demands[address] = {used, endpoint.demand};
        }
    }
    return demands;
}

/// Returns the current window of each open link.
std::unordered_map<LinkNumber, std::int64_t> windowsByLink(AgentState &state)
{
    std::unordered_map<LinkNumber, std::int64_t> windows;
    for (const auto &[address, window] : splitSlots(state.slots.slots, demandsByAddress(state))) {
        windows[state.links.endpoints.at(address).link] = window;
    }
    return windows;
}

SendToGateway makeReport(AgentState &state, Endpoint &endpoint, std::int64_t window,
                         std::vector<Schema::TaskState> states)
{
    Schema::TaskStates report;
    report.instance = state.instance;
    report.window = window;
    report.running = heldTasks(state);
    report.states = std::move(states);
    endpoint.sentWindow = window;
    SendToGateway send{endpoint.link, {}};
    send.frame = frameOf(Schema::FrameType::TaskStates);
    send.frame.taskStates = std::move(report);
    return send;
}

bool isFinal(const Schema::TaskState &state)
{
    return state.phase != Schema::TaskPhase::Running;
}

bool isFrameFull(const std::vector<Schema::TaskState> &states, std::size_t resultBytes)
{
    return states.size() >= MaxStatesInFrame || resultBytes >= MaxResultBytesInFrame;
}

Effects makeReports(AgentState &state, Endpoint &endpoint, std::int64_t window,
                    std::vector<Schema::TaskState> states)
{
    Effects effects;
    std::vector<Schema::TaskState> part;
    std::size_t resultBytes = 0;
    for (Schema::TaskState &entry : states) {
        if (isFinal(entry) && isFrameFull(part, resultBytes)) {
            effects.emplace_back(makeReport(state, endpoint, window, std::exchange(part, {})));
            resultBytes = 0;
        }
        resultBytes += entry.result ? entry.result->size() : 0;
        part.push_back(std::move(entry));
    }
    effects.emplace_back(makeReport(state, endpoint, window, std::move(part)));
    return effects;
}

/// Collects the final states whose reports are due and schedules them again after repeatReportMs.
/// States whose owner is not connected are only scheduled again.
void collectDueReports(AgentState &state, Common::Moment now, StatesByLink &states)
{
    Outcomes &outcomes = state.outcomes;
    const Outcomes::PendingReport later{now.steadyMs + 1, nullptr};
    const std::vector<Outcomes::PendingReport> dueNow(outcomes.pendingReports.begin(),
                                                      outcomes.pendingReports.lower_bound(later));
    for (const Outcomes::PendingReport &entry : dueNow) {
        const TaskRecord &record = outcomes.records.at(*entry.second);
        const Endpoint *owner = findInstance(state.links, ownerOf(state.fence, record.shard));
        if (owner != nullptr) {
            states[owner->link].push_back(stateOf(*entry.second, record));
        }
        scheduleReportAt(outcomes, *entry.second, now.steadyMs + outcomes.options.repeatReportMs);
    }
}

/// Collects running and queued tasks that are not reported yet, once their delay has passed or if a
/// frame is sent to their owner anyway.
void collectRunningReports(AgentState &state, Common::Moment now, StatesByLink &states)
{
    const auto collect = [&](const TaskKey &key) {
        TaskRecord *record = findRecord(state.outcomes, key);
        if (record->runningReported) {
            return;
        }
        const Endpoint *owner = findInstance(state.links, ownerOf(state.fence, record->shard));
        if (owner == nullptr) {
            return;
        }
        const bool waited = now.steadyMs - record->changedMs >= runningReportDelayMs(state);
        if (waited || states.count(owner->link) != 0) {
            states[owner->link].push_back(stateOf(key, *record));
            record->runningReported = true;
        }
    };
    for (const TaskKey &key : state.slots.running) {
        collect(key);
    }
    for (const Schema::StartTask &task : state.slots.queue) {
        collect({task.job, task.index});
    }
}

/// True if a gateway has waiting tasks and a larger window than was last sent to it, while slots
/// are free. The window is then sent at once: waiting for the next heartbeat would leave the slots
/// idle.
bool shouldSendWindow(const AgentState &state, const Endpoint &endpoint, std::int64_t window)
{
    return endpoint.answered && endpoint.demand > 0 && window > endpoint.sentWindow
           && static_cast<std::int64_t>(state.slots.running.size()) < state.slots.slots;
}

Schema::AgentHello makeHello(const AgentState &state, std::int64_t sequence, std::int64_t window)
{
    Schema::AgentHello hello;
    hello.instance = state.instance;
    hello.backend = state.backend;
    hello.sequence = sequence;
    hello.window = window;
    hello.running = heldTasks(state);
    hello.draining = isDraining(state);
    hello.healthy = state.healthy;
    hello.tableVersion = state.fence.tableVersion;
    hello.configVersion = state.configVersion;
    return hello;
}

} // namespace

Effects flushReports(AgentState &state, Common::Moment now)
{
    StatesByLink states = std::exchange(state.directReplies, {});
    collectDueReports(state, now, states);
    collectRunningReports(state, now, states);
    Effects effects;
    const auto windows = windowsByLink(state);
    for (auto &entry : state.links.endpoints) {
        Endpoint &endpoint = entry.second;
        const auto window = windows.find(endpoint.link);
        if (endpoint.stage != LinkStage::Open || window == windows.end()) {
            continue;
        }
        const auto own = states.find(endpoint.link);
        if (own != states.end()) {
            append(effects, makeReports(state, endpoint, window->second, std::move(own->second)));
        } else if (shouldSendWindow(state, endpoint, window->second)) {
            effects.emplace_back(makeReport(state, endpoint, window->second, {}));
        }
    }
    return effects;
}

Effects answerAskTasks(AgentState &state, LinkNumber link, const Schema::AskTasks &ask,
                       Common::Moment now)
{
    Endpoint *endpoint = findLink(state.links, link);
    if (endpoint == nullptr) {
        return {};
    }
    std::unordered_set<std::int64_t> shards;
    for (const Schema::ShardOwner &entry : ask.shards) {
        shards.insert(entry.shard);
    }
    std::vector<Schema::TaskState> states;
    for (auto &[key, record] : state.outcomes.records) {
        if (shards.count(record.shard) == 0) {
            continue;
        }
        states.push_back(stateOf(key, record));
        record.runningReported = true;
        if (record.unacked) {
            scheduleReportAt(state.outcomes, key,
                             now.steadyMs + state.outcomes.options.repeatReportMs);
        }
    }
    // An owner treats a task that is not listed in the frame with answerTo as not started, unless
    // an earlier frame has reported its end. Tasks that are queued or running must be listed there,
    // or they would be started again.
    std::stable_partition(states.begin(), states.end(), isFinal);
    const std::int64_t window = windowsByLink(state)[link];
    Effects effects = makeReports(state, *endpoint, window, std::move(states));
    std::get<SendToGateway>(effects.back()).frame.taskStates->answerTo = ask.requestId;
    return effects;
}

void makeReportsDue(AgentState &state, const std::string &gateway, Common::Moment now)
{
    std::vector<TaskKey> unacked;
    for (const Outcomes::PendingReport &entry : state.outcomes.pendingReports) {
        if (ownerOf(state.fence, state.outcomes.records.at(*entry.second).shard) == gateway) {
            unacked.push_back(*entry.second);
        }
    }
    for (const TaskKey &key : unacked) {
        scheduleReportAt(state.outcomes, key, now.steadyMs);
    }
    for (const TaskKey &key : state.slots.running) {
        TaskRecord *record = findRecord(state.outcomes, key);
        if (ownerOf(state.fence, record->shard) == gateway) {
            record->runningReported = false;
        }
    }
}

void handleAcknowledgement(AgentState &state, const std::string &gateway,
                           const Schema::TaskRefs &refs)
{
    for (const Schema::TaskRef &ref : refs.tasks) {
        const TaskKey key{ref.job, ref.index};
        const TaskRecord *record = findRecord(state.outcomes, key);
        if (record != nullptr && ownerOf(state.fence, record->shard) == gateway) {
            const auto any = std::numeric_limits<std::int64_t>::max();
            acknowledge(state.outcomes, key, ref.attempt.value_or(any));
        }
    }
}

Effects sendHellos(AgentState &state, bool atOnce, Common::Moment now)
{
    Effects effects;
    const auto windows = windowsByLink(state);
    for (auto &entry : state.links.endpoints) {
        Endpoint &endpoint = entry.second;
        if (endpoint.stage != LinkStage::Open || (!atOnce && endpoint.nextHelloMs > now.steadyMs)) {
            continue;
        }
        const std::int64_t sequence = nextHelloSequence(state.links, endpoint, now);
        endpoint.sentWindow = windows.at(endpoint.link);
        SendToGateway send{endpoint.link, {}};
        send.frame = frameOf(Schema::FrameType::AgentHello);
        send.frame.agentHello = makeHello(state, sequence, endpoint.sentWindow);
        effects.emplace_back(std::move(send));
    }
    return effects;
}

} // namespace Agent
