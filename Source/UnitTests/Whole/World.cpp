#include "World.h"

#include <algorithm>

#include "Net/HttpClient.h"

namespace Whole {

using Dispatch::LogStream;

namespace {

constexpr std::int64_t WallStartMs = 1'700'000'000'000;
constexpr std::int64_t GatewayTickMs = 10;
constexpr std::int64_t AgentTickMs = 25;
constexpr std::int64_t PollMs = 20;
constexpr std::int64_t AppendMs = 5;
constexpr std::int64_t AppendTimeoutMs = 1'000;
constexpr std::int64_t HousekeepingMs = 250;
constexpr int FirstPort = 1'000;
constexpr int Slots = 4;

Common::Moment moment(const World &world)
{
    return {world.nowMs, wallMs(world)};
}

std::int64_t networkDelay(World &world)
{
    return 1 + static_cast<std::int64_t>(world.random() % 4);
}

/// Runs \a action in the process now, or on resume if it is paused. Drops it if the process is not
/// alive.
void deliver(Process &process, Action action)
{
    if (!process.isAlive) {
        return;
    }
    if (process.isPaused) {
        process.inbox.push_back(std::move(action));
        return;
    }
    action();
}

int gatewayIndex(const World &world, const std::string &instance)
{
    for (std::size_t index = 0; index < world.gateways.size(); ++index) {
        if (world.gateways[index]->state.self.instance == instance) {
            return static_cast<int>(index);
        }
    }
    return -1;
}

bool isPartitioned(const World &world, int one, int other)
{
    return world.partitions.count(std::minmax(one, other)) != 0;
}

void carryOut(World &world, int gateway, const Dispatch::Effects &effects);
void carryOut(World &world, int agent, const Agent::Effects &effects);

void closeLink(World &world, int index)
{
    Link &link = world.links[static_cast<std::size_t>(index)];
    if (!link.isOpen) {
        return;
    }
    link.isOpen = false;
    const bool isSilent = link.isSilent;
    AgentProcess &agent = *world.agents[static_cast<std::size_t>(link.agent)];
    const Agent::LinkNumber number = link.agentNumber;
    const int agentIndex = link.agent;
    const int gatewayIndex = link.gateway;
    if (agent.links.erase(number) != 0 && !isSilent) {
        after(world, networkDelay(world), [&world, agentIndex, number] {
            deliver(*world.agents[static_cast<std::size_t>(agentIndex)],
                    [&world, agentIndex, number] {
                        auto &process = *world.agents[static_cast<std::size_t>(agentIndex)];
                        carryOut(world, agentIndex,
                                 Agent::linkClosed(process.state, number, moment(world)));
                    });
        });
    }
    after(world, networkDelay(world), [&world, gatewayIndex, index, agentIndex] {
        GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gatewayIndex)];
        deliver(process, [&world, &process, index, agentIndex] {
            const std::string &instance =
                    world.agents[static_cast<std::size_t>(agentIndex)]->state.instance;
            const auto known = process.linkOfAgent.find(instance);
            if (known != process.linkOfAgent.end() && known->second == index) {
                process.linkOfAgent.erase(known);
                Dispatch::handleAgentDisconnected(process.state, instance, moment(world));
            }
        });
    });
}

void handleFrameAtGateway(World &world, int gateway, int linkIndex, const Schema::Frame &frame)
{
    GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gateway)];
    Link &link = world.links[static_cast<std::size_t>(linkIndex)];
    if (!link.isOpen) {
        return;
    }
    link.gatewayLastReceivedMs = world.nowMs;
    const std::string &instance =
            world.agents[static_cast<std::size_t>(link.agent)]->state.instance;
    const auto known = process.linkOfAgent.find(instance);
    if (frame.type == Schema::FrameType::AgentHello
        && (known == process.linkOfAgent.end() || known->second != linkIndex)) {
        if (known != process.linkOfAgent.end()) {
            Dispatch::handleAgentDisconnected(process.state, instance, moment(world));
        }
        process.linkOfAgent[instance] = linkIndex;
    }
    carryOut(world, gateway,
             Dispatch::handleAgentFrame(process.state, instance, frame, moment(world),
                                        process.random));
}

