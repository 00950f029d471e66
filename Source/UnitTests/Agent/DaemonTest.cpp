#include <condition_variable>
#include <doctest/doctest.h>
#include <functional>
#include <mutex>
#include <thread>

#include "Agent/Agent.h"
#include "Net/Net.h"

namespace {

constexpr std::int64_t Shard = 3;

/// A gateway that answers hellos, acknowledges final states and stores the reported states.
class FakeGateway
{
public:
    FakeGateway()
        : hub({[](Net::LinkId) {},
               [this](Net::LinkId link, const Schema::Frame &frame) { this->receive(link, frame); },
               [](Net::LinkId) {}})
        , port(this->hub.listen("127.0.0.1", 0))
    {}

    ~FakeGateway() { this->hub.stop(); }

    void start(const std::string &job, const std::string &payload = "{}")
    {
        Schema::StartTask task;
        task.job = job;
        task.payload = payload;
        task.shard = Shard;
        task.epoch = 1;
        task.attempt = 1;
        task.notAfterMs = Common::currentMoment().wallMs + 60'000;
        Schema::Frame frame;
        frame.type = Schema::FrameType::StartTasks;
        frame.startTasks = Schema::StartTasks{0, {task}};
        this->hub.send(this->agentLink, frame);
    }

    /// Waits until \a condition, checked after each frame, is true. Returns false after 30 s.
    bool waitFor(const std::function<bool()> &condition)
    {
        constexpr std::chrono::seconds MaxWait(30);
        std::unique_lock<std::mutex> lock(this->mutex);
        return this->changed.wait_for(lock, MaxWait, condition);
    }

    Net::PeerHub hub;
    std::uint16_t port;
    std::mutex mutex;
    std::condition_variable changed;
    Net::LinkId agentLink = 0;
    Schema::AgentHello hello;
    std::map<std::string, Schema::TaskState> states;

private:
    void receive(Net::LinkId link, const Schema::Frame &frame)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->agentLink = link;
        if (frame.agentHello) {
            this->hello = *frame.agentHello;
            this->answer(link);
        }
        if (frame.taskStates) {
            this->acknowledge(link, frame.taskStates->states);
        }
        this->changed.notify_all();
    }

    void answer(Net::LinkId link)
    {
        Schema::Frame frame;
        frame.type = Schema::FrameType::GatewayPong;
        frame.gatewayPong = Schema::GatewayPong();
        frame.gatewayPong->instance = "g1";
        frame.gatewayPong->sequence = this->hello.sequence;
        frame.gatewayPong->tableVersion = 1;
        Schema::OwnershipTable table;
        table.version = 1;
        Schema::Member member;
        member.instance = "g1";
        member.host = "127.0.0.1";
        member.peerPort = this->port;
        table.roster.push_back(member);
        table.shards.push_back({1, "g1", Shard});
        frame.gatewayPong->table = table;
        this->hub.send(link, frame);
    }

    void acknowledge(Net::LinkId link, const std::vector<Schema::TaskState> &reported)
    {
        Schema::Frame frame;
        frame.type = Schema::FrameType::AcknowledgeTasks;
        frame.acknowledgeTasks = Schema::TaskRefs();
        for (const Schema::TaskState &state : reported) {
            this->states[state.job] = state;
            if (state.phase != Schema::TaskPhase::Running) {
                frame.acknowledgeTasks->tasks.push_back({state.attempt, state.index, state.job});
            }
        }
        this->hub.send(link, frame);
    }
};

/// A backend server that holds each task until answerAll() is called.
class FakeBackend
{
public:
    FakeBackend()
        : server(Net::HttpServerBuilder()
                         .listenOn("127.0.0.1", 0)
                         .handler([this](const Net::HttpRequest &request,
                                         const Net::HttpReply &reply) {
                             this->receive(request, reply);
                         })
                         .build())
    {}

    ~FakeBackend()
    {
        this->answerAll(200);
        this->server->stop();
    }

    void answerAll(int status)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const Net::HttpReply &reply : std::exchange(this->heldReplies, {})) {
            reply.send({status, R"({"result":"done"})", "application/json", 0});
        }
    }

    void waitForTasks(std::size_t count)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->arrived.wait_for(lock, std::chrono::seconds(30),
                               [&] { return this->heldReplies.size() >= count; });
        REQUIRE(this->heldReplies.size() == count);
    }

    std::unique_ptr<Net::HttpServer> server;

private:
    void receive(const Net::HttpRequest &request, const Net::HttpReply &reply)
    {
        if (request.path == "/health") {
            reply.send({200, "{}", "application/json", 0});
            return;
        }
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->heldReplies.push_back(reply);
        this->arrived.notify_all();
    }

    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<Net::HttpReply> heldReplies;
};

