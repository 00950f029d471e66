#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Agent/Fence.h"
#include "Dispatch/Site.h"

/// Several gateways' SiteStates, agents' fences, an in-memory log and a network between them, in
/// virtual time. Callers' jobs are one task each; the oracle counts starts at the agents.
namespace SiteTest {

struct LogFaults
{
    bool available = true;
    /// Appends whose answer is lost, and of those the ones that take effect, maybe late.
    int lostAnswerPercent = 0;
    int lostButWrittenPercent = 50;
    std::int64_t maxLateMs = 400;
};

/// What the owner knows of one job.
enum class JobState { Waiting, Sent, Known, Unknown };

struct Gateway
{
    Dispatch::SiteState site;
    Schema::Member member;
    std::array<std::int64_t, 3> readOffsets{};
    std::array<bool, 3> reading{};
    bool alive = true;
    bool paused = false;
    bool cutFromLog = false;
    /// What it reads of the journal is held up.
    bool journalReadsBlocked = false;
    std::vector<std::function<void()>> inbox;
    std::map<std::string, JobState> jobs;
    /// Epoch under which each job was taken.
    std::map<std::string, std::int64_t> jobEpochs;
    std::vector<Schema::Handover> handovers;
    std::int64_t handoverSentMs = 0;
};

struct AgentModel
{
    std::string name;
    Agent::Fence fence;
    std::int64_t lastHelloMs = 0;
};

/// What broke, in words; empty for nothing.
struct Oracle
{
    std::string violation;
    /// When and under which epoch each job was started.
    std::map<std::string, std::string> starts;
    std::map<std::int64_t, std::int64_t> highestBase;
    std::map<std::int64_t, std::int64_t> epochs;
    int accepted = 0;
    int fencedStarts = 0;
    int unknownAnswers = 0;
};

struct World
{
    Schema::GatewaySettings settings;
    Dispatch::Safeguards safeguards;
    Common::Random random;
    std::int64_t nowMs = 1000;
    LogFaults faults;
    std::array<std::vector<Schema::LogRecord>, 3> streams;
    std::array<std::int64_t, 3> oldest{};
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<AgentModel> agents;
    /// Pairs of names that don't reach each other.
    std::set<std::pair<std::string, std::string>> cuts;
    /// From, to: what the first sends to the second is lost.
    std::set<std::pair<std::string, std::string>> lostOneWay;
    std::multimap<std::int64_t, std::function<void()>> events;
    Oracle oracle;
    int nextPort = 1;
    int nextJob = 0;
    /// First submission of each job.
    std::map<std::string, std::int64_t> submittedMs;
    std::int64_t logAppends = 0;
};

constexpr std::int64_t WallOffsetMs = 1700000000000;

World makeWorld(std::uint64_t seed, int agents, const Dispatch::Safeguards &safeguards = {});
/// A gateway at \a port, or at a port of its own. Returns its index.
std::size_t addGateway(World &world, int port = 0);
void kill(World &world, std::size_t gateway);
void pause(World &world, std::size_t gateway);
void resume(World &world, std::size_t gateway);
void cut(World &world, const std::string &left, const std::string &right, bool on);
/// Lets time pass in steps of 5 ms, up to \a ms or the first violation.
void run(World &world, std::int64_t ms);
Common::Moment moment(const World &world);
bool reaches(const World &world, const std::string &left, const std::string &right);
std::int64_t delay(World &world);
void scheduleEvent(World &world, std::int64_t ms, std::function<void()> event);
/// Does \a work at the gateway \a instance once the message is there, if it ever is.
void send(World &world, const std::string &from, const std::string &instance,
          std::function<void(Gateway &)> work);
Gateway *servingGateway(World &world, std::int64_t shard);
/// Shards that exactly one living gateway serves.
std::int64_t servedShards(World &world);
std::string newJob(World &world);

} // namespace SiteTest
