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
#include "Runner/StartTimeout.h"
#include "Schema/Schema.h"
#include "Transient/Resubmission.h"
#include "Transient/Transient.h"

/// An agent of transient jobs: the one arbiter of its backend server. It alone starts, stops and
/// renews, knows the room to the millisecond and holds the queue before it, in which the tasks of
/// all gateways stand by their urgency.
namespace Runner {

using RunId = std::uint64_t;

enum class RunPhase {
    Queued,
    /// The start was sent and not answered.
    Starting,
    Running,
    /// Not wanted any more, or its start was not answered: being stopped until proven over.
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
    Schema::Resources resources;
    std::int64_t priority = 0;
    std::int64_t expectedMs = 0;
    /// Steady clock.
    std::int64_t targetMs = 0;
    std::int64_t deadlineMs = 0;
    std::int64_t orderedMs = 0;
    std::int64_t notBeforeMs = 0;

    RunPhase phase = RunPhase::Queued;
    /// Of the run at the backend server.
    std::int64_t number = 0;
    std::int64_t startSentMs = 0;
    std::int64_t startFence = 0;
    bool isStartPending = false;
    /// The backend server has answered the start, or shown the run. Until then the start may still
    /// be on its way.
    bool isStartKnown = false;
    std::int64_t startedMs = 0;
    /// When the answer to the start was taken in; 0 before.
    std::int64_t startAnsweredMs = 0;
    int startTries = 0;
    int percent = 0;
    /// When an observation showed that; 0 before.
    std::int64_t progressSeenMs = 0;
    /// Observations sent after its start that did not show it.
    int missedObservations = 0;

    Schema::Reason stopReason = Schema::Reason::None;
    std::int64_t stopRequestedMs = 0;
    int stopTries = 0;
    std::int64_t nextStopMs = 0;
    /// When the backend server had taken the stop in; 0 before.
    std::int64_t stopAcceptedMs = 0;
};

/// Call the backend server; each comes back through the function of its name.
struct CallStart
{
    RunId run = 0;
    Transient::RunStart start;
    /// Given up without an answer by then.
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

/// Every gateway has to be told anew what this agent is.
struct Announce
{};

using Effect = std::variant<CallStart, CallStop, CallObserve, ReportAttempt, Announce,
                            Transient::CountReason, Transient::LogLine>;
using Effects = std::vector<Effect>;
using Common::append;

/// One observation that was asked for.
struct PendingObservation
{
    std::int64_t sentMs = 0;
    std::int64_t waitMs = 0;
    /// That it acknowledges.
    std::int64_t lastEnd = 0;
    bool isOverdue = false;
    /// It asks for a lease for all that runs.
    bool isRenewal = false;
    std::int64_t fence = 0;
};

struct RunnerTimes
{
    /// That each renewal grants.
    std::int64_t leaseMs = Transient::LeaseMs;
    /// That the backend server grants at most, whatever it is asked for.
    std::int64_t longestLeaseMs = 1000;
    /// How long an observation waits for an end: a third of the lease, since it renews as well.
    std::int64_t observeWaitMs = 200;
    /// An observation that has not come back so long after its wait is followed by another one on
    /// another connection: answers that were lost would otherwise hide every end meanwhile.
    std::int64_t observeGraceMs = 40;
    /// Between the first stops of a run, without a wait for their answers: where every second one
    /// goes unanswered, one of them is taken long before a caller submits again.
    std::int64_t stopRetryMs = 40;
    int quickStops = 6;
    /// Between later ones: a backend server that hangs must not have all connections taken.
    std::int64_t laterStopRetryMs = 120;
    /// What has to end and has no confirmed stop by then is renewed no more, and nothing else there
    /// is: it would go on until its caller has submitted it again.
    std::int64_t stopOverdueMs = 150;
    /// A start without an answer has taken effect by then or never does: orders have been carried
    /// out up to 12 s late; slack.
    std::int64_t lateStartMs = 13'500;
    /// How long a gateway's grant lasts.
    std::int64_t grantMs = Transient::GrantMs;
    /// From then on a gateway's jobs are told to the others.
    std::int64_t suspectMs = Transient::suspectTimeMs(Transient::LeaseMs);
};

struct UsedNumber
{
    std::int64_t number = 0;
    std::int64_t usedMs = 0;
};

struct Stray
{
    std::int64_t firstSeenMs = 0;
    std::int64_t nextStopMs = 0;
};

struct RecentEnd
{
    Schema::AttemptState state;
    std::int64_t endedMs = 0;
};

/// Baselines: each of these can be switched off.
struct RunnerDecisions
{
    /// By priority and latest start; otherwise in the order of arrival.
    bool ordersByUrgency = true;
    bool movesFromSlow = true;
    bool learnsStartTimeout = true;
};

struct RunnerState
{
    RunnerDecisions decisions;
    StartTimeout startTimeout;
    std::string name;
    std::string instance;
    std::string failureDomain;
    std::string service;
    RunnerTimes times;

