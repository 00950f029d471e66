#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerState.h"
#include "Dispatch/Scheduling/SchedulerTypes.h"
#include "Schema/Schema.h"

/// The scheduler of one gateway: a facade over admission, the fair queue, placement, health,
/// estimates and the retry budget. Tasks wait here until a slot is free (late binding), so that a
/// slow or failed backend server does not delay tasks that have not been sent to it.
///
/// The states of a task: admitJob() holds it, setJobRunnable() allows its placement, and
/// assignTasks() counts it as in flight at an agent until taskEnded(), taskAbandoned() or
/// taskNotStarted() is called for it. agentLost() alone does not end it.
namespace Dispatch {

/// Applies services, teams, policy, drains and evacuations. Queued jobs stay queued.
void configureScheduler(SchedulerState &state, const Schema::Configuration &configuration,
                        Common::Moment now);

/// Sets the number of gateways in the region that serve at present, including this one. Each
/// enforces its part of a team's quota.
void setGatewayCount(SchedulerState &state, int gateways);

/// Admits the job and holds its tasks until setJobRunnable(), or refuses the whole job and returns
/// the reason. Passing a job id that is already held violates an invariant.
std::optional<Refusal> admitJob(SchedulerState &state, const JobDemand &demand, Common::Moment now);

/// Takes over a job that another owner has admitted. \a queued lists the tasks that still have to
/// be placed; they are held until setJobRunnable().
void restoreJob(SchedulerState &state, const JobDemand &demand, const std::vector<int> &queued,
                Common::Moment now);

/// Counts a task that another owner has sent to \a agent as in flight.
void taskAdopted(SchedulerState &state, const TaskKey &task, const std::string &agent,
                 Common::Moment now);

/// Allows the placement of the job's tasks. To be called once the job's intent is durable.
void setJobRunnable(SchedulerState &state, const std::string &job, Common::Moment now);

/// Returns the tasks to be sent to agents now. No more are taken from the queue once there are
/// \a limit. Each is counted as in flight.
std::vector<Assignment> assignTasks(SchedulerState &state, Common::Moment now,
                                    Common::Random &random, std::size_t limit = 4096);

/// Handles the end of a task. \a runMs is the time that the backend server took; if it is 0
/// (unknown), the estimates are not updated. Returns false if the task is not in flight at
/// \a agent.
bool taskEnded(SchedulerState &state, const TaskKey &task, const std::string &agent, bool succeeded,
               double runMs, Common::Moment now);

/// Like taskEnded(), for an end that says nothing about the backend server: the task was cancelled,
/// or its outcome is unknown for another reason.
bool taskAbandoned(SchedulerState &state, const TaskKey &task, const std::string &agent,
                   Common::Moment now);

/// Handles a task that is proven not to have started at \a agent, for \a reason.
RetryDecision taskNotStarted(SchedulerState &state, const TaskKey &task, const std::string &agent,
                             Schema::Reason reason, Common::Moment now, Common::Random &random);

/// Removes the job's queued tasks at once and sends no messages. Tasks in flight keep their slots
/// in the agents' windows until they end. To be called when a job ends for any reason. Unknown ids
/// are ignored.
void dropJob(SchedulerState &state, const std::string &job);

/// Handles the first frame and the heartbeats of an agent.
void agentHelloReceived(SchedulerState &state, const Schema::AgentHello &hello, Common::Moment now);

/// Updates window and load from any other frame of the agent.
void agentWindowReceived(SchedulerState &state, const std::string &instance, std::int64_t window,
                         std::int64_t running, Common::Moment now);

/// The agent has left or its connection is lost: it gets no tasks until its next hello.
void agentLost(SchedulerState &state, const std::string &instance, Common::Moment now);

/// Removes and returns the jobs that are to be ended with a refusal because none of their tasks
/// could be started in time. dropJob() need not be called for them.
std::vector<ExpiredJob> expiredJobs(SchedulerState &state, Common::Moment now);

/// Number of tasks that wait for a slot. The agents divide their windows among the gateways by it.
std::int64_t totalDemand(const SchedulerState &state);

/// Steady time at which assignTasks() and expiredJobs() should be called again if no event occurs
/// earlier.
std::int64_t nextWakeMs(const SchedulerState &state, Common::Moment now);

} // namespace Dispatch
