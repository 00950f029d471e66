#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "Program.h"
#include "StandIn/StandIn.h"
#include "UnitTests/Platform/FakePlatform.h"

namespace ResourceLimits {

/// Largest number of descriptors on the machines of the deployments.
constexpr std::size_t MachineDescriptors = 4100;

/// A gateway and an agent for transient jobs as processes, with a store and a backend server in
/// this process.
class TransientProcesses
{
public:
    explicit TransientProcesses(std::size_t maxDescriptors = MachineDescriptors);

    /// Prepares the processes for jobs. False if they serve none after a limited time.
    bool serves();
    /// Whether a job is served. Waits a limited time until it is.
    bool servesJob();
    /// Submits an ordinary job. Returns the status, or 0 if there is no answer.
    int submitJob();
    int probe() const;
    /// Whether a task of the job \a id has started.
    bool hasStarted(const std::string &id);

    std::uint16_t callers = FakePlatform::freePort();
    std::uint16_t probes = FakePlatform::freePort();
    std::uint16_t links = FakePlatform::freePort();
    std::uint16_t gatewayMetrics = FakePlatform::freePort();
    std::uint16_t registration = FakePlatform::freePort();
    std::uint16_t agentMetrics = FakePlatform::freePort();

private:
    FakePlatform::BackendOptions backendOptions();
    Program::Start gatewayStart(std::size_t maxDescriptors) const;
    Program::Start agentStart(std::size_t maxDescriptors) const;

    TemporaryFolder folder;
    std::mutex mutex;
    std::set<std::string> startedJobs;
    std::uint64_t lastJob = 0;
    FakePlatform::Store store;
    FakePlatform::BackendServer backend;

public:
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
