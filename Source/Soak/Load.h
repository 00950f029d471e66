#pragma once

#include <atomic>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Soak/Records.h"

/// Callers that submit jobs, and probes of each gateway's readiness and configuration version.
namespace Soak {

/// Addresses and state of a gateway, as its callers use them.
struct GatewayEndpoint
{
    std::string name;
    /// Leads through the proxy.
    std::string callerAddress;
    std::string directAddress;
    std::string probeAddress;
    /// Number of times the gateway's process was started.
    std::atomic<int> incarnation{0};
    /// When that process was started.
    std::atomic<std::int64_t> startedMs{0};
    /// The gateway reported that it is ready, so callers may choose it for new requests.
    std::atomic<bool> isReady{false};
};

/// Path of a queue that exists only in this version of the configuration.
std::string versionQueuePath(std::int64_t version);
/// Queue configuration of this version.
std::string queueConfiguration(std::int64_t version, const std::string &service);

class Load
{
public:
    Load(std::uint64_t seed, std::deque<GatewayEndpoint> &gateways);
    ~Load();
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    void startProbes();
    void startCallers(int count);
    /// From now on gateways are probed for the version, if it was acknowledged.
    void addVersion(const WrittenVersion &written);
    /// Submits no new jobs, and submits open jobs again until \a deadlineMs at the latest. Returns
    /// the jobs whose callers got no answer.
    std::vector<std::string> finish(std::int64_t deadlineMs);
    std::vector<Submission> submissions() const;
    std::vector<ObservedVersion> versions() const;
    std::vector<WrittenVersion> writtenVersions() const;
    std::vector<MissingVersion> missingVersions() const;

private:
    struct Job;

    void runCaller(std::uint64_t seed);
    void submitUntilAnswered(Job &job, Net::HttpClient &client, Common::Random &random,
                             std::size_t &gateway);
    bool submit(const Job &job, Net::HttpClient &client, GatewayEndpoint &gateway);
    std::size_t pickGateway(Common::Random &random) const;
    void runProbe(GatewayEndpoint &gateway);
    void probeVersion(Net::HttpClient &client, GatewayEndpoint &gateway, std::int64_t version);
    bool sleep(std::int64_t ms) const;

    std::uint64_t seed;
    std::deque<GatewayEndpoint> &gateways;
    std::atomic<std::int64_t> newestVersion{0};
    std::atomic<bool> isClosing{false};
    std::atomic<bool> isProbing{true};
    std::atomic<std::int64_t> deadlineMs{NeverMs};
    mutable std::mutex mutex;
    std::vector<Submission> submitted;
    std::vector<ObservedVersion> observedVersions;
    std::vector<WrittenVersion> written;
    std::vector<MissingVersion> missing;
    std::vector<std::string> unanswered;
    std::vector<std::thread> callers;
    std::vector<std::thread> probes;
};

} // namespace Soak
