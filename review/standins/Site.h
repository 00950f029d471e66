#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

#include "Http.h"
#include "Record.h"
#include "Store.h"
#include "Worker.h"

/// A small deployment: the project's daemons as separate processes, started as the deploy file
/// says, with the platform's store and workers as stand-ins.
namespace Review {

constexpr const char *ServiceName = "huvo11a";
constexpr const char *HostName = "nony24.example";

struct Process
{
    std::string name;
    pid_t pid = -1;
};

struct Gateway
{
    Process process;
    std::uint16_t callerPort = 0;
    std::uint16_t probePort = 0;
    std::uint16_t peerPort = 0;
};

struct Agent
{
    Process process;
    std::uint16_t registrationPort = 0;
    std::uint16_t workerPort = 0;
};

struct SiteOptions
{
    int gateways = 2;
    int agents = 2;
};

class Site
{
public:
    Site(const SiteOptions &options, Record &record);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    Store &store() { return this->platformStore; }
    const std::vector<Gateway> &gateways() const { return this->gatewayList; }
    const std::vector<Agent> &agents() const { return this->agentList; }
    /// False if a gateway does not become ready, or a process ends meanwhile.
    bool waitUntilReady(std::int64_t timeoutMs);
    /// Names of processes that have ended; nothing here ends one before the end of the case.
    std::vector<std::string> endedByThemselves();

private:
    void startGateway(std::size_t index);
    void startAgent(std::size_t index);
    void start(Process &process, const std::string &program, const std::string &settings);

    Record &record;
    std::string folder;
    Store platformStore;
    std::vector<Gateway> gatewayList;
    std::vector<Agent> agentList;
};

/// A route as the operator's configuration has it.
struct Route
{
    std::string pathPrefix;
    std::int64_t targetLatencyMs = 60;
    double slackFactor = 1.6;
    std::int64_t timeoutMs = 1500;
};

std::string configText(std::int64_t version, const std::vector<Route> &routes);

/// A job of one step.
struct Job
{
    std::string id;
    std::string pathPrefix;
    int tasks = 1;
    std::int64_t runMs = 900;
    std::int64_t cpu = 6000;
    /// Label that the worker must have; empty for any.
    std::string requiredLabel;
    /// Number of steps, each after the one before.
    int steps = 1;
    std::int64_t timeLimitMs = 1500;
};

/// Submits the job as a client and waits for the answer, at most the client's time limit.
Answer submit(const Job &job, std::uint16_t callerPort, Record &record);

/// Exit codes of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

/// Whether the case shall bring its disruption about; not with TROUBLE=0.
bool isDisrupted();

} // namespace Review
