#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Common.h"
#include "Transient/Admission.h"
#include "Transient/Effects.h"
#include "Transient/Fleet.h"
#include "Transient/JobTable.h"
#include "Transient/RemainingTimeout.h"

/// What a gateway does with transient jobs: one state machine that every event goes through, in the
/// order in which the control thread meets it.
///
/// No task of a job runs twice at the same time: a task goes to another agent only when the first
/// has told that it is over there, or when it cannot run there any more since the agent has lost
/// this gateway and its lease. A job that nobody waits for any more is stopped at once, so that its
/// caller can submit it again elsewhere.
namespace Transient {

struct GatewayTimes
{
    /// From the last that was heard of an agent until nothing runs there any more that was ordered
    /// from here: the time for which it may act on what it last heard of this gateway, the lease at
    /// the backend server, whose clock may be slow by a fiftieth, and slack for late timers.
    std::int64_t settleMs = 1700;
    /// From the last that was heard of an agent until none of its starts takes effect any more that
    /// was not answered: they were seen to arrive up to 12 s late, and what they start then may
    /// hold the longest lease, 1 s by a clock that is slow by a fiftieth.
    std::int64_t lateStartMs = 13'500;
    /// After its start a gateway waits so long for agents before it refuses for lack of them.
    std::int64_t gatherMs = 2000;
    /// Time on the wire and in queues of the programs, from the caller and back.
    double overheadMs = 15;
    /// A job's answer is remembered for so long: callers repeat requests that are on their way.
    std::int64_t retentionMs = 5000;
};

/// How long an agent that is gone is waited for, where it acts on what it last heard of a gateway
/// for \a silenceMs and renews its tasks for \a leaseMs. See GatewayTimes::settleMs.
std::int64_t settleTimeMs(std::int64_t silenceMs, std::int64_t leaseMs);

/// A submission as it arrives.
struct Submission
{
    std::string token;
    Schema::JobQueue queue;
    JobRequest request;
    /// How long its caller waits.
    std::int64_t remainingTimeoutMs = 0;
};

/// The highest attempt of a job's last life here. Agents tell recent ends again on a new link:
/// under the same number, one of the former life would end an attempt of the next life that goes
/// on.
struct FormerAttempts
{
    std::int64_t highest = 0;
    std::int64_t expiresAtMs = 0;
};

struct FinishedJob
{
    JobResult result;
    std::int64_t expiresAtMs = 0;
};

struct GatewayState
{
    GatewayTimes times;
    AdmissionLimits limits;
    std::int64_t startedMs = 0;
    bool isStopping = false;
    /// While stopping: nothing is let in that would end later.
    std::int64_t stopDeadlineMs = 0;
    Fleet fleet;
    /// By queue.
    std::unordered_map<std::string, PredictionError> predictionErrors;
    /// By queue.
    std::map<std::string, UsualRemainingTimeout> patiences;
    std::unordered_map<std::string, JobRecord> jobs;
    std::unordered_map<std::string, FinishedJob> finished;
    std::unordered_map<std::string, FormerAttempts> formerAttempts;
    /// Until when other gateways say that agents hold jobs for others, by the gateway's instance
    /// and the job.
    std::map<std::string, std::map<std::string, std::int64_t>> relayedOrphans;
    /// Submissions of ids whose last life is not over yet.
    std::unordered_map<std::string, std::vector<Submission>> parked;
    /// What was learned is kept in the store and read at the start.
    bool storesLearned = true;
    std::int64_t sweptMs = 0;
    /// Tasks that wait for an agent.
    int readyTasks = 0;
};

Effects jobSubmitted(GatewayState &state, Submission submission, Common::Moment now,
                     Common::Random &random);
/// The connection of a request is gone.
Effects callerGone(GatewayState &state, const std::string &token, Common::Moment now);

/// Its caller does not want it any more: nothing of it runs on.
Effects jobCancelled(GatewayState &state, const std::string &id, Common::Moment now);

Effects agentAnnounced(GatewayState &state, const Schema::AgentAnnouncement &announcement,
                       Common::Moment now, Common::Random &random);
Effects agentReported(GatewayState &state, const std::string &instance,
                      const Schema::AgentReport &report, Common::Moment now,
                      Common::Random &random);
Effects handleAgentDisconnected(GatewayState &state, const std::string &instance,
                                Common::Moment now);

void beginStop(GatewayState &state, std::int64_t timeoutMs, Common::Moment now);

/// Timers: deadlines, lost agents, tasks that wait.
Effects tick(GatewayState &state, Common::Moment now, Common::Random &random);
std::int64_t nextWakeMs(const GatewayState &state, Common::Moment now);

/// Jobs of the queue that have no task with an agent yet.
std::int64_t waitingJobs(const GatewayState &state, const std::string &queue);

} // namespace Transient