void sendToGateway(World &world, int linkIndex, const Schema::Frame &frame)
{
    Link &link = world.links[static_cast<std::size_t>(linkIndex)];
    if (!link.isOpen || link.isSilent) {
        return;
    }
    link.agentToGatewayFreeMs =
            std::max(link.agentToGatewayFreeMs, world.nowMs + networkDelay(world));
    after(world, link.agentToGatewayFreeMs - world.nowMs, [&world, linkIndex, frame] {
        const Link &now = world.links[static_cast<std::size_t>(linkIndex)];
        if (now.isOpen && !now.isSilent) {
            const int gateway = now.gateway;
            deliver(*world.gateways[static_cast<std::size_t>(gateway)],
                    [&world, gateway, linkIndex, frame] {
                        handleFrameAtGateway(world, gateway, linkIndex, frame);
                    });
        }
    });
}

void sendToAgent(World &world, int linkIndex, const Schema::Frame &frame)
{
    Link &link = world.links[static_cast<std::size_t>(linkIndex)];
    if (!link.isOpen || link.isSilent) {
        return;
    }
    link.gatewayToAgentFreeMs =
            std::max(link.gatewayToAgentFreeMs, world.nowMs + networkDelay(world));
    after(world, link.gatewayToAgentFreeMs - world.nowMs, [&world, linkIndex, frame] {
        const Link &now = world.links[static_cast<std::size_t>(linkIndex)];
        // Whether the link is closed is decided below: closeLink() removes it from the agent at
        // once.
        if (now.isSilent) {
            return;
        }
        const int agent = now.agent;
        const Agent::LinkNumber number = now.agentNumber;
        deliver(*world.agents[static_cast<std::size_t>(agent)], [&world, agent, number, frame] {
            AgentProcess &process = *world.agents[static_cast<std::size_t>(agent)];
            if (process.links.count(number) != 0) {
                carryOut(world, agent,
                         Agent::frameReceived(process.state, number, frame, moment(world)));
            }
        });
    });
}

void sendBetweenGateways(World &world, int from, const std::string &to, const Schema::Frame &frame)
{
    const int target = gatewayIndex(world, to);
    if (target < 0 || isPartitioned(world, from, target)) {
        return;
    }
    after(world, networkDelay(world), [&world, from, target, frame] {
        if (isPartitioned(world, from, target)) {
            return;
        }
        GatewayProcess &process = *world.gateways[static_cast<std::size_t>(target)];
        const std::string sender =
                world.gateways[static_cast<std::size_t>(from)]->state.self.instance;
        deliver(process, [&world, &process, target, sender, frame] {
            process.peerLastReceivedMs[sender] = world.nowMs;
            carryOut(world, target,
                     Dispatch::handleGatewayFrame(process.state, sender, frame, moment(world)));
        });
    });
}

void handleAppendEnd(World &world, int gateway, LogStream stream, std::uint64_t batch,
                     Dispatch::AppendStatus status)
{
    GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gateway)];
    deliver(process, [&world, &process, gateway, stream, batch, status] {
        carryOut(world, gateway,
                 Dispatch::handleAppendResult(process.state, stream, batch, status, moment(world)));
    });
}

void appendToLog(World &world, int gateway, const Dispatch::AppendToLog &append)
{
    const LogStream stream = append.stream;
    const std::uint64_t batch = append.batch;
    if (world.log.isUnavailable || world.cutFromLog.count(gateway) != 0) {
        after(world, AppendMs, [&world, gateway, stream, batch] {
            handleAppendEnd(world, gateway, stream, batch, Dispatch::AppendStatus::Unavailable);
        });
        return;
    }
    after(world, AppendMs, [&world, gateway, append] {
        auto &entries = world.log.streams[append.stream];
        for (const Schema::LogRecord &record : append.records) {
            Schema::LogEntry entry;
            entry.offset = static_cast<std::int64_t>(entries.size());
            entry.record = record;
            entries.push_back(std::move(entry));
        }
        const bool isLost = world.log.answersToLose > 0;
        world.log.answersToLose -= isLost ? 1 : 0;
        const auto status =
                isLost ? Dispatch::AppendStatus::Unknown : Dispatch::AppendStatus::Durable;
        after(world, isLost ? AppendTimeoutMs : 1, [&world, gateway, append, status] {
            handleAppendEnd(world, gateway, append.stream, append.batch, status);
        });
    });
}

