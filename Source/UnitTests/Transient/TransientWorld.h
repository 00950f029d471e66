#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Common/Common.h"
#include "ModelBackend.h"
#include "Runner/Runner.h"
#include "Transient/Transient.h"

/// A site of gateways, agents and backend servers in virtual time, with callers that submit again
/// when their connection breaks, and an oracle that knows only what callers and backend servers
/// see.
namespace TransientSite {

using Transient::ResubmitMs;

struct Caller
{
    std::string job;
    /// Of each of its tasks.
    ModelWork work;
    int tasks = 1;
    std::int64_t remainingTimeoutMs = 2000;
    std::int64_t submittedMs = 0;
    /// Where it waits for an answer; -1 while it does not.
    int gateway = -1;
    std::string token;
    bool isAnswered = false;
    bool isRefusedFinally = false;
    int attempts = 0;
    Transient::JobResult result;
    std::int64_t answeredMs = 0;
};

/// What an agent and a gateway have of a link. A link of another number is another connection.
struct SiteLink
{
    std::uint64_t number = 0;
    bool agentUp = false;
    bool gatewayUp = false;
    bool announced = false;
    /// Frames are swallowed without a word.
    bool isSilent = false;
    std::int64_t agentLastReceivedMs = 0;
    std::int64_t gatewayLastReceivedMs = 0;
    std::int64_t agentSentMs = 0;
    std::int64_t gatewaySentMs = 0;
    std::int64_t nextDialMs = 0;
    std::uint64_t reportedOrphansChange = 0;
    /// Instance of the gateway, as the agent learned it.
    std::string gatewayInstance;
    std::vector<Schema::AttemptState> unsent;
};

struct SiteGateway
{
    std::string instance;
    bool isUp = true;
    std::int64_t frozenUntilMs = 0;
    /// To the other gateways.
    std::int64_t sentMs = 0;
    Transient::GatewayState state;
    std::vector<std::function<void()>> heldEvents;
};

struct SiteAgent
{
    bool isUp = true;
    std::int64_t frozenUntilMs = 0;
    Runner::RunnerState state;
    std::map<std::string, std::int64_t> disconnectedGateways;
    std::vector<std::function<void()>> heldEvents;
};

/// Safeguards that a test switches off, to show that each is needed.
struct Safeguards
{
    /// Agents act only on what a gateway has granted lately.
    bool grants = true;
    /// A lost agent's tasks wait until nothing can run there any more.
    bool settling = true;
    /// A new process of an agent tells when it has seen that nothing is left of the former one.
    bool cleanStart = true;
    /// A new process of an agent has a higher fence than the former one.
    bool fence = true;
    /// Agents tell all gateways which jobs they hold for one that they do not hear.
    bool orphans = true;
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
    std::set<std::pair<int, int>> partitions;
    std::multimap<std::int64_t, std::function<void()>> events;
    std::vector<Caller> callers;
    std::uint64_t lastNumber = 0;
    /// Share of the calls to backend servers that get no answer; half of these are carried out 2 to
    /// 12 s later, the others at once.
    double unansweredShare = 0;
    /// Time that a late order grants counts from its arrival.
    bool lateLeasesCountFromArrival = false;
    /// The connection ends within 3 ms where an answer is lost; otherwise the caller waits for its
    /// timeout.
    bool answersAreLostAtOnce = false;
    /// A late order to a former life is carried out by the one that has its place.
    bool lateOrdersReachNextIncarnation = false;
    /// By how much the time of day of agents was set. Their fences start from it.
    std::int64_t wallClockStepMs = 0;
    Safeguards safeguards;

    /// Where all that happens is written down; null where it is not.
    std::ostream *trace = nullptr;

    /// Promises found broken, in the order they broke.
    std::vector<std::string> violations;
    std::set<std::string> finallyRefused;
    int starts = 0;
};

std::unique_ptr<World> makeWorld(std::uint64_t seed, int gateways, int agents,
                                 const Safeguards &safeguards = {});
void runFor(World &world, std::int64_t ms);

/// Returns the caller's number.
std::size_t submit(World &world, int gateway, const ModelWork &work, int tasks,
                   std::int64_t remainingTimeoutMs = 2000);
/// The caller closes its connection and does not come back.
void leave(World &world, std::size_t caller);

void killGateway(World &world, int gateway, bool closesConnections);
void startGateway(World &world, int gateway);
void freezeGateway(World &world, int gateway, std::int64_t forMs);
void killAgent(World &world, int agent, bool closesConnections);
void startAgent(World &world, int agent);
void freezeAgent(World &world, int agent, std::int64_t forMs);
void crashBackend(World &world, int backend);
void restartBackend(World &world, int backend);
/// Crashes, and another life has its place at once.
void replaceBackend(World &world, int backend);
/// A message that the former life had sent arrives.
void announcePreviousIncarnation(World &world, int backend);
/// Says that it will leave, and works on.
void backendLeaves(World &world, int backend);
/// Says that it has left; what runs there runs on for \a afterMs.
void backendEnds(World &world, int backend, std::int64_t afterMs);
/// The connection breaks, and both ends see it.
void resetLink(World &world, int gateway, int agent);
/// The connection swallows what is sent on it.
void silenceLink(World &world, int gateway, int agent);

} // namespace TransientSite
