#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>

#include "AgentFixture.h"
#include "Net/Net.h"

/// Prints the agent's costs per task, per heartbeat and per stored outcome: agent-bench [tasks].
namespace {

constexpr int GatewayCount = 3;
constexpr int TasksInFrame = 4;
constexpr const char *Payload =
        R"({"runMs":200,"order":"breach alert, A3 km 41, both rails down"})";

double threadCpuMicros()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

template <typename Work>
double microsOf(Work work)
{
    const double before = threadCpuMicros();
    work();
    return threadCpuMicros() - before;
}

std::string jobName(int number)
{
    char name[32];
    std::snprintf(name, sizeof name, "order-2026-%012d", number);
    return name;
}

struct Costs
{
    double decisions = 0;
    double codec = 0;
    double bytes = 0;
    int frames = 0;
};

/// Encodes and decodes frames as the agent does, so that sizes and codec times are those of real
/// frames.
class Wire
{
public:
    explicit Wire(Costs &costs)
        : costs(costs)
    {}

    Schema::Frame receive(const Schema::Frame &frame)
    {
        const std::string bytes = Net::encodeFrame(frame);
        this->countFrame(bytes);
        Schema::Frame decoded;
        this->costs.codec += microsOf([&] {
            Common::handle(
                    [&]() -> Common::Outcome<void> {
                        BOOST_LEAF_ASSIGN(decoded, Net::decodeFrame(bytes));
                        return {};
                    },
                    [](const Common::Failure &) {});
        });
        return decoded;
    }

    void send(const Schema::Frame &frame)
    {
        std::string bytes;
        this->costs.codec += microsOf([&] { bytes = Net::encodeFrame(frame); });
        this->countFrame(bytes);
    }

private:
    void countFrame(const std::string &bytes)
    {
        this->costs.bytes += static_cast<double>(bytes.size());
        ++this->costs.frames;
    }

    Costs &costs;
};

Schema::Frame startFrame(const AgentFixture &site, int first)
{
    Schema::Frame frame;
    frame.type = Schema::FrameType::StartTasks;
    frame.startTasks = Schema::StartTasks();
    for (int i = 0; i < TasksInFrame; ++i) {
        Schema::StartTask task = site.makeTask(jobName(first + i));
        task.payload = Payload;
        frame.startTasks->tasks.push_back(task);
    }
    return frame;
}

Schema::Frame acknowledgeFrame(int first)
{
    Schema::Frame frame;
    frame.type = Schema::FrameType::AcknowledgeTasks;
    frame.acknowledgeTasks = Schema::TaskRefs();
    for (int i = 0; i < TasksInFrame; ++i) {
        frame.acknowledgeTasks->tasks.push_back({1, 0, jobName(first + i)});
    }
    return frame;
}

/// Encodes the frames among \a effects, and the HTTP bodies of the RunTask effects.
void carryOut(const Agent::Effects &effects, Wire &wire, Costs &costs)
{
    for (const Agent::Effect &effect : effects) {
        if (const auto *send = std::get_if<Agent::SendToGateway>(&effect)) {
            wire.send(send->frame);
        } else if (const auto *run = std::get_if<Agent::RunTask>(&effect)) {
            costs.codec += microsOf([&] { nlohmann::json(run->task).dump(); });
        }
    }
}

void runTasks(AgentFixture &site, int count, Costs &costs)
{
    Wire wire(costs);
    Net::HttpResult answer;
    answer.transport = Net::HttpTransport::Answered;
    answer.status = 200;
    answer.body = R"({"result":"crew 4 on its way, lorry 2, 25 minutes"})";
    const Agent::LinkNumber link = site.linkOf("g1");
    const auto decide = [&](const auto &work) {
        Agent::Effects effects;
        costs.decisions += microsOf([&] { effects = work(); });
        carryOut(effects, wire, costs);
    };
    for (int first = 0; first < count; first += TasksInFrame) {
        const Schema::Frame start = wire.receive(startFrame(site, first));
        decide([&] { return Agent::frameReceived(site.state, link, start, site.now); });
        decide([&] { return Agent::flush(site.state, site.now); });
        for (int i = 0; i < TasksInFrame; ++i) {
            const Agent::TaskKey key{jobName(first + i), 0};
            decide([&] { return Agent::runAnswered(site.state, key, answer, site.now); });
            decide([&] { return Agent::flush(site.state, site.now); });
        }
        const Schema::Frame acknowledged = wire.receive(acknowledgeFrame(first));
        decide([&] { return Agent::frameReceived(site.state, link, acknowledged, site.now); });
    }
}

void printTaskCosts(int count)
{
    AgentFixture site(GatewayCount);
    site.join();
    const std::size_t before = mallinfo2().uordblks;
    Costs costs;
    runTasks(site, count, costs);
    const std::size_t memoryBytes = mallinfo2().uordblks - before;
    std::printf("tasks=%d decisions_us_per_task=%.2f codec_us_per_task=%.2f "
                "frames_per_task=%.2f bytes_per_task=%.0f memory_bytes_per_task=%.0f\n",
                count, costs.decisions / count, costs.codec / count,
                static_cast<double>(costs.frames) / count, costs.bytes / count,
                static_cast<double>(memoryBytes) / count);
    Schema::AskTasks ask{"ask", {{2, "g2", AgentFixture::Shard}}};
    const double micros =
            microsOf([&] { Agent::answerAskTasks(site.state, site.linkOf("g2"), ask, site.now); });
    std::printf("ask_tasks_us_per_remembered_task=%.2f\n", micros / count);
}

void printHeartbeatCosts(int gateways, int shards)
{
    AgentFixture site(gateways);
    for (int shard = 0; shard < shards; ++shard) {
        site.table.shards.push_back({1, "g1", shard});
    }
    site.join();
    constexpr int Heartbeats = 200;
    const std::size_t hellosBefore = site.hellos.size();
    const double micros =
            microsOf([&] { site.advanceTime(Heartbeats * site.state.links.options.heartbeatMs); });
    Schema::Frame hello;
    hello.type = Schema::FrameType::AgentHello;
    hello.agentHello = site.hellos.back();
    Schema::Frame pong;
    pong.type = Schema::FrameType::GatewayPong;
    pong.gatewayPong = Schema::GatewayPong();
    pong.gatewayPong->instance = "gateway-1-0123456789abcdef";
    const std::size_t backendBytes =
            nlohmann::json::to_cbor(nlohmann::json(hello.agentHello->backend)).size();
    const std::size_t pongBytes = Net::encodeFrame(pong).size();
    pong.gatewayPong->table = site.table;
    std::printf("gateways=%d shards=%d tick_and_hello_us_per_heartbeat=%.1f "
                "hellos_per_heartbeat=%.2f hello_bytes=%zu backend_bytes=%zu pong_bytes=%zu "
                "table_bytes=%zu\n",
                gateways, shards, micros / Heartbeats,
                static_cast<double>(site.hellos.size() - hellosBefore) / Heartbeats,
                Net::encodeFrame(hello).size(), backendBytes, pongBytes,
                Net::encodeFrame(pong).size() - pongBytes);
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int DefaultTasks = 25200;
    const int tasks = argc > 1 ? std::atoi(argv[1]) : DefaultTasks;
    printTaskCosts(tasks / 2);
    printTaskCosts(tasks);
    printTaskCosts(tasks * 4);
    for (const int gateways : {3, 6, 12}) {
        printHeartbeatCosts(gateways, 64);
    }
    printHeartbeatCosts(6, 512);
    return EXIT_SUCCESS;
}
