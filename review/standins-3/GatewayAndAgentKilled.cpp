#include "Cases.h"

namespace Cases {

using namespace Lab;

namespace {

constexpr std::int64_t RetransmitMs = 1300;
/// node_kill with power: dark for this long.
constexpr std::int64_t DarkMs = 3500;
/// Orders are carried out 2 to 12 s late.
constexpr std::int64_t LateMs = 2200;
constexpr std::int64_t TimeLimitMs = 1500;

} // namespace

/// A worker leaves the start of a task unanswered and carries it out 3 s later. The gateway of the
/// job and the agent beside that worker lose power right after the start was sent, and are back
/// 3.5 s later. The client sends the job again at another gateway.
int gatewayAndAgentKilled()
{
    constexpr int Sides = 2;
    Store store;
    store.append("keyed.op", "config", configuration(3));
    GatewayPorts ports[2];
    const std::vector<std::string> seeds{loopback(ports[0].peers), loopback(ports[1].peers)};
    std::unique_ptr<Daemon> gateways[2];
    for (int index = 0; index < 2; ++index) {
        gateways[index] = makeGateway("edge-" + std::to_string(index), "a", ports[index],
                                      store.address(), seeds);
        gateways[index]->start();
    }
    const std::string id = jobId(0x5c0e7a21d94b0001);
    std::atomic<int> unanswering{-1};
    std::unique_ptr<Worker> workers[Sides];
    std::unique_ptr<Daemon> agents[Sides];
    std::uint16_t registrations[Sides];
    for (int index = 0; index < Sides; ++index) {
        WorkerOptions options;
        options.id = "i-" + std::to_string(index);
        workers[index] = std::make_unique<Worker>(options);
        workers[index]->lateMs = LateMs;
        workers[index]->lateGrantsCountFromArrival = true;
        workers[index]->treat = [&, index](const std::string &path, const Json &body) {
            if (!hasTrouble() || path != "/run-start"
                || body.at("task").get<std::string>().rfind(id, 0) != 0) {
                return Treatment::Answer;
            }
            int none = -1;
            return unanswering.compare_exchange_strong(none, index) ? Treatment::CarryOutLate
                                                                    : Treatment::Answer;
        };
        registrations[index] = freePort();
        agents[index] = makeAgent("side-" + std::to_string(index), "a", registrations[index],
                                  workers[index]->port(), store.address(), seeds);
        agents[index]->start();
    }
    sleepMs(500);
    for (int index = 0; index < Sides; ++index) {
        workers[index]->startPings(registrations[index]);
    }
    if (!waitUntilServed(ports[0].callers, 15000) || !waitUntilServed(ports[1].callers, 15000)) {
        return 2;
    }
    // Of all starts that the workers get, one stays unanswered: far less than one in twenty.
    for (std::uint64_t number = 1; number <= 60; ++number) {
        submit(ports[number % 2].callers, jobId(number), jobBody(20, 100, 1), TimeLimitMs);
    }
    std::thread client([&] {
        int gateway = 0;
        for (int attempt = 0; attempt < 3; ++attempt) {
            const Response response =
                    submit(ports[gateway].callers, id, jobBody(2400, 500, 1), TimeLimitMs);
            if (response.status != 0 && response.status != 502 && response.status != 504) {
                return;
            }
            sleepMs(RetransmitMs);
            gateway = 1;
        }
    });
    if (hasTrouble()) {
        const std::int64_t untilMs = nowMs() + 3000;
        while (unanswering < 0 && nowMs() < untilMs) {
            sleepMs(1);
        }
        if (unanswering < 0) {
            client.join();
            return 2;
        }
        gateways[0]->kill();
        agents[unanswering]->kill();
        sleepMs(DarkMs);
        gateways[0]->start();
        agents[unanswering]->start();
    }
    client.join();
    sleepMs(1500);
    std::vector<RunSeen> runs;
    for (int index = 0; index < Sides; ++index) {
        for (const RunSeen &run : workers[index]->runs()) {
            runs.push_back(run);
        }
    }
    for (int index = 0; index < 2; ++index) {
        gateways[index]->kill();
        agents[index]->kill();
    }
    store.stop();
    const std::vector<Overlap> found = overlaps(runs);
    for (const Overlap &one : found) {
        record().line("broken: " + one.first.task + " ran on " + one.first.worker + " and "
                      + one.second.worker + " at the same time for " + std::to_string(one.forMs)
                      + " ms");
    }
    return found.empty() ? 0 : 1;
}

} // namespace Cases
