#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "Net/Net.h"
#include "Program.h"
#include "StandIn/StandIn.h"
#include "UnitTests/Platform/FakePlatform.h"

namespace ResourceLimits {

/// Largest number of descriptors on the machines of the deployments.
constexpr std::size_t MachineDescriptors = 4100;

/// Waits until \a condition is true. False after 300 checks 100 ms apart.
bool waitFor(const std::function<bool()> &condition);

/// Calls a port of this machine as a caller of the queue at host "desk.example".
Net::HttpResult call(std::uint16_t port, const std::string &method, const std::string &path,
                     const std::string &body = {});

/// A gateway and an agent for transient jobs as processes, with a store and a backend server in
/// this process.
class TransientProcesses
{
public:
    /// The agent's seeds name the gateway by \a moreHosts, too.
    explicit TransientProcesses(std::size_t maxDescriptors = MachineDescriptors,
                                std::vector<std::string> moreHosts = {});

    /// Prepares the processes for jobs. False if they serve none after a limited time.
    bool serves();
    /// Whether a job is served. Waits a limited time until it is.
    bool servesJob();
    /// Submits an ordinary job. Returns the status, or 0 if there is no answer.
    int submitJob();
    /// Likewise submits a job whose task takes a second.
    int submitLongJob();
    /// Likewise submits a job that requires a backend server with \a label.
    int submitJobFor(const std::string &label);
    /// The backend server crashes and starts again under its id and at its address, with other
    /// \a labels. It does not announce itself yet.
    void restartBackend(std::vector<std::string> labels);
    int probe() const;
    /// Whether a task of the job \a id has started.
    bool hasStarted(const std::string &id);
    /// Id of the last job that was submitted.
    std::string lastJobId() const;

    std::uint16_t callers = FakePlatform::freePort();
    std::uint16_t probes = FakePlatform::freePort();
    std::uint16_t links = FakePlatform::freePort();
    std::uint16_t gatewayMetrics = FakePlatform::freePort();
    std::uint16_t registration = FakePlatform::freePort();
    std::uint16_t agentMetrics = FakePlatform::freePort();
    std::vector<std::string> moreHosts;

private:
    int submit(const FakePlatform::CallerJob &job);
    FakePlatform::BackendOptions backendOptions();
    Program::Start gatewayStart(std::size_t maxDescriptors) const;
    Program::Start agentStart(std::size_t maxDescriptors) const;

    TemporaryFolder folder;
    std::mutex mutex;
    std::set<std::string> startedJobs;
    std::atomic<std::uint64_t> lastJob = 0;

public:
    FakePlatform::Store store;
    std::unique_ptr<FakePlatform::BackendServer> backend;
    Program gateway;
    Program agent;
};

/// A gateway and an agent for journaled jobs as processes, with the log service and a backend
/// server in this process.
class JournaledProcesses
{
public:
    explicit JournaledProcesses(std::size_t maxDescriptors = MachineDescriptors);

    /// Prepares the processes for jobs. False if they serve none after a limited time.
    bool serves();
    /// Whether a job is served. Waits a limited time until it is.
    bool servesJob();
    /// Submits an ordinary job. Returns the status, or 0 if there is no answer.
    int submitJob();

    std::uint16_t http = FakePlatform::freePort();
    std::uint16_t links = FakePlatform::freePort();
    std::uint16_t agentMetrics = FakePlatform::freePort();

private:
    bool configure();
    Program::Start gatewayStart(std::size_t maxDescriptors) const;
    Program::Start agentStart(std::size_t maxDescriptors) const;

    TemporaryFolder folder;
    std::unique_ptr<StandIn::FakeLogServer> log;
    std::unique_ptr<StandIn::FakeBackendServer> backend;

public:
    Program gateway;
    Program agent;
};

} // namespace ResourceLimits
