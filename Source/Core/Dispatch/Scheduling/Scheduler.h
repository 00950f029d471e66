#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerState.h"
#include "Dispatch/Scheduling/SchedulerTypes.h"
#include "Schema/Schema.h"

/// Who is served, who waits, who is refused and where work goes: the facade over admission, the
/// fair queue, placement, health, estimates and the retry budget of one gateway. Tasks wait here
/// until a slot is free (late binding), so that a slow or dead backend server holds up no task that
/// has not been sent to it.
///
/// The life of a task: admitJob() holds it, setJobRunnable() lets it be placed, assignTasks()
/// counts it in flight at an agent until taskEnded() or taskNotStarted() is called for it;
/// agentLost() alone does not end it.
namespace Dispatch {

/// Takes services, teams, policy and drains over; queued jobs stay queued.
void configureScheduler(SchedulerState &state, const Schema::Configuration &configuration,
                        Common::Moment now);

/// Gateways of the region that serve at present, this one included: each enforces its part of a
/// team's quota.
void setGatewayCount(SchedulerState &state, int gateways);

/// Refuses the whole job, or holds its tasks until setJobRunnable(). A job id that is already held
/// is a broken invariant.
std::optional<Refusal> admitJob(SchedulerState &state, const JobDemand &demand, Common::Moment now);

/// Takes over a job that another owner admitted; \a queued are the tasks that still have to be
/// placed. It is held until setJobRunnable().
void restoreJob(SchedulerState &state, const JobDemand &demand, const std::vector<int> &queued,
                Common::Moment now);

/// Counts a task in flight that another owner had sent to \a agent.
void taskAdopted(SchedulerState &state, const TaskKey &task, const std::string &agent,
                 Common::Moment now);

/// The job's intent is durable: its tasks may be placed from now on.
void setJobRunnable(SchedulerState &state, const std::string &job, Common::Moment now);

/// Tasks that go to agents now, at most \a limit. Each is counted in flight.
std::vector<Assignment> assignTasks(SchedulerState &state, Common::Moment now,
                                    Common::Random &random, std::size_t limit = 4096);

/// \a runMs is the time the backend server took, 0 where it is not known (then nothing is learned
/// of speed). False where the task was not in flight at \a agent.
bool taskEnded(SchedulerState &state, const TaskKey &task, const std::string &agent, bool succeeded,
               double runMs, Common::Moment now);

/// Like taskEnded(), for an end that tells nothing of the backend server: the task was cancelled,
/// or is unknown for another cause.
bool taskAbandoned(SchedulerState &state, const TaskKey &task, const std::string &agent,
                   Common::Moment now);

/// The task is proven not to have started at \a agent.
RetryDecision taskNotStarted(SchedulerState &state, const TaskKey &task, const std::string &agent,
                             Schema::Reason reason, Common::Moment now, Common::Random &random);

/// Forgets the job's queued tasks at once, without a message to anybody; tasks in flight keep their
/// place in the agents' windows until they end. Call it when a job ends for whatever reason.
/// Unknown ids are ignored.
void dropJob(SchedulerState &state, const std::string &job);

/// First frame and heartbeats of an agent.
void agentHelloReceived(SchedulerState &state, const Schema::AgentHello &hello, Common::Moment now);

/// Window and load from any other frame of the agent.
void agentWindowReceived(SchedulerState &state, const std::string &instance, std::int64_t window,
                         std::int64_t running, Common::Moment now);

/// The agent has left or its connection is gone: it gets nothing until it is heard again.
void agentLost(SchedulerState &state, const std::string &instance, Common::Moment now);

/// Jobs to be ended with their refusal while none of their tasks has started. They are forgotten
/// here: dropJob() need not be called.
std::vector<ExpiredJob> expiredJobs(SchedulerState &state, Common::Moment now);

/// Tasks that wait for a slot, for the agents to split their windows by.
std::int64_t totalDemand(const SchedulerState &state);

/// Steady time at which assignTasks() and expiredJobs() should be called again if nothing happens
/// before.
std::int64_t nextWakeMs(const SchedulerState &state, Common::Moment now);

} // namespace Dispatch
