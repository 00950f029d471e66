#pragma once

#include <optional>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Scheduling/SchedulerState.h"

/// Which tasks of which job wait, are held or delayed, with all counts that follow from it. The
/// scheduler's decisions change a job's tasks through these functions only, so that the counts by
/// caller, team and requirement cannot differ from the queue.
namespace Dispatch {

/// The demand with what its service's settings add, profiled and numbered; not yet entered.
ScheduledJob createJob(SchedulerState &state, const JobDemand &demand, Common::Moment now);

/// Gives back what createJob() took for a job that is refused.
void discardJob(SchedulerState &state, const ScheduledJob &job);

/// Enters the job with \a queued as its waiting tasks.
void addScheduledJob(SchedulerState &state, ScheduledJob job, std::vector<int> queued);

ScheduledJob *findJob(SchedulerState &state, const std::string &id);

void makeJobRunnable(SchedulerState &state, ScheduledJob &job);

/// Takes the job's next task out of the queue.
int takeTask(SchedulerState &state, ScheduledJob &job);

/// Puts a task back that had been taken, at the front of its job, once \a readyMs has come.
void delayTask(SchedulerState &state, ScheduledJob &job, int index, std::int64_t readyMs);
/// Counts a task that was taken as waiting elsewhere than in its job's queue.
void addDelayed(SchedulerState &state, ScheduledJob &job);
/// Undoes addDelayed().
void removeDelayed(SchedulerState &state, ScheduledJob &job);
/// Undoes addDelayed() and puts the task back at the front of its job.
void requeueTask(SchedulerState &state, ScheduledJob &job, int index);
void requeueDelayed(SchedulerState &state, std::int64_t nowMs);

/// Takes the job out with all its waiting tasks.
void removeJob(SchedulerState &state, JobNumber number);

/// Watches for the time after which the job cannot make its deadline; started jobs are not watched.
void watchDeadline(SchedulerState &state, const ScheduledJob &job);

LaneId laneOf(const ScheduledJob &job);

} // namespace Dispatch
