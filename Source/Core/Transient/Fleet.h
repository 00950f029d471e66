#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Dispatch.h"
#include "Dispatch/Scheduling/Estimates.h"
#include "Dispatch/Scheduling/Health.h"
#include "Schema/Schema.h"

/// What a gateway believes of the agents and their backend servers.
///
/// Load pattern: several gateways send work to the same backend servers. Each agent tells all of
/// them how full it is; to that a gateway adds what it has sent since, so that its own orders are
/// counted at once and only those of others are known late.
namespace Transient {

struct UnreportedOrder
{
    std::int64_t sequence = 0;
    double processors = 0;
    bool isUrgent = false;
};

struct AgentView
{
    Schema::AgentAnnouncement announced;
    bool isConnected = false;
    Schema::AgentLoad load;
    std::int64_t lastSequence = 0;
    /// Orders that the load does not count yet.
    std::deque<UnreportedOrder> unreported;
    double unreportedProcessors = 0;
    /// Of the most urgent priority among these.
    double unreportedUrgentProcessors = 0;
    /// Of tasks being placed whose job is not yet let in.
    double tentativeProcessors = 0;
    std::int64_t loadAtMs = 0;
    Dispatch::BackendSpeed speed;
    Dispatch::HealthRecord health;
    /// Tasks ordered from here that have not ended.
    std::int64_t inFlight = 0;
    /// Refused a start: gets none until then.
    std::int64_t pausedUntilMs = 0;
    /// Of other gateways.
    Schema::OrphanedJobs orphans;
    /// While not linked: when nothing that was ordered there can run any more.
    std::int64_t settledAtMs = 0;
};

/// A process of an agent that is lost, or that another one has followed. What it had started may
/// run on until the new one has told that it is over, or until its leases have lapsed.
struct FormerAgent
{
    std::string instance;
    std::string name;
    /// What had been answered as started has ended by then.
    std::int64_t settledAtMs = 0;
    bool isSettled = false;
    /// Starts that had not been answered do not take effect any more.
    std::int64_t lateStartsOverMs = 0;
    /// Of other gateways, as it told them last.
    Schema::OrphanedJobs orphans;
};

/// Baselines: each of these can be switched off.
struct FleetDecisions
{
    /// Waits as the agents forecast them; otherwise from the mean time left.
    bool usesForecasts = true;
    /// The pace that backend servers have at present.
    bool usesPaces = true;
    bool weighsWaits = true;
    bool learnsSpeeds = true;
    bool ejects = true;
    bool breaksTies = true;
    bool avoidsAgents = true;
};

struct Fleet
{
    FleetDecisions decisions;
    /// By the agent's name, which it keeps when it starts again. Iterated in the order of names, so
    /// that a seed replays.
    std::map<std::string, AgentView> agents;
    std::vector<FormerAgent> formerAgents;
    /// Speeds that other gateways had learned, by the agent's name.
    std::map<std::string, Schema::LearnedSpeed> recalledSpeeds;
    Dispatch::Estimates estimates;
};

/// The agent with this instance, if it is the one known under its name.
AgentView *findAgent(Fleet &fleet, const std::string &instance);

/// True where the agent takes tasks of \a service at present.
bool acceptsTasks(const AgentView &agent, const std::string &service, std::int64_t nowMs);

double committedProcessors(const AgentView &agent);
/// Room for more, as far as is known; may be negative.
double freeProcessors(const AgentView &agent);

void loadReported(AgentView &agent, const Schema::AgentLoad &load, std::int64_t nowMs);
/// Tasks of this priority pass all others that wait at the agent.
bool hasUrgentPriority(const AgentView &agent, std::int64_t priority);
/// Counts an order of \a tasks tasks; returns its sequence.
std::int64_t countOrder(AgentView &agent, double processors, std::int64_t priority,
                        std::int64_t tasks);

struct RunOutcome
{
    bool succeeded = false;
    double expectedMs = 0;
    std::int64_t runMs = 0;
};

/// Learns from a task's end. True where the agent was ejected for it.
bool runEnded(Fleet &fleet, AgentView &agent, Dispatch::ProfileId profile,
              const RunOutcome &outcome, std::int64_t nowMs);

/// Lets ejected backend servers have their trial when it is due.
void advanceFleet(Fleet &fleet, std::int64_t nowMs);

} // namespace Transient
