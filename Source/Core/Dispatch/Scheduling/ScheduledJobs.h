#pragma once

#include <optional>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerState.h"

/// Bookkeeping of the waiting tasks of all jobs and of all counts derived from them. The scheduler
/// changes the tasks of a job only through these functions, so that the counts by caller, team and
/// requirement cannot differ from the queue.
namespace Dispatch {

/// Creates a job from the demand and the settings of its service, with a number, a profile and a
/// requirement. The job is not added to the state yet.
ScheduledJob createJob(SchedulerState &state, const JobDemand &demand, Common::Moment now);

/// Releases what createJob() acquired for a job that is refused.
void discardJob(SchedulerState &state, const ScheduledJob &job);

/// Adds the job with \a queued as its waiting tasks.
void addScheduledJob(SchedulerState &state, ScheduledJob job, std::vector<int> queued);

/// Returns nullptr if the job is not known.
ScheduledJob *findJob(SchedulerState &state, const std::string &id);

/// Makes the job runnable: its tasks may be placed from now on.
void makeJobRunnable(SchedulerState &state, ScheduledJob &job);

/// Takes the job's next task out of the queue and returns its index.
int takeTask(SchedulerState &state, ScheduledJob &job);

/// Returns a task that was taken to the front of its job's queue at the steady time \a readyMs.
void delayTask(SchedulerState &state, ScheduledJob &job, int index, std::int64_t readyMs);
/// Counts a task that was taken as waiting outside its job's queue.
void addDelayed(SchedulerState &state, ScheduledJob &job);
/// Undoes addDelayed().
void removeDelayed(SchedulerState &state, ScheduledJob &job);
/// Undoes addDelayed() and returns the task to the front of its job's queue.
void requeueTask(SchedulerState &state, ScheduledJob &job, int index);
/// Returns the tasks whose delay is over to their jobs' queues.
void requeueDelayed(SchedulerState &state, std::int64_t nowMs);

/// Removes the job with all its waiting tasks. Does nothing if the job is not known.
void removeJob(SchedulerState &state, JobNumber number);

/// Registers the job to expire when it can no longer meet its deadline, unless one of its tasks is
/// in flight or has ended.
void watchDeadline(SchedulerState &state, const ScheduledJob &job);

/// Each requirement has two lanes, one for short and one for long tasks.
LaneId laneOf(const ScheduledJob &job);

} // namespace Dispatch
