#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Transient/Jobs.h"
#include "Transient/Placement.h"

/// Functions shared by the source files of the job state machine; not part of its interface.
namespace Transient {

/// Retry time in refusals where it is unknown when a backend server will be available: by then a
/// process that was killed is back.
constexpr std::int64_t RetryMs = 1000;

constexpr const char *RefusalCounter = "auburntrail_transient_refusals_total";

/// The integral part of \a value, for log fields.
std::string text(double value);

/// Delay of this gateway itself that decisions take into account; 0 where backend servers are not
/// shared.
double countedOwnDelayMs(const GatewayState &state);
/// Whether predictions include the errors of earlier predicted waits.
bool includesWaitErrors(const GatewayState &state);

// Jobs.cpp: submissions

enum class MayForward { No, Yes };

Effects handleSubmission(GatewayState &state, Submission submission, MayForward mayForward,
                         Common::Moment now, Common::Random &random);

// ForwardingReceiver.cpp: jobs that others have forwarded to this gateway

/// Sends the results of the jobs that have no record any more.
Effects sendSettledResults(GatewayState &state);
/// Ends the jobs that were forwarded on a link that is lost.
Effects endForwardedBy(GatewayState &state, const std::string &peer, Common::Moment now);

// ForwardingSender.cpp: jobs that this gateway has forwarded

/// Forwards the submission of an unknown id if this gateway is short of processor time and another
/// one has processors to spare. Otherwise returns nothing and leaves \a submission as it is.
std::optional<Effects> forward(GatewayState &state, Submission &submission, Common::Moment now,
                               Common::Random &random);
/// Lets a further request of a forwarded job wait for its result, or parks it.
Effects joinForwarded(GatewayState &state, Submission submission, Common::Moment now);
/// Removes the token of a caller that has left; nothing if it waits for no forwarded job.
std::optional<Effects> forwardedCallerLeft(GatewayState &state, const std::string &token);
/// Answers the requests of a forwarded job with gave_up and \a reason, and cancels it.
Effects endForwarded(GatewayState &state, const std::string &id, Schema::Reason reason);
/// Ends forwarded jobs past their deadline, answers those of lost peers once nothing of them can
/// run, and sends the results that waited until nothing of a job was left to run.
Effects updateForwarded(GatewayState &state, Common::Moment now, Common::Random &random);
/// Ends all forwarded jobs when a stopping gateway has no time left.
Effects endAllForwarded(GatewayState &state);
/// When updateForwarded() is due next.
std::int64_t nextForwardedMs(const GatewayState &state, std::int64_t sweepMs);

// Admit.cpp: submissions

/// Admits or refuses a job whose id is unknown here.
Effects admit(GatewayState &state, Submission submission, Common::Moment now,
              Common::Random &random);
/// Handles the parked submissions of \a id, unless an earlier job with this id is still known here
/// or agents still have tasks of it for other gateways.
Effects admitParked(GatewayState &state, const std::string &id, Common::Moment now,
                    Common::Random &random);

// EvacuatedFleet.cpp: evacuated failure domains

/// The evacuated failure domain without which ready tasks of the job have no backend server; empty
/// if there is none.
std::string evacuatedDomainOf(const GatewayState &state, const JobRecord &job);
/// Retry time in refusals while \a failureDomain is evacuated: nobody knows for how long, and one
/// that has lasted for some time will hardly end much sooner than after the same time again.
std::int64_t evacuatedRetryMs(const GatewayState &state, const std::string &failureDomain,
                              Common::Moment now);

// Orders.cpp: placement of tasks and orders to agents

struct PlacedTask
{
    int step = 0;
    int index = 0;
    Placement placement;
};

/// Chooses agents for the job's ready tasks and reserves processors for them. Sends no orders.
std::vector<PlacedTask> placeReady(GatewayState &state, JobRecord &job, Common::Moment now,
                                   Common::Random &random);
/// Reverts placeReady().
void undoPlacing(GatewayState &state, JobRecord &job, const std::vector<PlacedTask> &placed);
/// Sends the placed tasks to their agents, one message for each step and agent.
Effects orderTasks(GatewayState &state, JobRecord &job, const std::vector<PlacedTask> &placed,
                   Common::Moment now);
Effects placeAndOrder(GatewayState &state, JobRecord &job, Common::Moment now,
                      Common::Random &random);
/// Places and orders the ready tasks of all jobs without a result, the most urgent jobs first.
Effects placeWaiting(GatewayState &state, Common::Moment now, Common::Random &random);

// Attempts.cpp: reports of agents about attempts

/// Handles the state of an attempt that the agent with this instance has reported. Reports of
/// attempts that are not current are ignored.
Effects handleAttemptState(GatewayState &state, const std::string &instance,
                           const Schema::AttemptState &reported, Common::Moment now,
                           Common::Random &random);

// Answers.cpp: ends of jobs

/// Attempts to withdraw, by the agent's instance.
using Withdrawals = std::map<std::string, std::vector<Schema::TaskAttempt>>;

/// Marks the ordered tasks of the job as withdrawn, and returns their attempts.
Withdrawals withdrawOrdered(JobRecord &job);
void sendWithdrawals(Effects &effects, Withdrawals &withdrawals);
/// Sets the job's result, answers its callers and withdraws the tasks that agents have. The job's
/// record is kept until none of them can still run.
Effects endJob(GatewayState &state, JobRecord &job, const JobResult &result, Common::Moment now);
/// Removes a job that has a result and no tasks at agents. For GatewayTimes::retentionMs the answer
/// is kept if the job succeeded or failed, otherwise the highest attempt number.
void removeIfSettled(GatewayState &state, const std::string &id, Common::Moment now);

// Agents.cpp: agents that connect, disconnect and restart

/// Moves disconnected agents to the former agents once the leases of their runs have lapsed.
void removeLostAgents(GatewayState &state, Effects &effects, Common::Moment now);
/// Ends the attempts at former agents when enough time has passed: first those whose starts were
/// answered, as their leases have lapsed, then all others, as no start can arrive any more.
Effects settleFormerAgents(GatewayState &state, Common::Moment now, Common::Random &random);

} // namespace Transient
