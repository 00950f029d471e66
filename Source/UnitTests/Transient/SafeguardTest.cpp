#include <doctest/doctest.h>
#include <functional>
#include <ostream>
#include <set>

#include "TransientWorld.h"

using namespace TransientSite;

namespace {

constexpr ModelWork Long{2500, 1, false};

void submitToAll(World &world, int jobs)
{
    for (int job = 0; job < jobs; ++job) {
        submit(world, job % 3, Long, 4, 15'000);
    }
}

/// An agent is frozen with orders in its sockets, until its tasks run elsewhere.
void freezeWithOrders(World &world, std::int64_t forMs)
{
    constexpr std::int64_t AfterwardsMs = 5500;
    freezeAgent(world, 1, forMs);
    submitToAll(world, 6);
    runFor(world, forMs + AfterwardsMs);
}

/// The machine of an agent is suspended while tasks wait there, and the gateway that ordered some
/// of them is killed: their caller submits again elsewhere.
void suspendWithWaitingTasks(World &world, std::int64_t forMs)
{
    constexpr std::int64_t AfterwardsMs = 5500;
    submitToAll(world, 12);
    runFor(world, 100);
    suspendAgent(world, 1, forMs);
    runFor(world, 50);
    killGateway(world, 0, true);
    runFor(world, forMs + AfterwardsMs);
}

/// The connections of the gateways to an agent break while the agent keeps working.
void breakLinks(World &world, std::int64_t afterMs)
{
    submitToAll(world, 6);
    runFor(world, afterMs);
    for (int gateway = 0; gateway < 3; ++gateway) {
        resetLink(world, gateway, 1);
    }
    runFor(world, 8000);
}

/// An agent is killed, and its next process starts after \a afterMs.
void replaceAgent(World &world, std::int64_t afterMs)
{
    submitToAll(world, 6);
    runFor(world, 200);
    killAgent(world, 0, true);
    runFor(world, afterMs);
    startAgent(world, 0);
    runFor(world, 5000);
}

/// The same, while orders are executed seconds late.
void replaceAgentWithLateOrders(World &world, std::int64_t afterMs)
{
    world.lateLeasesCountFromArrival = true;
    for (int round = 0; round < 6; ++round) {
        world.unansweredShare = 0.5;
        submitToAll(world, 6);
        runFor(world, 60);
        killAgent(world, round % 4, true);
        runFor(world, afterMs);
        startAgent(world, round % 4);
        world.unansweredShare = 0;
        runFor(world, 3000);
    }
    runFor(world, 12'000);
}

/// A gateway orders tasks, and the agents' grants count from its last orders on.
void orderTwice(World &world, std::int64_t betweenMs)
{
    constexpr std::int64_t LastOrdersMs = 100;
    submit(world, 0, Long, 8, 8000);
    runFor(world, betweenMs);
    // Agents report the changed load: the last grant of the gateway counts from then on.
    submit(world, 0, Long, 8, 8000);
    runFor(world, LastOrdersMs);
}

/// The gateway loses power, and \a agents do just before its grants lapse.
void losePower(World &world, const std::set<int> &agents)
{
    constexpr std::int64_t BetweenMs = 690;
    constexpr std::int64_t AfterwardsMs = 4000;
    killGateway(world, 0, false);
    startGateway(world, 0);
    runFor(world, BetweenMs);
    for (const int agent : agents) {
        killAgent(world, agent, false);
    }
    runFor(world, AfterwardsMs);
}

/// A gateway loses power shortly after its last orders, and then two agents.
void losePowerInTurn(World &world, std::int64_t afterMs)
{
    orderTwice(world, afterMs);
    losePower(world, {0, 1});
}

/// The same, where only some agents are connected to the gateway, and all of them lose power.
void losePowerInNeighbourhood(World &world, std::int64_t afterMs)
{
    orderTwice(world, afterMs);
    losePower(world, std::set<int>(world.gateways[0].openAgents));
}

/// A submission arrives \a afterMs after it was sent, when its caller has submitted elsewhere.
void holdUpSubmissions(World &world, std::int64_t afterMs)
{
    constexpr std::int64_t MaxFrameDelayMs = 5;
    constexpr std::int64_t RemainingTimeoutMs = 8000;
    world.maxFrameDelayMs = MaxFrameDelayMs;
    for (int job = 0; job < 3; ++job) {
        submitHeldUp(world, job % 3, Long, 4, RemainingTimeoutMs, afterMs, 0);
    }
    runFor(world, afterMs + RemainingTimeoutMs);
}

/// Orders tasks at the gateway, \a afterMs after all of the site should know of the evacuation.
void orderAfterEvacuation(World &world, std::int64_t afterMs)
{
    constexpr std::int64_t InForceMs = 5010;
    evacuateDomain(world, 0);
    runFor(world, InForceMs + afterMs);
    submit(world, 0, Long, 8, 8000);
    runFor(world, 500);
}

/// A gateway can reach neither the store nor the other gateways.
void evacuateUnheard(World &world, std::int64_t afterMs)
{
    world.store.gatewaysCutOff.insert(0);
    for (int other = 1; other < static_cast<int>(world.gateways.size()); ++other) {
        world.gatewayPartitions.insert({0, other});
        world.gatewayPartitions.insert({other, 0});
    }
    orderAfterEvacuation(world, afterMs);
}

void cutOffAllGateways(World &world)
{
    for (int gateway = 0; gateway < static_cast<int>(world.gateways.size()); ++gateway) {
        world.store.gatewaysCutOff.insert(gateway);
    }
}

/// No gateway can reach the store.
void evacuateUnread(World &world, std::int64_t afterMs)
{
    cutOffAllGateways(world);
    orderAfterEvacuation(world, afterMs);
}

/// All processes restart long after the evacuation, and no gateway can reach the store then.
void restartEvacuated(World &world, std::int64_t afterMs)
{
    constexpr std::int64_t LongAfterMs = 6000;
    evacuateDomain(world, 0);
    runFor(world, LongAfterMs);
    cutOffAllGateways(world);
    for (int gateway = 0; gateway < static_cast<int>(world.gateways.size()); ++gateway) {
        killGateway(world, gateway, true);
    }
    for (int agent = 0; agent < static_cast<int>(world.agents.size()); ++agent) {
        killAgent(world, agent, true);
        startAgent(world, agent);
    }
    for (int gateway = 0; gateway < static_cast<int>(world.gateways.size()); ++gateway) {
        startGateway(world, gateway);
    }
    runFor(world, afterMs);
    submit(world, 0, Long, 8, 8000);
    runFor(world, 500);
}

/// The longest ones exceed the time after which an unanswered start can no longer take effect. The
/// tasks that are ordered in the sockets of a frozen agent run elsewhere by then.
const std::vector<std::int64_t> LongTimesMs{900, 2000, 3500, 13'800, 14'200, 14'600};

using Scenario = std::function<void(World &, std::int64_t)>;

/// An agent that is away for longer is treated as lost, and its runs as ended.
const std::vector<std::int64_t> ShortTimesMs{100, 300, 900, 1200, 1500};
const std::vector<std::int64_t> AllTimesMs{100, 300, 900, 1200, 1500, 1800, 2000, 2500, 3500};
/// Times of the power loss. They cover all ages that the last heartbeat of the gateway may have.
const std::vector<std::int64_t> HeartbeatTimesMs{200, 210, 220, 230, 240, 250, 260, 270, 280,
                                                 290, 300, 310, 320, 330, 340, 350, 360, 370,
                                                 380, 390, 400, 410, 420, 430, 440, 450};

/// An agent that is away for these resumes beside the runs of a job that was submitted again.
const std::vector<std::int64_t> ResubmissionTimesMs{1400, 1450, 1500, 1550, 1600, 1650, 1700, 1800,
                                                    1900, 2000, 2100, 2200, 2300, 2400, 2500, 2600};

struct SiteSize
{
    int gateways = 3;
    int agents = 4;
    Neighbourhood neighbourhood;
};

/// Agents are connected to two of six gateways.
const SiteSize FewLinks{6, 12, {2, 2, 1}};

std::size_t countViolations(const Safeguards &safeguards, const Scenario &scenario,
                            const std::vector<std::int64_t> &timesMs, const SiteSize &size = {})
{
    constexpr std::int64_t StartUpMs = 1000;
    std::size_t violations = 0;
    std::uint64_t seed = 0;
    for (const std::int64_t ms : timesMs) {
        auto world = makeWorld(++seed, size.gateways, size.agents, safeguards, size.neighbourhood);
        runFor(*world, StartUpMs);
        scenario(*world, ms);
        violations += world->violations.size();
    }
    return violations;
}

} // namespace

TEST_CASE("Each safeguard against two runs at a time is needed")
{
    struct Row
    {
        const char *what;
        Safeguards off;
        Scenario scenario;
        const std::vector<std::int64_t> &timesMs;
        SiteSize size;
    };
    Row rows[] = {{"grants", {}, freezeWithOrders, LongTimesMs, {}},
                  {"settling", {}, breakLinks, AllTimesMs, {}},
                  {"clean start", {}, replaceAgent, AllTimesMs, {}},
                  {"fence", {}, replaceAgentWithLateOrders, AllTimesMs, {}},
                  {"orphans", {}, losePowerInTurn, HeartbeatTimesMs, {}},
                  {"relays", {}, losePowerInNeighbourhood, HeartbeatTimesMs, FewLinks},
                  {"left callers are refused", {}, holdUpSubmissions, AllTimesMs, {}},
                  {"suspensions", {}, suspendWithWaitingTasks, ResubmissionTimesMs, {}}};
    rows[0].off.grants = false;
    rows[1].off.settling = false;
    rows[2].off.cleanStart = false;
    rows[3].off.fence = false;
    rows[4].off.orphans = false;
    rows[5].off.relays = false;
    rows[6].off.refusesLeftCallers = false;
    rows[7].off.countsSuspensions = false;
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        CHECK(countViolations({}, row.scenario, row.timesMs, row.size) == 0);
        CHECK(countViolations(row.off, row.scenario, row.timesMs, row.size) > 0);
    }
}

TEST_CASE("Each safeguard against starts in an evacuated failure domain is needed")
{
    struct Row
    {
        const char *what;
        Safeguards off;
        Scenario scenario;
    };
    Row rows[] = {{"agents refuse", {}, evacuateUnheard},
                  {"agents read the store", {}, evacuateUnread},
                  {"gateways know before they serve", {}, restartEvacuated}};
    rows[0].off.agentsRefuse = false;
    rows[1].off.agentsReadStore = false;
    rows[2].off.knowsBeforeServing = false;
    const SiteSize twoDomains{3, 4, {8, 4, 2}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        CHECK(countViolations({}, row.scenario, ShortTimesMs, twoDomains) == 0);
        CHECK(countViolations(row.off, row.scenario, ShortTimesMs, twoDomains) > 0);
    }
}

TEST_CASE("An agent is away for seconds while orders take effect late and with fresh leases")
{
    // The agent is killed while a start is unanswered. Its leases lapse after 1.7 s. Then the start
    // takes effect, with a lease that counts from its arrival, and no new process of the agent has
    // raised the fence yet. If the gateway gave the task to another agent by then, the task would
    // run twice at a time. Therefore it waits for the new process.
    CHECK(countViolations({}, replaceAgentWithLateOrders, AllTimesMs) == 0);
}
