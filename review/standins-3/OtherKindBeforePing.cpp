#include "Cases.h"

namespace Cases {

using namespace Lab;

namespace {

/// Workers of kind "b": one worker of eight crashes, a share of 0.125. srv_crash has 0.14 at most
/// in the site file, for 4.5 s.
constexpr int Others = 7;
constexpr std::int64_t DownMs = 500;
/// Half of the usual time between two pings.
constexpr std::int64_t FirstPingMs = 750;
constexpr std::int64_t TimeLimitMs = 1500;

Json requires(const char *label)
{
    return {{"requires", label}};
}

} // namespace

/// The only worker of kind "a" crashes while nothing runs on it, and starts again 0.5 s later under
/// its id as one of kind "b". Jobs that require "a" come before its first ping.
int otherKindBeforePing()
{
    Store store;
    store.append("keyed.op", "config", configuration(3));
    const GatewayPorts ports;
    const std::vector<std::string> seeds{loopback(ports.peers)};
    const auto gateway = makeGateway("edge-1", "a", ports, store.address(), seeds);
    gateway->start();
    WorkerOptions kindA;
    kindA.id = "i-7f3a91c2";
    kindA.labels = {"a", "r1-1"};
    kindA.port = freePort();
    auto changing = std::make_unique<Worker>(kindA);
    const std::uint16_t registration = freePort();
    const auto agent =
            makeAgent("side-0", "a", registration, changing->port(), store.address(), seeds);
    agent->start();
    std::unique_ptr<Worker> others[Others];
    std::unique_ptr<Daemon> otherAgents[Others];
    std::uint16_t otherRegistrations[Others];
    for (int index = 0; index < Others; ++index) {
        const std::string number = std::to_string(index + 1);
        WorkerOptions kindB;
        kindB.id = "i-0d41b8e" + number;
        kindB.labels = {"b", "r1-" + number};
        others[index] = std::make_unique<Worker>(kindB);
        otherRegistrations[index] = freePort();
        otherAgents[index] = makeAgent("side-" + number, "a", otherRegistrations[index],
                                       others[index]->port(), store.address(), seeds);
        otherAgents[index]->start();
    }
    sleepMs(500);
    changing->startPings(registration);
    for (int index = 0; index < Others; ++index) {
        others[index]->startPings(otherRegistrations[index]);
    }
    if (!waitUntilServed(ports.callers, 15000)) {
        return 2;
    }
    sleepMs(1000);
    std::uint64_t number = 1;
    const auto submitForA = [&] {
        return submit(ports.callers, jobId(number++), jobBody(200, 1600, 2, requires("a")),
                      TimeLimitMs);
    };
    for (int index = 0; index < 5; ++index) {
        if (submitForA().status != 200) {
            return 2;
        }
    }
    sleepMs(700);
    std::vector<RunSeen> wrong;
    if (hasTrouble()) {
        changing.reset();
        record().line("worker " + kindA.id + " has crashed");
        sleepMs(DownMs);
        WorkerOptions reborn = kindA;
        reborn.labels = {"b", "r1-1"};
        changing = std::make_unique<Worker>(reborn);
        const std::int64_t bootedMs = nowMs();
        record().line("worker " + kindA.id + " has started again, of kind b");
        sleepMs(150);
        std::thread client([&] {
            for (int index = 0; index < 3; ++index) {
                submitForA();
            }
        });
        sleepUntil(bootedMs + FirstPingMs);
        changing->startPings(registration);
        client.join();
        sleepMs(2000);
        wrong = changing->runs();
    } else {
        for (int index = 0; index < 3; ++index) {
            submitForA();
        }
    }
    for (int index = 0; index < Others; ++index) {
        for (const RunSeen &run : others[index]->runs()) {
            if (run.task.rfind("00000000", 0) == 0) {
                wrong.push_back(run);
            }
        }
        otherAgents[index]->kill();
    }
    gateway->kill();
    agent->kill();
    store.stop();
    for (const RunSeen &run : wrong) {
        record().line("broken: " + run.task + ", which requires a, was started on " + run.worker
                      + " of kind b, and ended as " + run.how);
    }
    return wrong.empty() ? 0 : 1;
}

} // namespace Cases
