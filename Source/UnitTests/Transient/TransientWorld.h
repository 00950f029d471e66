#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "ModelBackend.h"
#include "Runner/Release.h"
#include "Runner/Reports.h"
#include "Runner/Runner.h"
#include "Transient/Transient.h"

/// A site of gateways, agents and backend servers in virtual time. Callers submit again when their
/// connection breaks. Invariants are checked only on what callers and backend servers observe.
namespace TransientSite {

using Transient::ResubmitMs;

struct Caller
{
    std::string job;
    /// What each task of the job does.
    ModelWork work;
    int tasks = 1;
    std::int64_t remainingTimeoutMs = 2000;
    std::int64_t submittedMs = 0;
    /// Index of the gateway that it waits for; -1 while it does not wait.
    int gateway = -1;
    std::string token;
    bool isAnswered = false;
    bool isRefusedFinally = false;
    int attempts = 0;
    Transient::JobResult result;
    std::int64_t answeredMs = 0;
};

/// State of the link between an agent and a gateway at both ends. Each connection has its own
/// number.
struct SiteLink
{
    std::uint64_t number = 0;
    bool agentUp = false;
    bool gatewayUp = false;
    bool announced = false;
    /// Frames are lost, and neither end learns that the other has closed.
    bool isSilent = false;
    std::int64_t agentLastReceivedMs = 0;
    std::int64_t gatewayLastReceivedMs = 0;
    /// When the last message that was sent to this end arrives.
    std::int64_t agentArrivalMs = 0;
    std::int64_t gatewayArrivalMs = 0;
    Transient::ToldPeer told;
    /// Instance of the gateway, from its first announcement; empty before.
    std::string gatewayInstance;
    Runner::GatewayReports reports;
};

/// End of a connection between two gateways.
struct SitePeer
{
    std::uint64_t number = 0;
    bool isDialled = false;
    std::int64_t lastReceivedMs = 0;
    Transient::ToldPeer told;
    Transient::ToldOrphans toldOrphans;
};

/// Frames that a process has sent and received.
struct SiteTraffic
{
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
};

struct SiteGateway
{
    std::string instance;
    bool isUp = true;
    std::int64_t frozenUntilMs = 0;
    /// How long agents' frames wait in its process before they are handled.
    std::int64_t handlingDelayMs = 0;
    Schema::Member self;
    Transient::Discovery discovery;
    /// By the index of the other gateway.
    std::map<int, SitePeer> peers;
    /// Agents with a connection of which one end at least is open.
    std::set<int> openAgents;
    SiteTraffic traffic;
    /// When all that has been sent to it, and by it, has passed the link of its machine.
    double inboundFreeMs = 0;
    double outboundFreeMs = 0;
    Transient::GatewayState state;
    std::vector<std::function<void()>> heldEvents;
    /// Version of the operators' records that it has read; nothing before the first read.
    std::optional<std::int64_t> operatorsVersion;
};

struct SiteAgent
{
    bool isUp = true;
    std::int64_t frozenUntilMs = 0;
    /// When its machine was last suspended, and for how long its steady clock stood still then.
    std::int64_t suspendedAtMs = 0;
    std::int64_t uncountedMs = 0;
    Runner::RunnerState state;
    Transient::Discovery discovery;
    /// Gateways with a connection whose end at the agent is open.
    std::set<int> openGateways;
    SiteTraffic traffic;
    std::map<std::string, std::int64_t> disconnectedGateways;
    std::vector<std::function<void()>> heldEvents;
    Transient::OperatorsReading operatorsReading;
    /// For its reads of the store.
    Common::Random random;
};

/// Safeguards that a test can switch off to show that each is needed.
struct Safeguards
{
    /// Agents act for a gateway only while its grant has not lapsed.
    bool grants = true;
    /// The tasks of a lost agent are not started elsewhere while they may still run there.
    bool settling = true;
    /// A new process of an agent announces itself as clean only after it has observed that no run
    /// of the previous process is left.
    bool cleanStart = true;
    /// A new process of an agent has a higher fence than the previous one.
    bool fence = true;
    /// Agents report to other gateways the jobs that they hold for a gateway that is silent.
    bool orphans = true;
    /// Gateways pass on to each other which jobs agents have reported so.
    bool relays = true;
    /// Agents start nothing while their failure domain is evacuated.
    bool agentsRefuse = true;
    /// Agents read the operators' records themselves if their gateways' news is old.
    bool agentsReadStore = true;
    /// A gateway serves nobody before it knows the operators' records.
    bool knowsBeforeServing = true;
    /// A gateway refuses a submission if its caller's connection has ended.
    bool refusesLeftCallers = true;
    /// The steady clock counts the time for which a machine is suspended.
    bool countsSuspensions = true;
};

/// The operators' record of an evacuation.
struct OperatorRecord
{
    std::int64_t version = 0;
    bool inForce = false;
    std::int64_t acknowledgedMs = 0;
};

/// The operators' records in the platform's store, and who can't read them.
struct OperatorStore
{
    /// By failure domain.
    std::map<std::string, OperatorRecord> evacuations;
    std::int64_t version = 0;
    /// Ends before this version are no longer available.
    std::int64_t historyFrom = 0;
    std::int64_t downUntilMs = 0;
    std::set<int> gatewaysCutOff;
};

/// How many of the others each process is connected to.
struct Neighbourhood
{
    std::size_t gatewaysOfAgent = 8;
    std::size_t gatewaysOfGateway = 4;
    /// Processes are spread over this many failure domains in turn.
    int failureDomains = 1;
    /// Backend servers count as shared if gateways know at least this many, with themselves.
    std::size_t sharedFromGateways = Transient::SharedFleet{}.fromGateways;
};

struct World
{
    std::int64_t nowMs = 1'000'000;
    Common::Random random;
    Schema::JobQueue queue;
    std::vector<SiteGateway> gateways;
    std::vector<SiteAgent> agents;
    std::vector<ModelBackend> backends;
    /// By gateway, then agent.
    std::vector<std::vector<SiteLink>> links;
    /// Gateways and agents that cannot reach each other.
    std::set<std::pair<int, int>> partitions;
    /// Pairs of gateways that cannot reach each other, in both orders.
    std::set<std::pair<int, int>> gatewayPartitions;
    Neighbourhood neighbourhood;
    /// The first gateways, so many, are weak and use all of their processor time; the others use
    /// none. If there is none, the processors of all gateways are unknown and none forwards.
    int busyGateways = 0;
    OperatorStore store;
    /// Counts the bytes of frames, too, which takes time.
    bool countsBytes = false;
    std::multimap<std::int64_t, std::function<void()>> events;
    std::vector<Caller> callers;
    std::uint64_t lastNumber = 0;
    /// Share of the calls to backend servers that get no answer; half of these are carried out 2 to
    /// 12 s later, the others at once.
    double unansweredShare = 0;
    /// A lease that a late order grants counts from its arrival.
    bool lateLeasesCountFromArrival = false;
    /// The connection closes within 3 ms where an answer is lost; otherwise the agent waits for its
    /// timeout.
    bool answersAreLostAtOnce = false;
    /// A late order to a previous incarnation is executed by the present one.
    bool lateOrdersReachNextIncarnation = false;
    /// Longest additional delay of a frame between a gateway and an agent. Frames on a connection
    /// arrive in their order.
    std::int64_t maxFrameDelayMs = 0;
    /// What the link of each gateway's machine carries in each direction; 0 for no limit. Agents
    /// have no limit.
    double linkBytesPerMs = 0;
    /// By how much the time of day of the agents' machines was changed. The fence of a new agent
    /// process is taken from that time.
    std::int64_t wallClockStepMs = 0;
    /// By how much the time of day is ahead with which the next incarnations of backend servers
    /// start.
    std::int64_t backendClockStepMs = 0;
    Safeguards safeguards;

