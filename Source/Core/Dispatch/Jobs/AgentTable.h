#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerTypes.h"

/// Records which tasks have been sent to which agent, for use when an agent or its connection is
/// lost. The capacity of agents is tracked by the scheduler, not here.
namespace Dispatch {

/// A task start that may have reached an agent.
struct SentTask
{
    TaskKey task;
    std::int64_t epoch = 0;
    std::int64_t attempt = 0;
};

struct AgentRecord
{
    /// Name of its backend server. When another instance connects for the same backend server, the
    /// old agent is known to be gone.
    std::string backend;
    bool isConnected = false;
    std::int64_t disconnectedAtMs = 0;
    /// Job and index of the tasks that may be running at the agent.
    std::set<std::pair<std::string, std::int64_t>> tasks;
    /// Id of the unanswered task report request that was sent after a reconnection; empty if there
    /// is none.
    std::string pendingReportRequest;
    /// The starts that this request covers. The answer says nothing about later starts.
    std::vector<SentTask> requestedTasks;
};

struct AgentTable
{
    std::unordered_map<std::string, AgentRecord> agents;
    /// Steady time at which an agent was last removed, with the outcomes of its tasks unknown; 0 if
    /// none was.
    std::int64_t lastRemovalMs = 0;
};

/// Marks the agent as connected. Returns the instances that it replaces: earlier agents of the same
/// backend server.
std::vector<std::string> connectAgent(AgentTable &table, const std::string &instance,
                                      const std::string &backend);
void disconnectAgent(AgentTable &table, const std::string &instance, Common::Moment now);

void addAgentTask(AgentTable &table, const std::string &instance, const TaskKey &task);
void removeAgentTask(AgentTable &table, const std::string &instance, const TaskKey &task);

std::vector<std::string> connectedAgents(const AgentTable &table);
/// Agents that have been disconnected for at least \a graceMs.
std::vector<std::string> expiredAgents(const AgentTable &table, Common::Moment now,
                                       std::int64_t graceMs);
/// Removes the agent and returns its tasks, whose outcomes can no longer be learned.
std::vector<TaskKey> removeAgent(AgentTable &table, const std::string &instance,
                                 Common::Moment now);

} // namespace Dispatch
