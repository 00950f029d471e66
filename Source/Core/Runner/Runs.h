#pragma once

#include "Runner/RunnerState.h"

/// Starts, stops and finishes the runs at the backend server.
namespace Runner {

/// A rejected fence is too low because the wall clock was set back. It is raised by an hour, which
/// is more than clocks are ever wrong by.
constexpr std::int64_t FenceStepMs = 3'600'000;

/// Raises the fence after a call with \a usedFence went unanswered. That call may be carried out
/// seconds later and extend leases that count as expired; once a call with the higher fence has
/// been answered, it no longer has any effect. Does nothing if the fence was raised in the
/// meantime.
void raiseUnansweredFence(RunnerState &state, std::int64_t usedFence);
/// Raises the fence by FenceStepMs after a call with \a usedFence was rejected because another
/// process had raised the backend server's fence above it. Does nothing if the fence was raised in
/// the meantime, since the next call already carries the higher one.
void raiseRejectedFence(RunnerState &state, std::int64_t usedFence);

/// Whether a run or stray run that has to end still has no confirmed stop after
/// RunnerTimes::stopOverdueMs, or at all if its gateway's grant has lapsed: that gateway waits only
/// as long as a renewal at the end of the grant lasts. A lease covers all runs, and every start and
/// renewal extends it. In this case no start or renewal is made and all leases are left to expire,
/// because a run that was stopped for a lost gateway or a disconnected caller is soon started again
/// elsewhere.
bool hasOverdueStop(const RunnerState &state, Common::Moment now);

/// Starts queued runs, in order, as far as there is room for them.
Effects startRuns(RunnerState &state, Common::Moment now);

Effects startAnswered(RunnerState &state, RunId id, std::int64_t number,
                      const Transient::StartAnswer &answer, Common::Moment now);
void stopAnswered(RunnerState &state, const std::string &task, std::int64_t number, bool accepted,
                  Common::Moment now);

/// Whether a start of the run that was never answered may still take effect. A stop that the
/// backend server has accepted prevents that in its present incarnation only: the next one, under
/// the same id, takes the start if it arrives before the agent's first call. When such tasks went
/// elsewhere, they had two runs at the same time. They stay with this agent instead, where a crash
/// of the backend server ends their run as well, and where the gateway waits for late starts if the
/// agent is lost.
bool mayStartLate(const RunnerState &state, const Run &run, Common::Moment now);

/// Handles the end of a run that has neither succeeded nor failed: queues it again if its task is
/// still wanted and has to stay with this agent, and finishes it otherwise.
void finishOrRestart(RunnerState &state, Effects &effects, RunId id, Schema::Reason reason,
                     Common::Moment now);

/// Removes the run and reports its end to its gateway.
void finishRun(RunnerState &state, Effects &effects, RunId id, Schema::AttemptPhase phase,
               Schema::Reason reason, Common::Moment now);

/// Returns all tasks that wait for the backend server to their gateways.
void returnQueuedTasks(RunnerState &state, Effects &effects, Schema::Reason reason,
                       Common::Moment now);

/// Finishes a queued run at once; begins to stop a started one. Called for a run that is not wanted
/// any more, or whose state at the backend server is unknown.
void stopRun(RunnerState &state, Effects &effects, RunId id, Schema::Reason reason,
             Common::Moment now);

/// Begins to stop runs past their deadline, and sends the stops that are due.
Effects sendDueStops(RunnerState &state, Common::Moment now);

/// Stops the runs that were started for a previous incarnation of the backend server, if the
/// present one lists them although it cannot run them.
void stopIneligible(RunnerState &state, Effects &effects, Common::Moment now);

/// Finishes all started runs, since none of them is running any more. The exception are runs with a
/// start that was never answered: it may still take effect, and finishing the run at once made the
/// task run twice at the same time. Such a run is stopped instead, until the backend server
/// confirms the stop or the start can no longer take effect.
void endLostRuns(RunnerState &state, Effects &effects, Schema::Reason reason, Common::Moment now);

/// The backend server's clock was read so recently that a lease can be reckoned on it. An agent
/// without runs makes no calls for minutes.
bool isClockKnown(const RunnerState &state, Common::Moment now);
/// End of a lease that is granted now, on the backend server's clock; 0 while that is not known. If
/// that clock is slow, it is behind its last reading plus the time since then. When this was left
/// out, the first lease after an idle time lasted longer than it was reckoned here, and its run
/// continued when its task had been sent elsewhere.
std::int64_t leaseUntilMs(const RunnerState &state, Common::Moment now);
void updateClockOffset(RunnerState &state, std::int64_t clockMs, Common::Moment now);

} // namespace Runner
