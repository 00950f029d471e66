#pragma once

#include <map>
#include <optional>
#include <string>

#include "Common/Common.h"
#include "Transient/Fleet.h"
#include "Transient/Job.h"

/// On which backend server a task goes.
///
/// Load pattern: backend servers differ in speed by more than two times, and a job ends with its
/// last task. Each task goes where it is expected to end first, so that the fast backend servers
/// fill first and the tasks of a wide job end together. Waits weigh more than runs: where both
/// count alike, all tasks queue before the fast backend servers until these are no better than the
/// slow ones, which stand idle meanwhile, and short urgent jobs are late behind that queue.
namespace Transient {

struct PlacementQuery
{
    std::string service;
    const StepRequest *step = nullptr;
    std::int64_t priority = 0;
    /// On a backend server of factor 1.
    double runMs = 0;
    /// Tasks of the step that are already there, by the agent's name.
    const std::map<std::string, int> *tasksByAgent = nullptr;
    /// Agents where the task has failed or that gave it back; used only where no other is left.
    const std::vector<std::string> *avoided = nullptr;
};

struct Placement
{
    std::string agent;
    double waitMs = 0;
    /// At the pace that the backend server has now.
    double runMs = 0;
    /// At the pace that it usually has.
    double expectedMs = 0;
};

/// The same without forecasts, from the mean time left.
double meanWaitMs(const AgentView &agent, double processors);
/// Expected time until \a processors are free there for a task of this priority.
double expectedWaitMs(const AgentView &agent, double processors, std::int64_t priority);

std::optional<Placement> placeTask(Fleet &fleet, const PlacementQuery &query, std::int64_t nowMs,
                                   Common::Random &random);

/// The service has a backend server that could run the step, now or when its agent, whose link is
/// lost, is back. One that is leaving does not count.
bool hasEligibleBackend(const Fleet &fleet, const std::string &service, const StepRequest &step);

} // namespace Transient
