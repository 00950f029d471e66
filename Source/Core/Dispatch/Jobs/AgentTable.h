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
    bool isLinked = false;
    std::int64_t lostAtMs = 0;
    /// Job and index of the tasks that may be running there.
    std::set<std::pair<std::string, std::int64_t>> tasks;
    /// Request id of the question that is open after a reconnection; empty when none is.
    std::string openQuestion;
    /// The starts it was asked about; later ones are none of its answer's business.
    std::vector<SentTask> questionTasks;
};

struct AgentTable
{
    std::unordered_map<std::string, AgentRecord> agents;
    /// Steady time at which an agent with unknown outcomes was last given up.
    std::int64_t lastGoneMs = 0;
};

/// Returns the instances that \a instance replaces: earlier agents of the same backend server.
std::vector<std::string> agentLinked(AgentTable &table, const std::string &instance,
                                     const std::string &backend);
void agentUnlinked(AgentTable &table, const std::string &instance, Common::Moment now);

void taskWith(AgentTable &table, const std::string &instance, const TaskKey &task);
void taskLeft(AgentTable &table, const std::string &instance, const TaskKey &task);

std::vector<std::string> linkedAgents(const AgentTable &table);
/// Agents without a link for longer than \a graceMs.
std::vector<std::string> goneAgents(const AgentTable &table, Common::Moment now,
                                    std::int64_t graceMs);
/// Forgets the agent and returns the tasks whose outcome it took along.
std::vector<TaskKey> removeAgent(AgentTable &table, const std::string &instance,
                                 Common::Moment now);

} // namespace Dispatch
