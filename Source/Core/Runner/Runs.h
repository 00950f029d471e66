#pragma once

#include "Runner/RunnerState.h"

/// The life of one run at the backend server.
namespace Runner {

/// A fence that was too low, since the time of day was set back, is raised by an hour: more than
/// clocks are ever wrong by.
constexpr std::int64_t FenceStepMs = 3'600'000;

/// Raises the fence once a call with \a usedFence went unanswered. It may be carried out seconds
/// later and prolong leases that count as over; once a call with the higher fence is answered, it
/// does nothing any more.
void raiseUnansweredFence(RunnerState &state, std::int64_t usedFence);
/// A call with \a usedFence was turned down: another process has raised the fence above this one's.
/// Where it was raised here since, the next call has it already.
void raiseRejectedFence(RunnerState &state, std::int64_t usedFence);

/// Whether something goes on that had to end. A lease is for all that runs, and every start and
/// renewal prolongs it, so none is made and all of it is left to lapse: what was stopped for a lost
/// gateway or a caller that left runs again elsewhere soon.
bool hasOverdueStop(const RunnerState &state, Common::Moment now);

/// Starts what has room now.
Effects startRuns(RunnerState &state, Common::Moment now);

Effects startAnswered(RunnerState &state, RunId id, std::int64_t number,
                      const Transient::StartAnswer &answer, Common::Moment now);
void stopAnswered(RunnerState &state, const std::string &task, std::int64_t number, bool accepted,
                  Common::Moment now);

/// Ends the run for good and tells its gateway.
void finishRun(RunnerState &state, Effects &effects, RunId id, Schema::AttemptPhase phase,
               Schema::Reason reason, Common::Moment now);

/// The run is not wanted any more, or has to be settled.
void stopRun(RunnerState &state, Effects &effects, RunId id, Schema::Reason reason,
             Common::Moment now);

/// Stops that are due, and runs past their deadline.
Effects sendDueStops(RunnerState &state, Common::Moment now);

/// Nothing that was started before is running any more. A start whose answer never came may take
/// effect yet; where its task was given up at once, it ran twice at a time. It is stopped instead,
/// which the backend server confirms, or waited out.
void endLostRuns(RunnerState &state, Effects &effects, Schema::Reason reason, Common::Moment now);

/// On the backend server's clock; 0 while that is not known.
std::int64_t leaseUntilMs(const RunnerState &state, Common::Moment now);
void updateClockOffset(RunnerState &state, std::int64_t clockMs, Common::Moment now);

} // namespace Runner
