#pragma once

#include <map>
#include <optional>
#include <string>

#include "Common/Common.h"
#include "Transient/Fleet.h"
#include "Transient/Job.h"

/// Chooses the agent, and with it the backend server, that a task is sent to.
///
/// Load pattern: backend servers differ in speed by more than a factor of two, and a job ends with
/// its last task. Each task goes where its expected end comes first, so that the fast backend
/// servers fill first and the tasks of a wide job end together. Waits have a higher weight than run
/// times: with equal weights, all tasks would queue at the fast backend servers until these are no
/// better than the slow ones, which would stay idle meanwhile, and short urgent jobs would be late
/// behind that queue.
namespace Transient {

struct PlacementQuery
{
    std::string service;
    const StepRequest *step = nullptr;
    std::int64_t priority = 0;
    /// Expected run time on a backend server of speed factor 1.
    double runMs = 0;
    /// Number of the step's tasks that each agent already has, by the agent's name.
    const std::map<std::string, int> *tasksByAgent = nullptr;
    /// Names of agents where the task has failed or that returned it; used only if there is no
    /// other.
    const std::vector<std::string> *avoided = nullptr;
    /// Spreads tasks over backend servers with room that are about as fast: many gateways would
    /// otherwise choose the same ones between two reports of their load.
    bool spreads = false;
};

struct Placement
{
    std::string agent;
    double waitMs = 0;
    /// Expected run time with the present slowdown of the backend server.
    double runMs = 0;
    /// Expected run time at the usual speed of the backend server.
    double expectedMs = 0;
    /// Another agent has room for the task, as far as is known.
    bool hasAlternative = false;
};

/// Expected time until \a processors are free at the agent, estimated from the mean time that the
/// tasks there still take, without the agent's own forecasts.
double meanWaitMs(const AgentView &agent, double processors);
/// Expected time until \a processors are free at the agent for a task of this priority, according
/// to the agent's forecasts and the tasks placed there since its last report.
double expectedWaitMs(const AgentView &agent, double processors, std::int64_t priority,
                      std::int64_t nowMs);

/// Returns the best placement, or nothing if no agent can take the task now.
std::optional<Placement> placeTask(Fleet &fleet, const PlacementQuery &query, std::int64_t nowMs,
                                   Common::Random &random);

/// True if the service has a backend server that could run the step, now or once its disconnected
/// agent is back. A connected agent that accepts no tasks, as when it is leaving, does not count,
/// nor does one whose failure domain is evacuated.
bool hasEligibleBackend(const Fleet &fleet, const std::string &service, const StepRequest &step);

/// The evacuated failure domain of a backend server that could run the step otherwise; empty if
/// there is none. Of several, the one that was evacuated last.
std::string evacuatedDomainFor(const Fleet &fleet, const std::string &service,
                               const StepRequest &step);

} // namespace Transient
