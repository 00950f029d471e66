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

/// The backend server's slots, the tasks that run in them and the short queue of tasks that wait
/// for one.
struct Slots
{
    std::int64_t slots = 8;
    /// Start messages that several gateways send at the same time can briefly exceed the slots. A
    /// queue of half the slots absorbs this at the cost of half a task's run time. Beyond it starts
    /// are refused, since another backend server may be idle.
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
    /// Replies to starts of fenced epochs. These starts are not recorded in outcomes, since the
    /// fence alone refuses their repetitions.
    std::map<LinkNumber, std::vector<Schema::TaskState>> directReplies;

    std::int64_t configVersion = 0;
    /// An operator has drained this backend server, or evacuated its failure domain, through the
    /// configuration.
    bool drainConfigured = false;
    /// A graceful stop of this process is in progress.
    bool stopping = false;
    std::int64_t stopDeadlineMs = 0;
    bool healthy = false;
    std::int64_t lastTickMs = 0;
};

/// Creates the initial state from the settings.
AgentState makeAgentState(const Schema::AgentSettings &settings, std::string instance,
                          Common::Random random);

bool isDraining(const AgentState &state);

} // namespace Agent
