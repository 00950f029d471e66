#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "Agent/Agent.h"
#include "Common/Common.h"
#include "Dispatch/Dispatch.h"
#include "Oracle.h"

/// A site in virtual time: the gateways' and agents' code as the daemons run it, with fakes of the
/// log service, the backend servers, the connections and the callers. A seed determines a run.
namespace Whole {

using Action = std::function<void()>;

/// A process that can be killed, or paused and resumed. Events during a pause wait in the inbox.
struct Process
{
    bool isAlive = true;
    bool isPaused = false;
    std::deque<Action> inbox;
};

struct Link
{
    int agent = -1;
    Agent::LinkNumber agentNumber = 0;
    int gateway = -1;
    bool isOpen = true;
    /// Open at both ends, but all frames are lost.
    bool isSilent = false;
    std::int64_t agentToGatewayFreeMs = 0;
    std::int64_t gatewayToAgentFreeMs = 0;
    std::int64_t gatewayLastReceivedMs = 0;
};

struct GatewayProcess : Process
{
    Dispatch::GatewayState state;
    Common::Random random;
    std::map<std::string, int> linkOfAgent;
    std::map<Dispatch::LogStream, std::int64_t> readOffsets;
    /// When a frame of each other gateway last arrived. As in the daemon, a gateway that is silent
    /// for too long counts as disconnected.
    std::map<std::string, std::int64_t> peerLastReceivedMs;
    bool isStopping = false;
};

struct AgentProcess : Process
{
    Agent::AgentState state;
    std::map<Agent::LinkNumber, int> links;
    int backend = 0;
};

/// Independent of its agents: a task goes on running when the agent is killed.
struct Backend
{
    bool failsAll = false;
};

struct LogService
{
    std::map<Dispatch::LogStream, std::vector<Schema::LogEntry>> streams;
    bool isUnavailable = false;
    /// Number of the next appends that are written but whose answer is lost.
    int answersToLose = 0;
};

struct ScheduledAction
{
    std::int64_t atMs = 0;
    std::uint64_t order = 0;
    Action action;
    bool operator>(const ScheduledAction &other) const
    {
        return std::tie(this->atMs, this->order) > std::tie(other.atMs, other.order);
    }
};

struct World
{
    std::int64_t nowMs = 0;
    std::uint64_t lastOrder = 0;
    Common::Random random;
    std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, std::greater<>> actionQueue;
    LogService log;
    std::vector<std::unique_ptr<GatewayProcess>> gateways;
    std::vector<std::unique_ptr<AgentProcess>> agents;
    std::vector<Backend> backends;
    std::vector<Link> links;
    /// Pairs of gateways that cannot reach each other, lower index first.
    std::set<std::pair<int, int>> partitions;
    std::set<int> cutFromLog;
    Oracle oracle;
    std::int64_t maxRunDelayMs = 0;
    int jobCount = 0;
};

/// The world is on the heap and must not be moved: scheduled actions hold references to it.
std::unique_ptr<World> makeWorld(std::uint64_t seed, int gateways, int agents);

void runFor(World &world, std::int64_t ms);
void after(World &world, std::int64_t ms, Action action);

int addGateway(World &world);
int addAgent(World &world, int backend);
void killGateway(World &world, int gateway);
void killAgent(World &world, int agent);
void pauseGateway(World &world, int gateway, std::int64_t ms);
void pauseAgent(World &world, int agent, std::int64_t ms);
void stopGateway(World &world, int gateway);
void silenceLinks(World &world, int agent);
void partition(World &world, int one, int other, bool isPartitioned);
std::vector<int> liveGateways(const World &world);
std::vector<int> liveAgents(const World &world);

/// Index of the first live gateway that serves the job's shard; -1 for none.
int ownerOfJob(const World &world, const std::string &job);

struct JobRequest
{
    std::string id;
    std::int64_t firstSubmittedMs = 0;
    std::int64_t deadlineMs = 0;
    int tasks = 1;
    std::int64_t runMs = 100;
};
JobRequest newJob(World &world, int tasks, std::int64_t runMs, std::int64_t deadlineInMs = 20'000);
/// Returns the index of the submission in the oracle.
std::size_t submit(World &world, int gateway, const JobRequest &job);
void cancel(World &world, int gateway, const std::string &job);
void setTeamQuota(World &world, int gateway, std::int64_t quota, std::int64_t basedOn);

std::int64_t wallMs(const World &world);

} // namespace Whole