    /// All events are written to it, unless it is null.
    std::ostream *trace = nullptr;

    /// Violated invariants, in the order in which they were found.
    std::vector<std::string> violations;
    std::set<std::string> finallyRefused;
    /// Jobs of which a task has started at a backend server.
    std::set<std::string> begunJobs;
    int starts = 0;
    /// Jobs that gateways have forwarded, and results that have come back.
    int forwarded = 0;
    int forwardedResults = 0;
    /// How often an agent took a gateway for lost.
    int lostGateways = 0;
};

std::unique_ptr<World> makeWorld(std::uint64_t seed, int gateways, int agents,
                                 const Safeguards &safeguards = {},
                                 const Neighbourhood &neighbourhood = {});
void runFor(World &world, std::int64_t ms);

/// Submits a job of a new caller. Returns the index of the caller.
std::size_t submit(World &world, int gateway, const ModelWork &work, int tasks,
                   std::int64_t remainingTimeoutMs = 2000);
/// The same, but the submission is held up on its way and arrives after \a heldUpMs, with the end
/// of its caller's connection right behind it. The caller's connection breaks after \a
/// brokenAfterMs, and it submits again elsewhere.
std::size_t submitHeldUp(World &world, int gateway, const ModelWork &work, int tasks,
                         std::int64_t remainingTimeoutMs, std::int64_t heldUpMs,
                         std::int64_t brokenAfterMs);
/// The caller closes its connection and does not submit again.
void leave(World &world, std::size_t caller);

/// Without \a closesConnections it loses power: its agents see no connection close. Callers that
/// wait for it submit again in both cases.
void killGateway(World &world, int gateway, bool closesConnections);
void startGateway(World &world, int gateway);
/// From now on the first \a gateways are short of processor time; see World::busyGateways.
void makeBusy(World &world, int gateways);
void freezeGateway(World &world, int gateway, std::int64_t forMs);
/// Without \a closesConnections it loses power: the gateways see no connection close.
void killAgent(World &world, int agent, bool closesConnections);
void startAgent(World &world, int agent);
void freezeAgent(World &world, int agent, std::int64_t forMs);
/// Freezes the agent because its machine is suspended.
void suspendAgent(World &world, int agent, std::int64_t forMs);
void crashBackend(World &world, int backend);
void restartBackend(World &world, int backend);
/// Crashes the backend server and starts its next incarnation at once.
void replaceBackend(World &world, int backend);
/// Delivers an announcement that the previous incarnation sent.
void announcePreviousIncarnation(World &world, int backend);
/// The backend server announces that it is leaving, and its runs continue.
void backendLeaves(World &world, int backend);
/// The backend server announces that it has left. Its runs continue for \a afterMs.
void backendEnds(World &world, int backend, std::int64_t afterMs);
/// The agent closes the connection. The gateway is notified after 2 ms, unless the link is silent
/// or partitioned.
void resetLink(World &world, int gateway, int agent);
/// Cuts a failure domain off from all others, until healDomains().
void cutOffDomain(World &world, int domain);
void healDomains(World &world);
/// The operator evacuates a failure domain or takes it back; without effect while the store is
/// down.
void evacuateDomain(World &world, int domain);
void takeBackDomain(World &world, int domain);
void stopStore(World &world, std::int64_t forMs);
/// The records of ended evacuations are no longer available.
void dropStoreHistory(World &world);
/// From now on the connection loses everything that is sent on it.
void silenceLink(World &world, int gateway, int agent);

} // namespace TransientSite
