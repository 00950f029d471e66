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
#include "Transient/Evacuations.h"

/// State of the agents and their backend servers as known to a gateway.
///
/// Load pattern: several gateways send work to the same backend servers. Each agent reports its
/// load to all of them. A gateway adds what it has sent since, so that its own orders count at once
/// and only those of other gateways are known late.
namespace Transient {

/// An order that the agent's reported load does not include yet.
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
    /// Its failure domain is evacuated.
    bool isEvacuated = false;
    Schema::AgentLoad load;
    std::int64_t lastSequence = 0;
    /// Orders that the load does not include yet.
    std::deque<UnreportedOrder> unreported;
    double unreportedProcessors = 0;
    /// Processors of those with the most urgent priority among these.
    double unreportedUrgentProcessors = 0;
    /// Processors of tasks that are placed here but not ordered yet.
    double tentativeProcessors = 0;
    std::int64_t tentativeTasks = 0;
    /// When the load was received.
    std::int64_t loadAtMs = 0;
    Dispatch::BackendSpeed speed;
    /// Labels of the backend server that \a speed belongs to.
    std::vector<std::string> speedLabels;
    Dispatch::HealthRecord health;
    /// Number of tasks ordered by this gateway that have not ended.
    std::int64_t inFlight = 0;
    /// The agent returned a task for lack of room; until then it gets no others.
    std::int64_t pausedUntilMs = 0;
    /// Jobs of other gateways, as the agent reported them last.
    Schema::OrphanedJobs orphans;
    /// While disconnected: time at which the leases of all runs with answered starts have lapsed.
    std::int64_t settledAtMs = 0;
};

/// An agent process that is lost, or that another one has replaced. What it had started may run on
/// until the new process has reported that it is over, or until the leases have lapsed.
struct FormerAgent
{
    std::string instance;
    std::string name;
    /// By then all runs with answered starts have ended.
    std::int64_t settledAtMs = 0;
    /// The attempts with answered starts have been ended.
    bool isSettled = false;
    /// By then nothing of the unanswered starts can run any more.
    std::int64_t lateStartsOverMs = 0;
    /// Jobs of other gateways, as the process reported them last.
    Schema::OrphanedJobs orphans;
};

/// Decisions that can be switched off, to compare with a baseline.
struct FleetDecisions
{
    /// Uses the agents' forecasts of waits; otherwise the mean time that their tasks still take.
    bool usesForecasts = true;
    /// Takes the present slowdown of backend servers into account.
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
    Evacuations evacuations;
    /// By the agent's name, which stays the same when the agent restarts. Iterated in the order of
    /// names, so that a seed reproduces a run.
    std::map<std::string, AgentView> agents;
    std::vector<FormerAgent> formerAgents;
    /// Speeds that other gateways had learned, by the agent's name.
    std::map<std::string, Schema::LearnedSpeed> recalledSpeeds;
    Dispatch::Estimates estimates;
};

/// The agent with this instance; null if it is unknown or another process has replaced it.
AgentView *findAgent(Fleet &fleet, const std::string &instance);

/// True if the agent takes tasks of \a service at present.
bool acceptsTasks(const AgentView &agent, const std::string &service, std::int64_t nowMs);

/// Processors of all tasks that run, wait or are placed at the agent, as far as is known.
double committedProcessors(const AgentView &agent);
/// Processors for further tasks, as far as is known; may be negative.
double freeProcessors(const AgentView &agent);

/// Takes over a reported load and drops the orders that it includes.
void updateLoad(AgentView &agent, const Schema::AgentLoad &load, std::int64_t nowMs);
/// True if tasks of this priority go ahead of all others that wait at the agent.
bool hasUrgentPriority(const AgentView &agent, std::int64_t priority);
/// Counts an order of \a tasks tasks that need \a processors in all. Returns its sequence number.
std::int64_t countOrder(AgentView &agent, double processors, std::int64_t priority,
                        std::int64_t tasks);

struct RunOutcome
{
    bool succeeded = false;
    double expectedMs = 0;
    std::int64_t runMs = 0;
};

/// Updates run time estimates and the health of the backend server after a run. Returns true if the
/// backend server was ejected.
bool recordRunOutcome(Fleet &fleet, AgentView &agent, Dispatch::ProfileId profile,
                      const RunOutcome &outcome, std::int64_t nowMs);

/// Updates AgentView::isEvacuated of all agents. Backend servers that are taken back may be cold:
/// they get tasks as they complete them, unless no other serves meanwhile.
void updateEvacuated(Fleet &fleet);

/// Begins the trial of backend servers whose ejection is over.
void advanceFleet(Fleet &fleet, std::int64_t nowMs);

} // namespace Transient
