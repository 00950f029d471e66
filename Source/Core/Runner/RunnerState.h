#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Common/Common.h"
#include "Runner/ObservationBackoff.h"
#include "Runner/StartTimeout.h"
#include "Schema/Schema.h"
#include "Transient/Resubmission.h"
#include "Transient/Transient.h"

/// State of an agent for transient jobs. The agent alone starts, stops and renews the runs of its
/// backend server, so it knows the free resources to the millisecond. It holds the queue in which
/// the tasks of all gateways wait for the backend server, ordered by urgency.
namespace Runner {

using RunId = std::uint64_t;

/// Identifies one process of the backend server, by its id and its start on the wall clock.
using Incarnation = std::pair<std::string, std::int64_t>;

enum class RunPhase {
    Queued,
    /// The start was sent and has not been answered yet.
    Starting,
    Running,
    /// Not wanted any more, or its start was not answered. Being stopped until the run is known to
    /// be over.
    Stopping
};

constexpr Common::NameTable<RunPhase, 4> RunPhaseNames{{{RunPhase::Queued, "queued"},
                                                        {RunPhase::Starting, "starting"},
                                                        {RunPhase::Running, "running"},
                                                        {RunPhase::Stopping, "stopping"}}};

/// One attempt at a task, from the order to its end.
struct Run
{
    /// Instance of the gateway that ordered it.
    std::string gateway;
    std::string task;
    std::int64_t attempt = 0;
    std::string payload;
    /// Empty if the gateway does not say.
    std::string service;
    /// Label that the backend server must have; empty for any.
    std::string requiredLabel;
    Schema::Resources resources;
    std::int64_t priority = 0;
    std::int64_t expectedMs = 0;
    /// These four are on the steady clock.
    std::int64_t targetMs = 0;
    std::int64_t deadlineMs = 0;
    std::int64_t orderedMs = 0;
    std::int64_t notBeforeMs = 0;
    /// Longest time from the order on that the task may wait here; nothing if that is not limited.
    std::optional<std::int64_t> longestWaitMs;

    RunPhase phase = RunPhase::Queued;
    /// Run number at the backend server.
    std::int64_t number = 0;
    std::int64_t startSentMs = 0;
    std::int64_t startFence = 0;
    /// Incarnation of the backend server that the start was meant for.
    Incarnation incarnation;
    bool isStartPending = false;
    /// The backend server has answered the start, or listed the run in an observation. Until then
    /// the start may still be in transit.
    bool isStartKnown = false;
    /// When the last earlier start of this attempt was sent that may still be in transit; 0 if
    /// there is none.
    std::int64_t earlierStartSentMs = 0;
    std::int64_t startedMs = 0;
    /// When the answer to the start was received; 0 before.
    std::int64_t startAnsweredMs = 0;
    int startTries = 0;
    int percent = 0;
    /// When an observation last reported the percentage; 0 before.
    std::int64_t progressSeenMs = 0;
    /// Consecutive observations without this run that were sent after its start was answered.
    int missedObservations = 0;

