#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerTypes.h"

/// Which tasks are with which agent, for the time when an agent or its connection is lost. What an
/// agent can take is the scheduler's business, not this table's.
namespace Dispatch {

/// A start that may have reached an agent.
struct SentTask
{
    TaskKey task;
    std::int64_t epoch = 0;
    std::int64_t attempt = 0;
};

struct AgentRecord
{
    /// Name of its backend server; a new instance for the same one proves the old agent gone.
    std::string backend;
    bool isConnected = false;
    std::int64_t disconnectedAtMs = 0;
    /// Job and index of the tasks that may be running there.
    std::set<std::pair<std::string, std::int64_t>> tasks;
    /// Request id of the question that is open after a reconnection; empty when none is.
    std::string pendingReportRequest;
    /// The starts it was asked about; later ones are none of its answer's business.
    std::vector<SentTask> requestedTasks;
};

struct AgentTable
{
    std::unordered_map<std::string, AgentRecord> agents;
    /// Steady time at which an agent with unknown outcomes was last given up.
    std::int64_t lastRemovalMs = 0;
};

/// Returns the instances that \a instance replaces: earlier agents of the same backend server.
std::vector<std::string> connectAgent(AgentTable &table, const std::string &instance,
                                      const std::string &backend);
void disconnectAgent(AgentTable &table, const std::string &instance, Common::Moment now);

void addAgentTask(AgentTable &table, const std::string &instance, const TaskKey &task);
void removeAgentTask(AgentTable &table, const std::string &instance, const TaskKey &task);

std::vector<std::string> connectedAgents(const AgentTable &table);
/// Agents without a link for longer than \a graceMs.
std::vector<std::string> expiredAgents(const AgentTable &table, Common::Moment now,
                                       std::int64_t graceMs);
/// Forgets the agent and returns the tasks whose outcome it took along.
std::vector<TaskKey> removeAgent(AgentTable &table, const std::string &instance,
                                 Common::Moment now);

} // namespace Dispatch
