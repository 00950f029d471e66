#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "FakePlatform.h"
#include "Gateway/Gateway.h"
#include "Runner/Runner.h"

/// The real daemons in this process, for tests of what callers receive.
namespace DaemonTests {

constexpr const char *Service = "desk";
constexpr const char *FailureDomain = "beja";
constexpr const char *Job = "5c0e7a21d94b36f8";

/// Waits until \a condition is true. False after 3,000 checks 10 ms apart.
bool waitFor(const std::function<bool()> &condition);

/// A gateway, an agent, a backend server and a store.
struct Site
{
    explicit Site(bool hasQueues = true, const std::string &learned = {});
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    void startGateway();
    void startAgent();
    void stopGateway();

    Net::HttpResult call(const std::string &method, const std::string &path,
                         const std::string &body = {}, std::int64_t timeoutMs = 20'000);
    bool isReady() const;
    /// Waits until a job is served at /checks/.
    bool serves();
    /// Names of the tasks that the backend server has started since the last call.
    std::vector<std::string> takeStartedTasks();

    static std::string shortJob();
    static std::string longJob();

    std::mutex runsMutex;
    std::vector<std::string> startedTasks;
    FakePlatform::Store store;
    FakePlatform::BackendServer backend;
    std::string callers = FakePlatform::loopback(FakePlatform::freePort());
    std::string probes = FakePlatform::loopback(FakePlatform::freePort());
    std::string peers = FakePlatform::loopback(FakePlatform::freePort());
    std::string registration = FakePlatform::loopback(FakePlatform::freePort());
    std::unique_ptr<Gateway::TransientDaemon> gateway;
    std::unique_ptr<Runner::RunnerDaemon> agent;
    std::thread gatewayThread;
    std::thread agentThread;
    bool stoppedCleanly = false;
};

} // namespace DaemonTests