void pollLog(World &world, int gateway, LogStream stream)
{
    GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gateway)];
    if (!process.isAlive) {
        return;
    }
    if (!world.log.isUnavailable && world.cutFromLog.count(gateway) == 0 && !process.isPaused) {
        const auto &entries = world.log.streams[stream];
        std::int64_t &offset = process.readOffsets[stream];
        Dispatch::LogRead read;
        read.entries.assign(entries.begin() + offset, entries.end());
        offset = static_cast<std::int64_t>(entries.size());
        read.nextOffset = offset;
        read.atEnd = true;
        carryOut(world, gateway,
                 Dispatch::handleLogRead(process.state, stream, read, moment(world)));
    }
    after(world, PollMs, [&world, gateway, stream] { pollLog(world, gateway, stream); });
}

void tickGateway(World &world, int gateway)
{
    GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gateway)];
    if (!process.isAlive) {
        return;
    }
    if (!process.isPaused) {
        carryOut(world, gateway,
                 Dispatch::gatewayTick(process.state, moment(world), process.random));
        recordConfigVersion(world.oracle, process.state.self.instance,
                            Dispatch::configuration(process.state.site.config).version);
        process.isAlive = !(process.isStopping && Dispatch::isStopped(process.state));
    }
    after(world, GatewayTickMs, [&world, gateway] { tickGateway(world, gateway); });
}

void runGatewayHousekeeping(World &world, int gateway)
{
    GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gateway)];
    if (!process.isAlive) {
        return;
    }
    if (!process.isPaused) {
        for (std::size_t index = 0; index < world.links.size(); ++index) {
            const Link &link = world.links[index];
            const bool isSilent =
                    link.isOpen && link.gateway == gateway
                    && link.gatewayLastReceivedMs + process.state.settings.agentSilenceMs
                               < world.nowMs;
            if (isSilent) {
                closeLink(world, static_cast<int>(index));
            }
        }
        for (auto &[peer, lastReceivedMs] : process.peerLastReceivedMs) {
            if (lastReceivedMs + process.state.settings.peerSilenceMs < world.nowMs) {
                lastReceivedMs = world.nowMs;
                Dispatch::handleGatewayDisconnected(process.state, peer);
            }
        }
    }
    after(world, HousekeepingMs, [&world, gateway] { runGatewayHousekeeping(world, gateway); });
}

void tickAgent(World &world, int agent)
{
    AgentProcess &process = *world.agents[static_cast<std::size_t>(agent)];
    if (!process.isAlive) {
        return;
    }
    if (!process.isPaused) {
        carryOut(world, agent, Agent::tick(process.state, moment(world)));
        carryOut(world, agent, Agent::flush(process.state, moment(world)));
    }
    after(world, AgentTickMs, [&world, agent] { tickAgent(world, agent); });
}

void connect(World &world, int agent, const Agent::ConnectGateway &attempt)
{
    const int gateway = attempt.port - FirstPort;
    after(world, networkDelay(world), [&world, agent, attempt, gateway] {
        AgentProcess &process = *world.agents[static_cast<std::size_t>(agent)];
        const bool isUp = gateway < static_cast<int>(world.gateways.size())
                          && world.gateways[static_cast<std::size_t>(gateway)]->isAlive;
        if (isUp) {
            Link link;
            link.agent = agent;
            link.agentNumber = attempt.link;
            link.gateway = gateway;
            link.gatewayLastReceivedMs = world.nowMs;
            world.links.push_back(link);
            process.links[attempt.link] = static_cast<int>(world.links.size()) - 1;
        }
        deliver(process, [&world, &process, agent, attempt, isUp] {
            carryOut(world, agent,
                     isUp ? Agent::linkOpened(process.state, attempt.link, moment(world))
                          : Agent::linkClosed(process.state, attempt.link, moment(world)));
        });
    });
}

void answerRun(World &world, int agent, const Schema::RunTask &task, int status,
               const std::string &body)
{
    deliver(*world.agents[static_cast<std::size_t>(agent)], [&world, agent, task, status, body] {
        AgentProcess &process = *world.agents[static_cast<std::size_t>(agent)];
        Net::HttpResult answer;
        answer.transport = Net::HttpTransport::Answered;
        answer.status = status;
        answer.body = body;
        carryOut(world, agent,
                 Agent::runAnswered(process.state, {task.job, task.index}, answer, moment(world)));
        carryOut(world, agent, Agent::flush(process.state, moment(world)));
    });
}

