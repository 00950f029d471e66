#include "AgentFixture.h"

namespace {

constexpr std::int64_t TickMs = 20;
constexpr std::int64_t FirstPort = 8081;

std::string gatewayName(std::int64_t number)
{
    return "g" + std::to_string(number);
}

Schema::AgentSettings defaultSettings(int gatewayCount)
{
    auto settings = Common::handle(
            [] { return Common::loadSettings<Schema::AgentSettings>("", "AgentSettings"); },
            [](const Common::Failure &) { return Schema::AgentSettings(); });
    settings.gateways.clear();
    for (int i = 1; i <= gatewayCount; ++i) {
        settings.gateways.push_back("10.0.0.1:" + std::to_string(FirstPort + i));
    }
    return settings;
}

} // namespace

AgentFixture::AgentFixture(int gatewayCount)
    : state(Agent::makeAgentState(defaultSettings(gatewayCount), "agent-1", Common::Random(1)))
{
    this->state.healthy = true;
    this->table.version = 1;
    for (int i = 1; i <= gatewayCount; ++i) {
        Schema::Member member;
        member.instance = gatewayName(i);
        member.host = "10.0.0.1";
        member.peerPort = FirstPort + i;
        this->table.roster.push_back(member);
        this->answering.insert(member.instance);
    }
    this->table.shards.push_back({1, "g1", Shard});
}

void AgentFixture::carryOut(const Agent::Effects &effects)
{
    for (const Agent::Effect &effect : effects) {
        this->carryOutOne(effect);
    }
}

void AgentFixture::carryOutOne(const Agent::Effect &effect)
{
    if (const auto *dial = std::get_if<Agent::ConnectGateway>(&effect)) {
        ++this->dials;
        this->gatewayOfLink[dial->link] = gatewayName(dial->port - FirstPort);
        this->carryOut(Agent::linkOpened(this->state, dial->link, this->now));
    } else if (const auto *send = std::get_if<Agent::SendToGateway>(&effect)) {
        this->handleFrame(*send);
    } else if (const auto *run = std::get_if<Agent::RunTask>(&effect)) {
        this->runs.push_back(run->task);
    } else if (const auto *close = std::get_if<Agent::CloseLink>(&effect)) {
        this->closedLinks.push_back(close->link);
    } else if (const auto *count = std::get_if<Agent::CountReason>(&effect)) {
        if (count->counter == Agent::RefusalsCounter) {
            this->refusals[count->reason] += count->amount;
        }
        this->repeats += count->counter == Agent::RepeatsCounter ? 1 : 0;
    }
}

void AgentFixture::handleFrame(const Agent::SendToGateway &send)
{
    const std::string gateway = this->gatewayOfLink.at(send.link);
    if (send.frame.agentHello) {
        this->hellos.push_back(*send.frame.agentHello);
        this->unansweredHellos.push_back(send);
    }
    if (send.frame.taskStates) {
        this->reports[gateway].push_back(*send.frame.taskStates);
        for (const Schema::TaskState &entry : send.frame.taskStates->states) {
            this->states[gateway].push_back(entry);
        }
    }
}

void AgentFixture::answerHello(Agent::LinkNumber link, const Schema::AgentHello &hello)
{
    const std::string gateway = this->gatewayOfLink.at(link);
    if (this->answering.count(gateway) == 0) {
        return;
    }
    Schema::Frame frame;
    frame.type = Schema::FrameType::GatewayPong;
    Schema::GatewayPong pong;
    pong.instance = gateway;
    pong.sequence = hello.sequence;
    pong.demand = this->demand[gateway];
    pong.tableVersion = this->table.version;
    if (hello.tableVersion < this->table.version) {
        pong.table = this->table;
    }
    frame.gatewayPong = pong;
    this->receiveOn(link, frame);
}

