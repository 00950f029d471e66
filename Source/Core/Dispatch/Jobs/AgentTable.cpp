#include "Dispatch/Jobs/AgentTable.h"

namespace Dispatch {

std::vector<std::string> connectAgent(AgentTable &table, const std::string &instance,
                                      const std::string &backend)
{
    std::vector<std::string> replaced;
    for (const auto &[other, record] : table.agents) {
        if (other != instance && record.backend == backend) {
            replaced.push_back(other);
        }
    }
    AgentRecord &record = table.agents[instance];
    record.backend = backend;
    record.isConnected = true;
    return replaced;
}

void disconnectAgent(AgentTable &table, const std::string &instance, Common::Moment now)
{
    const auto found = table.agents.find(instance);
    if (found == table.agents.end() || !found->second.isConnected) {
        return;
    }
    found->second.isConnected = false;
    found->second.disconnectedAtMs = now.steadyMs;
    found->second.pendingReportRequest.clear();
}

void addAgentTask(AgentTable &table, const std::string &instance, const TaskKey &task)
{
    table.agents[instance].tasks.emplace(task.job, task.index);
}

void removeAgentTask(AgentTable &table, const std::string &instance, const TaskKey &task)
{
    const auto found = table.agents.find(instance);
    if (found != table.agents.end()) {
        found->second.tasks.erase({task.job, task.index});
    }
}

std::vector<std::string> connectedAgents(const AgentTable &table)
{
    std::vector<std::string> linked;
    for (const auto &[instance, record] : table.agents) {
        if (record.isConnected) {
            linked.push_back(instance);
        }
    }
    return linked;
}

std::vector<std::string> expiredAgents(const AgentTable &table, Common::Moment now,
                                       std::int64_t graceMs)
{
    std::vector<std::string> expired;
    for (const auto &[instance, record] : table.agents) {
        if (!record.isConnected && record.disconnectedAtMs + graceMs <= now.steadyMs) {
            expired.push_back(instance);
        }
    }
    return expired;
}

std::vector<TaskKey> removeAgent(AgentTable &table, const std::string &instance, Common::Moment now)
{
    std::vector<TaskKey> tasks;
    const auto found = table.agents.find(instance);
    if (found == table.agents.end()) {
        return tasks;
    }
    for (const auto &[job, index] : found->second.tasks) {
        tasks.push_back({job, static_cast<int>(index)});
    }
    table.agents.erase(found);
    table.lastRemovalMs = now.steadyMs;
    return tasks;
}

} // namespace Dispatch