/// The backend server receives the request after a delay that models a pause of the agent between
/// its check and the start.
void runTask(World &world, int agent, const Schema::RunTask &task)
{
    const auto delayRange = static_cast<std::uint64_t>(world.maxRunDelayMs + 1);
    const bool isDelayed = world.random() % 8 == 0;
    const std::int64_t delayMs =
            1 + (isDelayed ? static_cast<std::int64_t>(world.random() % delayRange) : 0);
    after(world, delayMs, [&world, agent, task] {
        constexpr int PreconditionFailed = 412;
        constexpr int ServerError = 500;
        constexpr int Ok = 200;
        if (wallMs(world) > task.notAfterMs) {
            answerRun(world, agent, task, PreconditionFailed, "{}");
            return;
        }
        recordStart(world.oracle, task.job, task.index, world.nowMs);
        const int backend = world.agents[static_cast<std::size_t>(agent)]->backend;
        const bool fails = world.backends[static_cast<std::size_t>(backend)].failsAll;
        const nlohmann::json body = {{"result", resultOf(task.job, task.index)}};
        after(world, fails ? 1 : std::stoll(task.payload), [&world, agent, task, fails, body] {
            answerRun(world, agent, task, fails ? ServerError : Ok, body.dump());
        });
    });
}

struct GatewayEffects
{
    World &world;
    int gateway;

    void operator()(const Dispatch::SendToGateway &send) const
    {
        sendBetweenGateways(this->world, this->gateway, send.instance, send.frame);
    }
    void operator()(const Dispatch::SendToAgent &send) const
    {
        const auto &links =
                this->world.gateways[static_cast<std::size_t>(this->gateway)]->linkOfAgent;
        const auto link = links.find(send.instance);
        if (link != links.end()) {
            sendToAgent(this->world, link->second, send.frame);
        }
    }
    void operator()(const Dispatch::AppendToLog &append) const
    {
        appendToLog(this->world, this->gateway, append);
    }
    void operator()(const Dispatch::AnswerRequest &answer) const
    {
        if (answer.requestId.empty()) {
            return;
        }
        recordAnswer(this->world.oracle, std::stoul(answer.requestId), answer.answer,
                     this->world.nowMs);
    }
    template <typename Other>
    void operator()(const Other & /*other*/) const
    {}
};

struct AgentEffects
{
    World &world;
    int agent;

    void operator()(const Agent::ConnectGateway &attempt) const
    {
        connect(this->world, this->agent, attempt);
    }
    void operator()(const Agent::CloseLink &close) const
    {
        auto &links = this->world.agents[static_cast<std::size_t>(this->agent)]->links;
        const auto found = links.find(close.link);
        if (found != links.end()) {
            const int index = found->second;
            links.erase(found);
            closeLink(this->world, index);
        }
    }
    void operator()(const Agent::SendToGateway &send) const
    {
        const auto &links = this->world.agents[static_cast<std::size_t>(this->agent)]->links;
        const auto found = links.find(send.link);
        if (found != links.end()) {
            sendToGateway(this->world, found->second, send.frame);
        }
    }
    void operator()(const Agent::RunTask &run) const
    {
        runTask(this->world, this->agent, run.task);
    }
    template <typename Other>
    void operator()(const Other & /*other*/) const
    {}
};

void carryOut(World &world, int gateway, const Dispatch::Effects &effects)
{
    for (const Dispatch::Effect &effect : effects) {
        std::visit(GatewayEffects{world, gateway}, effect);
    }
}

void carryOut(World &world, int agent, const Agent::Effects &effects)
{
    for (const Agent::Effect &effect : effects) {
        std::visit(AgentEffects{world, agent}, effect);
    }
}

void publish(World &world, Schema::ConfigChange change)
{
    Schema::LogRecord record;
    record.id = change.name;
    record.kind = Schema::RecordKind::Config;
    record.instance = "operator";
    record.wallMs = wallMs(world);
    record.basedOn = 0;
    record.change = std::move(change);
    auto &entries = world.log.streams[LogStream::Config];
    Schema::LogEntry entry;
    entry.offset = static_cast<std::int64_t>(entries.size());
    entry.record = std::move(record);
    entries.push_back(std::move(entry));
}

void publishConfiguration(World &world)
{
    Schema::ConfigChange service;
    service.kind = Schema::ConfigKind::Service;
    service.name = "cut-sheet";
    service.service.emplace();
    service.service->name = service.name;
    publish(world, service);
    Schema::ConfigChange team;
    team.kind = Schema::ConfigKind::Team;
    team.name = "floor";
    team.team.emplace();
    team.team->name = team.name;
    publish(world, team);
}

void resume(World &world, Process &process)
{
    process.isPaused = false;
    while (!process.inbox.empty() && process.isAlive) {
        const Action action = std::move(process.inbox.front());
        process.inbox.pop_front();
        action();
    }
    static_cast<void>(world);
}

} // namespace