void AgentFixture::advanceTime(std::int64_t ms)
{
    for (std::int64_t passed = 0; passed < ms; passed += TickMs) {
        this->now.steadyMs += TickMs;
        this->now.wallMs += TickMs;
        this->carryOut(Agent::tick(this->state, this->now));
        const std::vector<Agent::SendToGateway> sent = std::exchange(this->unansweredHellos, {});
        for (const Agent::SendToGateway &send : sent) {
            this->answerHello(send.link, *send.frame.agentHello);
        }
        this->flush();
    }
}

void AgentFixture::join()
{
    this->advanceTime(2 * TickMs);
}

void AgentFixture::flush()
{
    this->carryOut(Agent::flush(this->state, this->now));
}

Agent::LinkNumber AgentFixture::linkOf(const std::string &gateway) const
{
    Agent::LinkNumber newest = 0;
    for (const auto &[link, name] : this->gatewayOfLink) {
        newest = name == gateway ? link : newest;
    }
    return newest;
}

void AgentFixture::receiveOn(Agent::LinkNumber link, const Schema::Frame &frame)
{
    this->carryOut(Agent::frameReceived(this->state, link, frame, this->now));
}

void AgentFixture::receive(const std::string &gateway, const Schema::Frame &frame)
{
    this->receiveOn(this->linkOf(gateway), frame);
    this->flush();
}

Schema::StartTask AgentFixture::makeTask(const std::string &job, std::int64_t epoch,
                                         std::int64_t attempt) const
{
    constexpr std::int64_t TimeToStartMs = 30'000;
    Schema::StartTask task;
    task.job = job;
    task.shard = Shard;
    task.epoch = epoch;
    task.attempt = attempt;
    task.service = "dispatch";
    task.notAfterMs = this->now.wallMs + TimeToStartMs;
    return task;
}

void AgentFixture::start(const std::string &gateway, const Schema::StartTask &task)
{
    Schema::Frame frame;
    frame.type = Schema::FrameType::StartTasks;
    frame.startTasks = Schema::StartTasks{this->demand[gateway], {task}};
    this->receive(gateway, frame);
}

void AgentFixture::startMany(const std::string &gateway, int count, const std::string &prefix)
{
    for (int i = 0; i < count; ++i) {
        this->start(gateway, this->makeTask(prefix + std::to_string(i)));
    }
}

void AgentFixture::acknowledge(const std::string &gateway, const std::string &job)
{
    Schema::Frame frame;
    frame.type = Schema::FrameType::AcknowledgeTasks;
    frame.acknowledgeTasks = Schema::TaskRefs();
    Schema::TaskRef ref;
    ref.job = job;
    frame.acknowledgeTasks->tasks.push_back(ref);
    this->receive(gateway, frame);
}

void AgentFixture::finish(const std::string &job, int status, Net::HttpTransport transport)
{
    Net::HttpResult answer;
    answer.transport = transport;
    answer.status = status;
    answer.body = R"({"result":"done"})";
    this->carryOut(Agent::runAnswered(this->state, {job, 0}, answer, this->now));
    this->flush();
}

void AgentFixture::moveShard(const std::string &owner, std::int64_t epoch)
{
    ++this->table.version;
    this->table.shards = {{epoch, owner, Shard}};
    this->advanceTime(this->state.links.options.heartbeatMs + 2 * TickMs);
}

std::string AgentFixture::reportedState(const std::string &gateway, const std::string &job) const
{
    std::string last = "nothing";
    const auto found = this->states.find(gateway);
    if (found == this->states.end()) {
        return last;
    }
    for (const Schema::TaskState &entry : found->second) {
        if (entry.job == job) {
            last = Schema::enumName(entry.phase) + '/' + Schema::enumName(entry.reason);
        }
    }
    return last;
}

std::int64_t AgentFixture::windowOf(const std::string &gateway) const
{
    const auto *endpoint =
            Agent::findInstance(const_cast<Agent::Links &>(this->state.links), gateway);
    return endpoint == nullptr ? 0 : endpoint->sentWindow;
}

int AgentFixture::startsOf(const std::string &job) const
{
    int starts = 0;
    for (const Schema::RunTask &run : this->runs) {
        starts += run.job == job ? 1 : 0;
    }
    return starts;
}
