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

/// A model of a site in virtual time: SiteStates of several gateways, fences of agents, an
/// in-memory log and a network between them. Each job has one task; the oracle counts starts at the
/// agents.
namespace SiteTest {

struct LogFaults
{
    bool available = true;
    /// Percentage of appends whose answer is lost, and of those the percentage that is still
    /// written, up to maxLateMs late.
    int lostAnswerPercent = 0;
    int lostButWrittenPercent = 50;
    std::int64_t maxLateMs = 400;
};

/// State of a job at its owner, which starts Waiting jobs only. Known: an earlier owner may have
/// started it according to the journal or a handover. Unknown: an earlier owner may have started it
/// without a durable intent.
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
    /// Reads of the journal are held back.
    bool journalReadsBlocked = false;
    std::vector<std::function<void()>> inbox;
    std::map<std::string, JobState> jobs;
    /// Epoch in which each job was accepted.
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

struct Oracle
{
    /// Describes the last violation found; empty if there is none.
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
    /// Pairs of gateways or agents that cannot reach each other.
    std::set<std::pair<std::string, std::string>> cuts;
    /// Pairs of sender and receiver: messages in this direction are lost.
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
/// Adds a gateway at \a port, or at a new port if it is 0. Returns its index.
std::size_t addGateway(World &world, int port = 0);
void kill(World &world, std::size_t gateway);
void pause(World &world, std::size_t gateway);
void resume(World &world, std::size_t gateway);
void cut(World &world, const std::string &left, const std::string &right, bool on);
/// Runs the world for \a ms in steps of 5 ms, or until the first violation.
void run(World &world, std::int64_t ms);
Common::Moment moment(const World &world);
bool reaches(const World &world, const std::string &left, const std::string &right);
std::int64_t delay(World &world);
void scheduleEvent(World &world, std::int64_t ms, std::function<void()> event);
/// Runs \a work at the gateway \a instance when the message arrives. A message is dropped when it
/// is lost or the gateway is not alive.
void send(World &world, const std::string &from, const std::string &instance,
          std::function<void(Gateway &)> work);
Gateway *servingGateway(World &world, std::int64_t shard);
/// Number of shards that exactly one live gateway serves.
std::int64_t servedShards(World &world);
std::string newJob(World &world);

} // namespace SiteTest