std::int64_t wallMs(const World &world)
{
    return WallStartMs + world.nowMs;
}

void after(World &world, std::int64_t ms, Action action)
{
    world.actionQueue.push({world.nowMs + ms, ++world.lastOrder, std::move(action)});
}

void runFor(World &world, std::int64_t ms)
{
    const std::int64_t endMs = world.nowMs + ms;
    while (!world.actionQueue.empty() && world.actionQueue.top().atMs <= endMs) {
        const ScheduledAction next = world.actionQueue.top();
        world.actionQueue.pop();
        world.nowMs = next.atMs;
        next.action();
    }
    world.nowMs = endMs;
}

std::unique_ptr<World> makeWorld(std::uint64_t seed, int gateways, int agents)
{
    auto world = std::make_unique<World>();
    world->random.seed(seed);
    world->nowMs = 1'000;
    publishConfiguration(*world);
    for (int index = 0; index < gateways; ++index) {
        addGateway(*world);
    }
    for (int index = 0; index < agents; ++index) {
        world->backends.emplace_back();
        addAgent(*world, index);
    }
    return world;
}

int addGateway(World &world)
{
    const int index = static_cast<int>(world.gateways.size());
    auto process = std::make_unique<GatewayProcess>();
    process->random.seed(world.random());
    const auto settings =
            Common::loadSettings<Schema::GatewaySettings>("", "GatewaySettings").value();
    Schema::Member self;
    self.instance = "gateway-" + std::to_string(index);
    self.host = "127.0.0.1";
    self.httpPort = 0;
    self.peerPort = FirstPort + index;
    self.failureDomain = "domain-" + std::to_string(index % 4);
    process->state = Dispatch::makeGateway(settings, self, moment(world));
    world.gateways.push_back(std::move(process));
    after(world, 1, [&world, index] { tickGateway(world, index); });
    after(world, 1, [&world, index] { runGatewayHousekeeping(world, index); });
    for (const LogStream stream : {LogStream::Control, LogStream::Journal, LogStream::Config}) {
        after(world, 1, [&world, index, stream] { pollLog(world, index, stream); });
    }
    return index;
}

int addAgent(World &world, int backend)
{
    const int index = static_cast<int>(world.agents.size());
    auto process = std::make_unique<AgentProcess>();
    auto settings = Common::loadSettings<Schema::AgentSettings>("", "AgentSettings").value();
    settings.name = "backend-" + std::to_string(backend);
    settings.slots = Slots;
    settings.gateways.clear();
    for (std::size_t gateway = 0; gateway < world.gateways.size(); ++gateway) {
        if (world.gateways[gateway]->isAlive) {
            settings.gateways.push_back("127.0.0.1:" + std::to_string(FirstPort + gateway));
        }
    }
    process->backend = backend;
    process->state = Agent::makeAgentState(settings, "agent-" + std::to_string(index),
                                           Common::Random(world.random()));
    world.agents.push_back(std::move(process));
    AgentProcess &made = *world.agents.back();
    carryOut(world, index, Agent::healthAnswered(made.state, true, moment(world)));
    after(world, 1, [&world, index] { tickAgent(world, index); });
    return index;
}

void killGateway(World &world, int gateway)
{
    GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gateway)];
    process.isAlive = false;
    process.inbox.clear();
    for (std::size_t index = 0; index < world.links.size(); ++index) {
        if (world.links[index].gateway == gateway) {
            closeLink(world, static_cast<int>(index));
        }
    }
    const std::string instance = process.state.self.instance;
    for (std::size_t other = 0; other < world.gateways.size(); ++other) {
        after(world, networkDelay(world), [&world, other, instance] {
            GatewayProcess &peer = *world.gateways[other];
            deliver(peer, [&peer, instance] {
                Dispatch::handleGatewayDisconnected(peer.state, instance);
            });
        });
    }
}

void killAgent(World &world, int agent)
{
    AgentProcess &process = *world.agents[static_cast<std::size_t>(agent)];
    process.isAlive = false;
    process.inbox.clear();
    for (std::size_t index = 0; index < world.links.size(); ++index) {
        if (world.links[index].agent == agent) {
            closeLink(world, static_cast<int>(index));
        }
    }
}

void pauseGateway(World &world, int gateway, std::int64_t ms)
{
    GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gateway)];
    process.isPaused = true;
    after(world, ms, [&world, &process] { resume(world, process); });
}

