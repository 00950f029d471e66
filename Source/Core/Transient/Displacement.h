#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Transient/JobsInternal.h"

/// Displacement: an admitted job that has not begun is refused after all, so that its capacity is
/// free for a job that costs callers more.
///
/// Load pattern: a burst of long jobs fills the queues of all backend servers. The urgent jobs that
/// come next would be refused for their wait, and most of the long jobs end too late to be of use,
/// which their callers learn only at their deadline.
///
/// The tasks of a displaced job are withdrawn. Its caller gets a refusal only when the agents have
/// returned all of them as not started. Otherwise the job goes on and is not displaced again.
namespace Transient {

/// Wait that has to become shorter at one agent before a job can be admitted.
struct NeededWait
{
    std::string agent;
    double waitMs = 0;
};

/// By how much the waits of placed tasks have to become shorter for the job to take \a excessMs
/// less. Nothing if shorter waits are not enough.
std::optional<std::vector<NeededWait>> neededWaits(const std::vector<PlacedTask> &placed,
                                                   double excessMs);

/// Ids of the jobs that have to yield to \a job so that the waits become as much shorter as is
/// needed; empty if they cannot. No more jobs are chosen than that takes.
std::vector<std::string> jobsThatYield(const GatewayState &state, const JobRecord &job,
                                       const std::vector<NeededWait> &needed, Common::Moment now);

/// Withdraws the tasks of an admitted job. \a by is the id of the job that it yields to, or empty.
/// \a backlogMs determines the retry time of the refusal.
Effects beginDisplacement(GatewayState &state, JobRecord &job, const std::string &by,
                          double backlogMs, Common::Moment now);

/// Displaces the jobs that can no longer start in time to end before their deadline.
Effects displaceHopeless(GatewayState &state, Common::Moment now);
/// When that is due for the job; nothing if it cannot be displaced.
std::optional<std::int64_t> hopelessAtMs(const GatewayState &state, const JobRecord &job);

/// Whether a report proves that its attempt has never run. One that this gateway has made itself
/// for a lost agent is no proof: the agent keeps the ends of runs for a few seconds only.
bool provesNotRun(const Schema::AttemptState &reported);

/// Ends the displacement of a job of which a task may have run: its returned tasks are ready again.
void resumeDisplaced(GatewayState &state, Effects &effects, JobRecord &job);

/// Refuses a displaced job if all of its tasks have been returned.
void refuseIfReturned(GatewayState &state, Effects &effects, JobRecord &job, Common::Moment now,
                      Common::Random &random);

} // namespace Transient
