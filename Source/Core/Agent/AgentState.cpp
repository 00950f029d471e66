#include "Agent/AgentState.h"

#include <algorithm>
#include <utility>

namespace Agent {

namespace {

constexpr std::int64_t SlotsPerQueueEntry = 2;
constexpr std::int64_t MinRepeatReportMs = 200;

Schema::BackendServer describeBackend(const Schema::AgentSettings &settings)
{
    Schema::BackendServer backend;
    backend.name = settings.name;
    backend.failureDomain = settings.failureDomain;
    backend.rack = settings.rack;
    backend.region = settings.region;
    backend.slots = settings.slots;
    backend.connections = settings.connections;
    backend.services = settings.services;
    backend.resources.processors = settings.processors;
    backend.resources.memoryMb = settings.memoryMb;
    backend.resources.accelerators = settings.accelerators;
    return backend;
}

} // namespace

AgentState makeAgentState(const Schema::AgentSettings &settings, std::string instance,
                          Common::Random random)
{
    AgentState state;
    state.instance = std::move(instance);
    state.backend = describeBackend(settings);
    state.stopTimeoutMs = settings.stopTimeoutMs;
    state.fence.leaseMs = settings.leaseMs;
    state.links.options = {settings.heartbeatMs, settings.silenceMs};
    state.links.random = random;
    addSettingsGateways(state.links, settings.gateways);
    state.outcomes.options.retentionMs = settings.outcomeRetentionMs;
    state.outcomes.options.repeatReportMs = std::max(MinRepeatReportMs, 2 * settings.heartbeatMs);
    state.slots.slots = std::min(settings.slots, settings.connections);
    state.slots.queueLimit = std::max<std::int64_t>(1, state.slots.slots / SlotsPerQueueEntry);
    return state;
}

bool isDraining(const AgentState &state)
{
    return state.stopping || state.drainConfigured;
}

} // namespace Agent
