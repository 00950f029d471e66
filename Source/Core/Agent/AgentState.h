#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "Agent/Effects.h"
#include "Agent/Fence.h"
#include "Agent/Links.h"
#include "Agent/Outcomes.h"
#include "Agent/Windows.h"
#include "Common/Common.h"
#include "Schema/Schema.h"

namespace Agent {

/// The backend server's slots and the short queue before them.
struct Slots
{
    std::int64_t slots = 8;
    /// Crossing start messages of several gateways can overfill the agent for a moment. A queue of
    /// half the slots takes that up at the cost of half a task's time; past it starts are refused,
    /// since another backend server may be idle.
    std::int64_t queueLimit = 4;
    std::deque<Schema::StartTask> queue;
    std::unordered_set<TaskKey, TaskKeyHash> running;
};

struct AgentState
{
    /// Unique for each start of the process.
    std::string instance;
    Schema::BackendServer backend;
    std::int64_t stopTimeoutMs = 60'000;

    Fence fence;
    Links links;
    Outcomes outcomes;
    Slots slots;
    /// Answers to starts that are not remembered, since the fence alone keeps them refused.
    std::map<LinkNumber, std::vector<Schema::TaskState>> directReplies;

    std::int64_t configVersion = 0;
    /// An operator drains this backend server.
    bool drainConfigured = false;
    /// This process is stopping gracefully.
    bool stopping = false;
    std::int64_t stopDeadlineMs = 0;
    bool healthy = false;
    std::int64_t lastTickMs = 0;
};

/// Everything the decisions need, from the settings.
AgentState makeAgentState(const Schema::AgentSettings &settings, std::string instance,
                          Common::Random random);

bool isDraining(const AgentState &state);

} // namespace Agent