    Schema::Reason stopReason = Schema::Reason::None;
    std::int64_t stopRequestedMs = 0;
    int stopTries = 0;
    std::int64_t nextStopMs = 0;
    /// When the backend server's acceptance of the stop was received; 0 before.
    std::int64_t stopAcceptedMs = 0;
};

/// Calls to the backend server. The answers are passed to startAnswered(), stopAnswered() and
/// observeAnswered().
struct CallStart
{
    RunId run = 0;
    Transient::RunStart start;
    /// Without an answer within this time, the start counts as unanswered.
    std::int64_t timeoutMs = 0;
};

struct CallStop
{
    std::string task;
    std::int64_t number = 0;
};

struct CallObserve
{
    std::uint64_t observation = 0;
    std::int64_t lastEnd = 0;
    std::int64_t leaseUntilMs = 0;
    std::int64_t waitMs = 0;
};

struct ReportAttempt
{
    std::string gateway;
    Schema::AttemptState state;
};

/// Sends a new announcement of this agent to every connected gateway.
struct Announce
{};

using Effect = std::variant<CallStart, CallStop, CallObserve, ReportAttempt, Announce,
                            Transient::CountReason, Transient::ObserveSeconds, Transient::SetGauge,
                            Transient::LogLine>;
using Effects = std::vector<Effect>;
using Common::append;

/// An observation that was sent and has not returned yet.
struct PendingObservation
{
    std::int64_t sentMs = 0;
    std::int64_t waitMs = 0;
    /// Position of the last end that it acknowledges.
    std::int64_t lastEnd = 0;
    bool isOverdue = false;
    /// It requests a lease for all runs.
    bool isRenewal = false;
    std::int64_t fence = 0;
};

struct RunnerTimes
{
    /// Lease that each renewal requests.
    std::int64_t leaseMs = Transient::LeaseMs;
    /// Longest lease that the backend server grants, whatever is requested.
    std::int64_t longestLeaseMs = 1000;
    /// How long an observation waits for an end: less than a third of the usual lease, since it
    /// also renews the lease.
    std::int64_t observeWaitMs = 200;
    /// An observation that has not returned this long after its wait is followed by another one on
    /// another connection; a lost answer would otherwise hide every end in the meantime.
    std::int64_t observeGraceMs = 40;
    /// Interval between the first stops of a run, which do not wait for each other's answers. Even
    /// if every second one goes unanswered, one of them is accepted long before a caller submits
    /// again.
    std::int64_t stopRetryMs = 40;
    int quickStops = 6;
    /// Interval between later stops: those to a backend server that hangs must not occupy all
    /// connections.
    std::int64_t laterStopRetryMs = 120;
    /// If a run that has to end has no confirmed stop by then, the lease of all runs is no longer
    /// renewed: the run would otherwise continue until its caller has submitted it again. Where the
    /// grant of its gateway has lapsed, nothing is renewed from then on.
    std::int64_t stopOverdueMs = 150;
    /// An unanswered start has taken effect by then or never will: orders have been carried out up
    /// to 12 s late; the rest is slack.
    std::int64_t lateStartMs = 13'500;
    /// Longest time without a frame to a gateway.
    std::int64_t heartbeatMs = 250;
    /// How long a gateway's grant lasts; see RunnerState::grants.
    std::int64_t grantMs = Transient::GrantMs;
    /// A gateway whose last echoed message is this old is suspect: from then on its jobs are
    /// reported to the other gateways.
    std::int64_t suspectMs = Transient::suspectTimeMs(Transient::LeaseMs);
};

struct UsedNumber
{
    std::int64_t number = 0;
    std::int64_t usedMs = 0;
};

/// A run that the backend server lists and that matches no started run here.
struct Stray
{
    std::int64_t firstSeenMs = 0;
    std::int64_t nextStopMs = 0;
};

inline Incarnation incarnationOf(const Transient::BackendAnnouncement &announcement)
{
    return {announcement.id, announcement.startedAtMs};
}

/// The present incarnation of the backend server.
struct PresentBackend
{
    std::string id;
    /// host:port
    std::string address;
    std::int64_t startedAtMs = 0;
    bool leaving = false;
    /// What this incarnation has announced last. Nothing until it has announced itself: it may
    /// differ in everything from the previous one at the same address and under the same id.
    std::optional<Transient::BackendAnnouncement> announced;
};

inline Incarnation incarnationOf(const PresentBackend &backend)
{
    return {backend.id, backend.startedAtMs};
}

/// An announcement of another incarnation than the present one, which answers as far as is known.
struct ClaimedIncarnation
{
    Transient::BackendAnnouncement announcement;
    std::int64_t claimedMs = 0;
    /// The announcement seems to be of a previous incarnation: only an observation that is answered
    /// by the incarnation itself proves the contrary.
    bool isLate = false;
};

/// What gateways are told of the backend server.
struct Offer
{
    bool accepting = false;
    bool clean = false;
    std::string service;
    std::vector<std::string> labels;
    Schema::Resources resources{};
};

struct RecentEnd
{
    Schema::AttemptState state;
    std::int64_t endedMs = 0;
};

/// Decisions that can be switched off one by one, for a baseline to compare with.
struct RunnerDecisions
{
    /// Orders the queue by priority and latest start; otherwise it is in order of arrival.
    bool ordersByUrgency = true;
    bool movesFromSlow = true;
    bool learnsStartTimeout = true;
};

struct RunnerState
{
    RunnerDecisions decisions;
    StartTimeout startTimeout;
    ObservationBackoff observationBackoff;
    std::string name;
    std::string instance;
    std::string failureDomain;
    std::string service;
    RunnerTimes times;

