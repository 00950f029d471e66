#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Common.h"
#include "Transient/Admission.h"
#include "Transient/Capacity.h"
#include "Transient/Cost.h"
#include "Transient/Effects.h"
#include "Transient/Fleet.h"
#include "Transient/Forwarding.h"
#include "Transient/JobTable.h"
#include "Transient/OrphanRelay.h"
#include "Transient/OwnDelay.h"
#include "Transient/RemainingTimeout.h"
#include "Transient/SharedFleet.h"
#include "Transient/StandingQueue.h"
#include "Transient/Submission.h"
#include "Transient/WaitError.h"

/// State machine of a gateway for transient jobs. Every event goes through it, in the order in
/// which the control thread handles events.
///
/// No task of a job runs twice at the same time: a task is sent to another agent only when the
/// first has reported that it is over there, or when it cannot run there any more since the agent
/// has lost this gateway and the lease has lapsed. A job for which no caller waits any more is
/// stopped at once, so that its caller can submit it again elsewhere.
namespace Transient {

struct GatewayTimes
{
    /// Time from the last message of an agent until no run that this gateway ordered and whose
    /// start was answered goes on there: the time for which the agent may act on the gateway's last
    /// message, the lease at the backend server, whose clock may be slow by one fiftieth, and slack
    /// for late timers.
    std::int64_t settleMs = 1700;
    /// Time from the last message of an agent until nothing of its unanswered starts can run any
    /// more: starts may arrive up to 12 s late, and a run that starts then may have the longest
    /// lease, which is 1 s by a clock that is slow by one fiftieth.
    std::int64_t lateStartMs = 13'500;
    /// Time after its start for which a gateway refuses no job for lack of backend servers, since
    /// agents may still be connecting.
    std::int64_t gatherMs = 2000;
    /// Time on the network and in queues of the programs, from the caller and back.
    double overheadMs = 15;
    /// How long the answer of a job, or its highest attempt number, is kept: callers repeat
    /// requests that are still in transit.
    std::int64_t retentionMs = 5000;
};

/// Value of GatewayTimes::settleMs for agents that act on the last message of a gateway for
/// \a silenceMs and renew leases for \a leaseMs.
std::int64_t settleTimeMs(std::int64_t silenceMs, std::int64_t leaseMs);

/// Highest attempt number of a former job at this gateway, from which a new job with the same id
/// counts on. Agents report recent ends again on a new connection: if the new job used the same
/// numbers, the end of a former attempt would end one that still runs.
struct FormerAttempts
{
    std::int64_t highest = 0;
    std::int64_t expiresAtMs = 0;
};

struct FinishedJob
{
    JobResult result;
    std::int64_t expiresAtMs = 0;
    Schema::JobQueue queue;
};

struct GatewayState
{
    GatewayTimes times;
    AdmissionLimits limits;
    std::int64_t startedMs = 0;
    Capacity capacity;
    LinkBacklog orderBacklog;
    bool isStopping = false;
    /// While stopping: jobs that may end later are not admitted, and all others end by then.
    std::int64_t stopDeadlineMs = 0;
    SharedFleet shared;
    Fleet fleet;
    /// By queue.
    std::unordered_map<std::string, PredictionError> predictionErrors;
    /// By queue and priority.
    std::map<std::pair<std::string, std::int64_t>, WaitError> waitErrors;
    OwnDelay ownDelay;
    StandingQueue requestQueue;
    /// Usual remaining timeouts of callers, by queue.
    std::map<std::string, UsualRemainingTimeout> patiences;
    /// Jobs that were displaced, by queue.
    std::map<std::string, QueueYields> yields;
    std::unordered_map<std::string, JobRecord> jobs;
    std::unordered_map<std::string, FinishedJob> finished;
    std::unordered_map<std::string, FormerAttempts> formerAttempts;
    /// Jobs of other gateways of which agents may have tasks, as told by agents and gateways.
    OrphanRelay orphanRelay;
    /// Jobs of this gateway that the others must not start; see listLateJobs().
    Schema::OrphanedJobs lateJobs;
    std::int64_t lateJobsListedMs = 0;
    /// Submissions, by id, of which an earlier job with the same id may still have running tasks.
    std::unordered_map<std::string, std::vector<Submission>> parked;
    /// Jobs that this gateway has forwarded, and those that others have forwarded to it.
    Forwarding forwarding;
    /// Learned times are written to the store, and read from it at the start.
    bool storesLearned = true;
    /// Last round of timers.
    std::int64_t sweptMs = 0;
    /// Number of tasks that wait for an agent.
    int readyTasks = 0;
};

/// Handles a submission. If the job is known here, the request gets its result, or waits for it; it
/// is parked while tasks of an earlier job with the same id may still run. Otherwise the job is
/// forwarded, admitted or refused. An id that a job of another queue has is refused: tasks are
/// named after the id, and each caller gets the result of its own job only.
Effects jobSubmitted(GatewayState &state, Submission submission, Common::Moment now,
                     Common::Random &random);
/// Takes note of a request for a job that is handled now, and refuses it before its body is read if
/// it has waited too long in a standing queue. A request whose job is known here is not refused,
/// since the job may have run.
std::optional<Effects> refuseWaited(GatewayState &state, const std::string &token,
                                    const std::string &id, std::int64_t arrivedMs,
                                    Common::Moment now, Common::Random &random);
/// Handles a closed connection of a request. A job is ended when no request waits for it any more.
Effects handleCallerDisconnected(GatewayState &state, const std::string &token, Common::Moment now);

/// Ends a job at the request of its caller and withdraws its tasks.
Effects jobCancelled(GatewayState &state, const std::string &id, Common::Moment now);
/// Whether this gateway has a job of the queue with this id that has not ended, also one that it
/// has forwarded.
bool isOpenJob(const GatewayState &state, const std::string &id, const Schema::JobQueue &queue);

Effects agentAnnounced(GatewayState &state, const Schema::AgentAnnouncement &announcement,
                       Common::Moment now, Common::Random &random);
Effects agentReported(GatewayState &state, const std::string &instance,
                      const Schema::AgentReport &report, Common::Moment now,
                      Common::Random &random);
Effects handleAgentDisconnected(GatewayState &state, const std::string &instance,
                                Common::Moment now);

/// Handles evacuations that another process has told of. \a source is its name, for the log.
Effects evacuationsTold(GatewayState &state, const Schema::EvacuationList &told,
                        const std::string &source, Common::Moment now, Common::Random &random);
/// Handles the operators' records that the store has returned.
Effects evacuationsRead(GatewayState &state, const EvacuationRecords &records, Common::Moment now,
                        Common::Random &random);

/// Begins to stop: only jobs that end within \a timeoutMs are admitted; all others end by then.
void beginStop(GatewayState &state, std::int64_t timeoutMs, Common::Moment now);

/// Runs the timers: deadlines, lost agents, parked submissions, tasks that wait for an agent.
Effects tick(GatewayState &state, Common::Moment now, Common::Random &random);
/// Time on the steady clock when tick() is due next.
std::int64_t nextWakeMs(const GatewayState &state, Common::Moment now);

/// Number of jobs of the queue of which no task has been sent to an agent yet.
std::int64_t waitingJobs(const GatewayState &state, const std::string &queue);

} // namespace Transient
