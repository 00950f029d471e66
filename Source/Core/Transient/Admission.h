#pragma once

#include <cstdint>
#include <optional>

#include "Transient/Job.h"

/// Decides which jobs are admitted.
///
/// Load pattern: for seconds, more work is submitted than the backend servers can do. Without
/// admission control every job waits for its turn, nearly all end late, and their callers learn of
/// it only then. A job whose predicted end is too late to be of use is refused before its first
/// start, while the answer "not run" is true. The refusal says when to submit again, according to
/// the expected duration of the backlog.
namespace Transient {

struct AdmissionQuery
{
    /// Predicted time until the job's last task has ended, plus GatewayTimes::overheadMs.
    double predictedMs = 0;
    /// Longest expected wait among the job's tasks for free processors, or for the link.
    double waitMs = 0;
    /// Time until the link of this machine has carried the orders of earlier jobs.
    double linkWaitMs = 0;
    /// Factor by which both times above are too short, according to the last answers of the queue.
    double stretch = 1;
    /// How much longer than predicted the latest task is expected to wait; part of predictedMs.
    double waitErrorMs = 0;
    /// Each task has a backend server with room, as far as is known, although another one may have
    /// been chosen for it. Errors of earlier predictions are then no reason for a refusal.
    bool hasRoom = false;
    /// Delay of this gateway itself. It comes on top of the stretched prediction.
    double ownDelayMs = 0;
    /// Time after which the answer is late.
    double targetMs = 0;
    /// Time after which no caller waits for the answer.
    double deadlineMs = 0;
    /// Random number from 0 to 1 that spreads the retries of callers refused at the same time.
    double spread = 0;
};

/// How much longer the jobs of a queue take than predicted.
///
/// Load pattern: several gateways fill the same backend servers, some of which have just become
/// slow. Each gateway's predictions are then too short by the same factor for all jobs of a queue,
/// and nearly every admitted job ends late: of 483 jobs in four seconds of overload, 151 were in
/// time. The times that the last answers took correct the predictions within a few dozen answers.
struct PredictionError
{
    /// Moving average of the natural logarithm of time taken over time predicted; 0 if predictions
    /// are right.
    double logStretch = 0;
    /// Steady clock at the last answer.
    std::int64_t observedMs = 0;
};

/// Updates the error with a job that took \a takenMs.
void observeAnswer(PredictionError &error, double predictedMs, double takenMs, std::int64_t nowMs);

/// Factor by which predictions have to be multiplied; 1 if they are right or too long.
double expectedStretch(const PredictionError &error, std::int64_t nowMs);

struct AdmissionLimits
{
    /// A job that is expected to take more than this many times its target latency is refused.
    double maxLateness = 1.0;
    /// No job is admitted while orders wait longer for the link of this machine: the heartbeats
    /// behind them would be late.
    double maxLinkWaitMs = 150;
    bool refuses = true;
    /// Baselines for comparison when false: predictions are not corrected, and callers count as
    /// not having waited before.
    bool correctsPredictions = true;
    bool countsWaiting = true;
};

/// The predicted time with all corrections.
double correctedMs(const AdmissionQuery &query);
/// The longest wait with all corrections.
double correctedWaitMs(const AdmissionQuery &query);
/// Time until which the answer of the job is of use.
double usefulMs(const AdmissionLimits &limits, const AdmissionQuery &query);

/// Time after which a refused caller should submit again. \a spread is random, from 0 to 1.
std::int64_t retryAfterBacklogMs(double backlogMs, double spread);

/// Returns the refusal, or nothing if the job is admitted. A job whose tasks and orders need not
/// wait is always admitted.
std::optional<JobResult> decideAdmission(const AdmissionLimits &limits,
                                         const AdmissionQuery &query);

} // namespace Transient