    Transient::Evacuations evacuations;

    /// Nothing until a backend server has announced itself to this process.
    std::optional<PresentBackend> backend;
    /// What the gateways were told last.
    std::optional<Offer> toldOffer;
    /// Incarnations that others have replaced: their announcements may arrive late.
    std::set<Incarnation> previousIncarnations;
    /// Incarnations that have announced that they are leaving, whichever counted as the present one
    /// then. None of them takes tasks again.
    std::set<Incarnation> leavingIncarnations;
    /// Until the backend server has answered an observation, this incarnation may be the present
    /// one.
    std::optional<ClaimedIncarnation> claim;
    /// Claimed incarnations that were reported as refuted.
    Common::ReportedKeys refutedIncarnations;
    /// The backend server's clock minus the steady clock of this process, at the last answer.
    std::optional<std::int64_t> clockOffsetMs;
    std::int64_t clockSeenMs = 0;
    std::int64_t fence = 0;
    /// Nothing runs any more from before the start of this process or of the backend server's
    /// incarnation.
    bool isClean = false;
    bool isStopping = false;
    /// False while the backend server counts as lost.
    bool isBackendResponsive = true;
    /// Send time of the first failed observation since the last answer; 0 while none has failed or
    /// none is needed.
    /// The time since the last answer cannot be used instead, because an agent without runs sends
    /// no observations.
    std::int64_t silentSinceMs = 0;
    /// Send time of the last call that may have granted a lease, among those that are no longer
    /// pending. Set into the future when a new incarnation may hold a longer lease than requested.
    std::int64_t leaseGrantSentMs = 0;

    RunId lastRun = 0;
    std::map<RunId, Run> runs;
    /// Runs in the order they should start.
    std::vector<RunId> queue;
    /// Lowest priority value of any order so far: tasks with it go before all others.
    std::int64_t urgentPriority = std::numeric_limits<std::int64_t>::max();
    /// Highest run number used for each task: a task may be ordered again, also by another
    /// gateway.
    std::unordered_map<std::string, UsedNumber> usedNumbers;

    std::uint64_t lastObservation = 0;
    std::map<std::uint64_t, PendingObservation> pendingObservations;
    std::int64_t lastEnd = 0;
    std::int64_t acknowledgedEnd = 0;
    /// Until then observations are made more often, since an answer was lost or overdue.
    std::int64_t lossyUntilMs = 0;
    std::int64_t nextObserveMs = 0;
    /// By task and run number.
    std::map<std::pair<std::string, std::int64_t>, Stray> strays;
    std::int64_t prunedNumbersMs = 0;
    /// Logarithm of the ratio of actual to expected run times, at the last progress that showed
    /// it.
    double logSlowdown = 0;
    std::int64_t slowdownUpdatedMs = 0;

    /// By the gateway's instance: until when this agent may act for it. A gateway echoes the send
    /// time of the last message that it received from the agent, and the grant counts from that
    /// time. An agent that was frozen therefore starts none of the old orders that it finds in its
    /// sockets.
    std::map<std::string, std::int64_t> grants;
    /// Jobs that other gateways must not start.
    Schema::OrphanedJobs orphans;
    /// Incremented with each change of the orphaned jobs, and when they are reported again.
    std::uint64_t orphansChange = 0;
    std::int64_t orphansChangedMs = 0;
    /// The last change that must be reported to the gateways at once.
    std::uint64_t urgentOrphansChange = 0;
    /// By the gateway's instance: sequence of the last orders received.
    std::map<std::string, std::int64_t> lastOrders;
    /// By the gateway's instance: ends of its runs in the recent past. They are reported again on a
    /// new connection, since the frame may have been lost with the old one.
    std::map<std::string, std::deque<RecentEnd>> recentEnds;
};

} // namespace Runner