    /// What the backend server said of itself last.
    std::optional<Transient::BackendAnnouncement> backend;
    /// Lives that others have followed, by id and start: their announcements may arrive late.
    std::set<std::pair<std::string, std::int64_t>> previousIncarnations;
    /// Its clock minus ours, as the last answer showed.
    std::optional<std::int64_t> clockOffsetMs;
    std::int64_t fence = 0;
    /// What ran when this process started is over.
    bool isClean = false;
    bool isStopping = false;
    /// The backend server answers.
    bool isBackendResponsive = true;
    /// When the first observation was sent that has not been answered since; 0 while none failed.
    /// An agent without runs asks nothing: the time since the last answer says nothing of silence.
    std::int64_t silentSinceMs = 0;
    /// When the last call was sent that may have granted a lease, of those that have come back.
    std::int64_t leaseGrantSentMs = 0;

    RunId lastRun = 0;
    std::map<RunId, Run> runs;
    /// Runs in the order they should start.
    std::vector<RunId> queue;
    /// The lowest that any order had: its tasks go before all others.
    std::int64_t urgentPriority = std::numeric_limits<std::int64_t>::max();
    /// Highest run number used of each task: a task may come back, also through another gateway.
    std::unordered_map<std::string, UsedNumber> usedNumbers;

    std::uint64_t lastObservation = 0;
    std::map<std::uint64_t, PendingObservation> pendingObservations;
    std::int64_t lastEnd = 0;
    std::int64_t acknowledgedEnd = 0;
    /// Observations are made more often for a while after one was lost.
    std::int64_t lossyUntilMs = 0;
    std::int64_t nextObserveMs = 0;
    /// By task and number: runs that the backend server shows and nobody here wants.
    std::map<std::pair<std::string, std::int64_t>, Stray> strays;
    std::int64_t prunedNumbersMs = 0;
    /// Logarithm of the time that runs take here over the expected one, as progress showed it last.
    double logSlowdown = 0;
    std::int64_t slowdownUpdatedMs = 0;

    /// By the gateway's instance: until when this agent may act for it. A gateway repeats the time
    /// at which the agent wrote what it heard last; from that time on the grant counts. So an agent
    /// that was frozen, and finds old orders in its sockets, starts none of them.
    std::map<std::string, std::int64_t> grants;
    /// Jobs that other gateways must not start.
    Schema::OrphanedJobs orphans;
    /// Rises with each change of them.
    std::uint64_t orphansChange = 0;
    /// The last change that the gateways have to hear of at once.
    std::uint64_t urgentOrphansChange = 0;
    /// By the gateway's instance: sequence of the last order that came.
    std::map<std::string, std::int64_t> lastOrders;
    /// By the gateway's instance: ends that it was told of lately. They are told again on a new
    /// link, since the frame may have been lost with the old one.
    std::map<std::string, std::deque<RecentEnd>> recentEnds;
};

} // namespace Runner
