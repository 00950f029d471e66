#include "SiteWorld.h"

#include <algorithm>

#include "SiteJobs.h"

namespace SiteTest {

namespace {

constexpr std::int64_t StepMs = 5;
constexpr std::int64_t HelloIntervalMs = 100;
constexpr int AppendTimeoutMs = 200;

bool chance(World &world, int percent)
{
    return static_cast<int>(world.random() % 100) < percent;
}

Gateway *findLiveGateway(World &world, const std::string &instance)
{
    for (const auto &gateway : world.gateways) {
        if (gateway->member.instance == instance && gateway->alive) {
            return gateway.get();
        }
    }
    return nullptr;
}

/// Runs \a work now, or on resume if the gateway is paused. Drops it if the gateway is not alive.
void deliver(Gateway &gateway, std::function<void()> work)
{
    if (!gateway.alive) {
        return;
    }
    if (gateway.paused) {
        gateway.inbox.push_back(std::move(work));
        return;
    }
    work();
}

void perform(World &world, Gateway &gateway, const Dispatch::Effects &effects);

void write(World &world, Dispatch::LogStream stream, const std::vector<Schema::LogRecord> &records)
{
    auto &target = world.streams[static_cast<std::size_t>(stream)];
    target.insert(target.end(), records.begin(), records.end());
    ++world.logAppends;
}

void answerAppend(World &world, Gateway &gateway, const Dispatch::AppendToLog &append,
                  Dispatch::AppendStatus status, std::int64_t afterMs)
{
    scheduleEvent(world, afterMs, [&world, &gateway, append, status] {
        deliver(gateway, [&world, &gateway, append, status] {
            perform(world, gateway,
                    Dispatch::handleSiteAppendResult(gateway.site, append.stream, append.batch,
                                                     status, moment(world)));
        });
    });
}

void handleAppend(World &world, Gateway &gateway, const Dispatch::AppendToLog &append)
{
    if (!world.faults.available || gateway.cutFromLog) {
        answerAppend(world, gateway, append, Dispatch::AppendStatus::Unavailable, AppendTimeoutMs);
        return;
    }
    if (!chance(world, world.faults.lostAnswerPercent)) {
        write(world, append.stream, append.records);
        answerAppend(world, gateway, append, Dispatch::AppendStatus::Durable, delay(world));
        return;
    }
    if (chance(world, world.faults.lostButWrittenPercent)) {
        scheduleEvent(world, static_cast<std::int64_t>(world.random()) % world.faults.maxLateMs,
                      [&world, append] { write(world, append.stream, append.records); });
    }
    answerAppend(world, gateway, append, Dispatch::AppendStatus::Unknown, AppendTimeoutMs);
}

void appendTo(World &world, Gateway &gateway, const Dispatch::AppendToLog &append)
{
    scheduleEvent(world, delay(world),
                  [&world, &gateway, append] { handleAppend(world, gateway, append); });
}

void perform(World &world, Gateway &gateway, const Dispatch::Effects &effects)
{
    for (const Dispatch::Effect &effect : effects) {
        if (const auto *frame = std::get_if<Dispatch::SendToGateway>(&effect)) {
            const Schema::PeerPing ping = *frame->frame.peerPing;
            send(world, gateway.member.instance, frame->instance, [&world, ping](Gateway &to) {
                perform(world, to, Dispatch::handlePing(to.site, ping, moment(world)));
            });
        } else if (const auto *append = std::get_if<Dispatch::AppendToLog>(&effect)) {
            appendTo(world, gateway, *append);
        }
    }
}

Dispatch::LogRead makeLogRead(World &world, std::size_t stream, std::int64_t offset)
{
    Dispatch::LogRead read;
    read.oldestOffset = world.oldest[stream];
    const auto &records = world.streams[stream];
    const auto end = static_cast<std::int64_t>(records.size());
    for (std::int64_t next = std::max(offset, read.oldestOffset); next < end; ++next) {
        Schema::LogEntry entry;
        entry.offset = next;
        entry.record = records[static_cast<std::size_t>(next)];
        read.entries.push_back(std::move(entry));
    }
    read.nextOffset = end;
    read.atEnd = true;
    return read;
}

void readLog(World &world, Gateway &gateway, std::size_t stream)
{
    const bool isBlocked = gateway.journalReadsBlocked
                           && stream == static_cast<std::size_t>(Dispatch::LogStream::Journal);
    if (gateway.reading[stream] || !world.faults.available || gateway.cutFromLog || isBlocked) {
        return;
    }
    gateway.reading[stream] = true;
    Dispatch::LogRead read = makeLogRead(world, stream, gateway.readOffsets[stream]);
    scheduleEvent(world, delay(world), [&world, &gateway, stream, read = std::move(read)] {
        deliver(gateway, [&world, &gateway, stream, read] {
            gateway.reading[stream] = false;
            gateway.readOffsets[stream] = read.nextOffset;
            perform(world, gateway,
                    Dispatch::handleSiteLogRead(gateway.site,
                                                static_cast<Dispatch::LogStream>(stream), read,
                                                moment(world)));
        });
    });
}

void checkEpochs(World &world, const Gateway &gateway)
{
    for (std::int64_t shard = 0; shard < world.settings.shardCount; ++shard) {
        if (Dispatch::shardPhase(gateway.site.ownership, shard) != Dispatch::ShardPhase::Serving) {
            continue;
        }
        const std::int64_t epoch = Dispatch::epochOf(gateway.site.ownership, shard);
        for (const auto &other : world.gateways) {
            const bool twice = other->alive && other.get() != &gateway
                               && Dispatch::shardPhase(other->site.ownership, shard)
                                          == Dispatch::ShardPhase::Serving
                               && Dispatch::epochOf(other->site.ownership, shard) == epoch;
            if (twice) {
                world.oracle.violation = "two gateways serve one shard under one epoch";
            }
        }
    }
}

void stepGateway(World &world, Gateway &gateway)
{
    for (std::size_t stream = 0; stream < gateway.reading.size(); ++stream) {
        readLog(world, gateway, stream);
    }
    perform(world, gateway, Dispatch::siteTick(gateway.site, moment(world), world.random));
    // Agents' reports are not modelled, as if every agent were silent: shards are served from what
    // the journal holds.
    for (const std::int64_t shard :
         Dispatch::shardsIn(gateway.site.ownership, Dispatch::ShardPhase::NeedsReports)) {
        Dispatch::serveShard(gateway.site, shard, moment(world));
    }
    startWaitingJobs(world, gateway);
    repeatHandovers(world, gateway);
    checkEpochs(world, gateway);
}

void answerHello(World &world, Gateway &gateway, AgentModel &agent, std::int64_t version,
                 std::int64_t sentMs)
{
    const Dispatch::OwnershipState &ownership = gateway.site.ownership;
    Schema::GatewayPong pong;
    pong.instance = gateway.member.instance;
    pong.tableVersion = Dispatch::ownershipVersion(ownership);
    if (version < pong.tableVersion) {
        pong.table = Dispatch::ownershipTable(ownership);
    }
    scheduleEvent(world, delay(world), [&world, &agent, pong, sentMs] {
        if (!reaches(world, pong.instance, agent.name)) {
            return;
        }
        if (pong.table) {
            Agent::mergeTable(agent.fence, *pong.table);
        }
        Agent::recordHelloAnswer(agent.fence, pong, sentMs);
    });
}

void stepAgent(World &world, AgentModel &agent)
{
    if (world.nowMs - agent.lastHelloMs < HelloIntervalMs) {
        return;
    }
    agent.lastHelloMs = world.nowMs;
    for (const auto &gateway : world.gateways) {
        const std::int64_t version = agent.fence.tableVersion;
        const std::int64_t sentMs = world.nowMs;
        send(world, agent.name, gateway->member.instance,
             [&world, &agent, version, sentMs](Gateway &to) {
                 answerHello(world, to, agent, version, sentMs);
             });
    }
}

void runEvents(World &world)
{
    while (!world.events.empty() && world.events.begin()->first <= world.nowMs) {
        const auto event = std::move(world.events.begin()->second);
        world.events.erase(world.events.begin());
        event();
    }
}

} // namespace

std::int64_t delay(World &world)
{
    return 1 + static_cast<std::int64_t>(world.random() % 20);
}

bool reaches(const World &world, const std::string &left, const std::string &right)
{
    return world.cuts.count(std::minmax(left, right)) == 0;
}

void scheduleEvent(World &world, std::int64_t ms, std::function<void()> event)
{
    world.events.emplace(world.nowMs + ms, std::move(event));
}

void send(World &world, const std::string &from, const std::string &instance,
          std::function<void(Gateway &)> work)
{
    scheduleEvent(world, delay(world), [&world, from, instance, work = std::move(work)] {
        Gateway *gateway = findLiveGateway(world, instance);
        const bool lost = world.lostOneWay.count({from, instance}) != 0;
        if (gateway != nullptr && !lost && reaches(world, from, instance)) {
            deliver(*gateway, [gateway, work] { work(*gateway); });
        }
    });
}

World makeWorld(std::uint64_t seed, int agents, const Dispatch::Safeguards &safeguards)
{
    World world;
    world.random.seed(seed);
    world.safeguards = safeguards;
    world.settings.shardCount = 6;
    world.settings.heartbeatMs = 100;
    world.settings.peerSilenceMs = 500;
    world.settings.leaseMs = 400;
    world.settings.unloggedAfterMs = 400;
    world.settings.dedupWindowMs = 600000;
    world.settings.journalBatchMs = 5;
    for (int agent = 0; agent < agents; ++agent) {
        world.agents.emplace_back();
        world.agents.back().name = "agent-" + std::to_string(agent);
        world.agents.back().fence.leaseMs = world.settings.leaseMs;
    }
    return world;
}

std::size_t addGateway(World &world, int port)
{
    auto gateway = std::make_unique<Gateway>();
    const std::size_t index = world.gateways.size();
    gateway->member.instance = "gateway-" + std::to_string(index);
    gateway->member.host = "10.0.0.1";
    gateway->member.peerPort = port == 0 ? world.nextPort++ : port;
    gateway->site =
            Dispatch::makeSite(world.settings, gateway->member, moment(world), world.safeguards);
    world.gateways.push_back(std::move(gateway));
    return index;
}

void kill(World &world, std::size_t gateway)
{
    world.gateways[gateway]->alive = false;
}

void pause(World &world, std::size_t gateway)
{
    world.gateways[gateway]->paused = true;
}

void resume(World &world, std::size_t gateway)
{
    world.gateways[gateway]->paused = false;
    for (const auto &work : std::exchange(world.gateways[gateway]->inbox, {})) {
        work();
    }
}

void cut(World &world, const std::string &left, const std::string &right, bool on)
{
    const auto pair = std::minmax(left, right);
    if (on) {
        world.cuts.insert(pair);
    } else {
        world.cuts.erase(pair);
    }
}

void run(World &world, std::int64_t ms)
{
    const std::int64_t end = world.nowMs + ms;
    while (world.nowMs < end && world.oracle.violation.empty()) {
        world.nowMs += StepMs;
        runEvents(world);
        for (const auto &gateway : world.gateways) {
            if (gateway->alive && !gateway->paused) {
                stepGateway(world, *gateway);
            }
        }
        for (AgentModel &agent : world.agents) {
            stepAgent(world, agent);
        }
    }
}

Common::Moment moment(const World &world)
{
    Common::Moment now;
    now.steadyMs = world.nowMs;
    now.wallMs = WallOffsetMs + world.nowMs;
    return now;
}

Gateway *servingGateway(World &world, std::int64_t shard)
{
    Gateway *serving = nullptr;
    for (const auto &gateway : world.gateways) {
        if (gateway->alive
            && Dispatch::shardPhase(gateway->site.ownership, shard)
                       == Dispatch::ShardPhase::Serving) {
            if (serving != nullptr) {
                return nullptr;
            }
            serving = gateway.get();
        }
    }
    return serving;
}

std::int64_t servedShards(World &world)
{
    std::int64_t served = 0;
    for (std::int64_t shard = 0; shard < world.settings.shardCount; ++shard) {
        served += servingGateway(world, shard) == nullptr ? 0 : 1;
    }
    return served;
}

std::string newJob(World &world)
{
    return "job-" + std::to_string(world.nextJob++);
}

} // namespace SiteTest