/// An agent daemon on a thread of its own, for the backend server at \a backendPort.
class RunningAgent
{
public:
    RunningAgent(std::uint16_t gatewayPort, std::uint16_t backendPort)
    {
        auto settings = Common::handle(
                [] { return Common::loadSettings<Schema::AgentSettings>("", "AgentSettings"); },
                [](const Common::Failure &) { return Schema::AgentSettings(); });
        settings.heartbeatMs = 50;
        settings.gateways = {"127.0.0.1:" + std::to_string(gatewayPort)};
        settings.backendUrl = "http://127.0.0.1:" + std::to_string(backendPort);
        this->daemon = Agent::AgentDaemonBuilder().settings(settings).build();
        this->control = std::thread([this] { this->complete = this->daemon->run(); });
    }

    ~RunningAgent() { this->stop(); }

    bool stop()
    {
        if (this->control.joinable()) {
            this->daemon->requestStop();
            this->control.join();
        }
        return this->complete;
    }

    std::unique_ptr<Agent::AgentDaemon> daemon;

private:
    std::thread control;
    bool complete = false;
};

Net::HttpResult get(std::uint16_t port, const std::string &path)
{
    Net::HttpClient client(1);
    Net::HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string(port) + path;
    return client.perform(call);
}

} // namespace

// Covers the complete path over real sockets: hello, start, result, acknowledgement; then a stop,
// as on SIGTERM, with a task still running. The agent reports the result of that task before it
// ends.
TEST_CASE("The daemon runs tasks, reports them and stops without cutting one")
{
    FakeGateway gateway;
    FakeBackend backend;
    RunningAgent agent(gateway.port, backend.server->port());
    REQUIRE(gateway.waitFor([&] { return gateway.hello.healthy && gateway.hello.tableVersion; }));
    gateway.start("first");
    backend.waitForTasks(1);
    backend.answerAll(200);
    REQUIRE(gateway.waitFor([&] { return gateway.states.count("first") != 0; }));
    CHECK(gateway.states["first"].phase == Schema::TaskPhase::Succeeded);
    CHECK(gateway.states["first"].result == std::optional<std::string>("done"));

    CHECK(get(agent.daemon->metricsPort(), "/health").status == 200);
    CHECK(get(agent.daemon->metricsPort(), "/ready").status == 200);
    CHECK(get(agent.daemon->metricsPort(), "/nothing").status == 404);
    const std::string metrics = get(agent.daemon->metricsPort(), "/metrics").body;
    CHECK(metrics.find("auburntrail_agent_task_starts_total 1") != std::string::npos);

    gateway.start("last");
    backend.waitForTasks(1);
    agent.daemon->requestStop();
    REQUIRE(gateway.waitFor([&] { return gateway.hello.draining; }));
    gateway.start("refused");
    REQUIRE(gateway.waitFor([&] { return gateway.states.count("refused") != 0; }));
    CHECK(gateway.states["refused"].reason == Schema::Reason::AgentDraining);
    backend.answerAll(200);
    CHECK(agent.stop());
    CHECK(gateway.states["last"].phase == Schema::TaskPhase::Succeeded);
}

// The backend server's process has ended and nothing listens any more. A task that arrives at about
// that time is reported as not started, so that it can run elsewhere, and the agent reports itself
// as unhealthy.
TEST_CASE("An unreachable backend server is reported to the gateway and starts nothing")
{
    FakeGateway gateway;
    auto backend = std::make_unique<FakeBackend>();
    RunningAgent agent(gateway.port, backend->server->port());
    REQUIRE(gateway.waitFor([&] { return gateway.hello.healthy && gateway.hello.tableVersion; }));
    backend.reset();
    gateway.start("early");
    REQUIRE(gateway.waitFor([&] { return gateway.states.count("early") != 0; }));
    CHECK(gateway.states["early"].phase == Schema::TaskPhase::NotStarted);
    CHECK(gateway.states["early"].reason == Schema::Reason::BackendUnreachable);
    REQUIRE(gateway.waitFor([&] { return !gateway.hello.healthy; }));
    CHECK(agent.stop());
}

// A peer sends a payload that is not UTF-8, which the JSON request to the backend server cannot
// contain. An exception would end the agent and lose the outcomes that it keeps for all owners.
TEST_CASE("A payload that is not UTF-8 does not stop the daemon")
{
    FakeGateway gateway;
    FakeBackend backend;
    RunningAgent agent(gateway.port, backend.server->port());
    REQUIRE(gateway.waitFor([&] { return gateway.hello.healthy && gateway.hello.tableVersion; }));
    gateway.start("garbled", "\xff\xfe");
    backend.waitForTasks(1);
    backend.answerAll(200);
    REQUIRE(gateway.waitFor([&] { return gateway.states.count("garbled") != 0; }));
    CHECK(gateway.states["garbled"].phase == Schema::TaskPhase::Succeeded);
    CHECK(agent.stop());
}