void pauseAgent(World &world, int agent, std::int64_t ms)
{
    AgentProcess &process = *world.agents[static_cast<std::size_t>(agent)];
    process.isPaused = true;
    after(world, ms, [&world, &process] { resume(world, process); });
}

void stopGateway(World &world, int gateway)
{
    GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gateway)];
    process.isStopping = true;
    Dispatch::beginStop(process.state);
}

void silenceLinks(World &world, int agent)
{
    for (Link &link : world.links) {
        if (link.isOpen && link.agent == agent) {
            link.isSilent = true;
        }
    }
}

void partition(World &world, int one, int other, bool isPartitionedNow)
{
    const std::pair<int, int> pair = std::minmax(one, other);
    if (isPartitionedNow) {
        world.partitions.insert(pair);
    } else {
        world.partitions.erase(pair);
    }
}

std::vector<int> liveGateways(const World &world)
{
    std::vector<int> live;
    for (std::size_t index = 0; index < world.gateways.size(); ++index) {
        if (world.gateways[index]->isAlive) {
            live.push_back(static_cast<int>(index));
        }
    }
    return live;
}

std::vector<int> liveAgents(const World &world)
{
    std::vector<int> live;
    for (std::size_t index = 0; index < world.agents.size(); ++index) {
        if (world.agents[index]->isAlive) {
            live.push_back(static_cast<int>(index));
        }
    }
    return live;
}

int ownerOfJob(const World &world, const std::string &job)
{
    for (const int index : liveGateways(world)) {
        const Dispatch::GatewayState &state =
                world.gateways[static_cast<std::size_t>(index)]->state;
        const std::int64_t shard = Dispatch::shardOf(state.ledger, job);
        if (Dispatch::shardPhase(state.site.ownership, shard) == Dispatch::ShardPhase::Serving) {
            return index;
        }
    }
    return -1;
}

JobRequest newJob(World &world, int tasks, std::int64_t runMs, std::int64_t deadlineInMs)
{
    JobRequest job;
    job.id = "job-" + std::to_string(++world.jobCount);
    job.firstSubmittedMs = wallMs(world);
    job.deadlineMs = wallMs(world) + deadlineInMs;
    job.tasks = tasks;
    job.runMs = runMs;
    return job;
}

std::size_t submit(World &world, int gateway, const JobRequest &job)
{
    Dispatch::CallerRequest callerRequest;
    callerRequest.kind = Schema::ForwardKind::Submit;
    callerRequest.job = job.id;
    Schema::SubmitJob &content = callerRequest.submit.emplace();
    content.id = job.id;
    content.firstSubmittedMs = job.firstSubmittedMs;
    content.deadlineMs = job.deadlineMs;
    content.team = "floor";
    content.caller = "saw";
    content.service = "cut-sheet";
    Schema::SubmitTask task;
    task.payload = std::to_string(job.runMs);
    content.tasks.assign(static_cast<std::size_t>(job.tasks), task);
    const std::size_t submission = recordSubmission(
            world.oracle, job.id, static_cast<std::size_t>(job.tasks), world.nowMs);
    callerRequest.token = std::to_string(submission);
    GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gateway)];
    deliver(process, [&world, &process, gateway, callerRequest] {
        carryOut(world, gateway,
                 Dispatch::handleCallerRequest(process.state, callerRequest, moment(world),
                                               process.random));
    });
    return submission;
}

void cancel(World &world, int gateway, const std::string &job)
{
    Dispatch::CallerRequest callerRequest;
    callerRequest.kind = Schema::ForwardKind::Cancel;
    callerRequest.wait = false;
    callerRequest.job = job;
    GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gateway)];
    deliver(process, [&world, &process, gateway, callerRequest] {
        carryOut(world, gateway,
                 Dispatch::handleCallerRequest(process.state, callerRequest, moment(world),
                                               process.random));
    });
}

void setTeamQuota(World &world, int gateway, std::int64_t quota, std::int64_t basedOn)
{
    Schema::ConfigChange change;
    change.kind = Schema::ConfigKind::Team;
    change.name = "floor";
    change.team.emplace();
    change.team->name = change.name;
    change.team->quota = quota;
    GatewayProcess &process = *world.gateways[static_cast<std::size_t>(gateway)];
    deliver(process, [&world, &process, gateway, change, basedOn] {
        carryOut(world, gateway,
                 Dispatch::handleConfigChange(process.state, "", change, basedOn, moment(world),
                                              process.random));
    });
}

} // namespace Whole
