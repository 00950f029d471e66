#include "DaemonSite.h"

#include <chrono>
#include <utility>

namespace DaemonTests {

namespace {

FakePlatform::BackendOptions optionsOf(Site &site)
{
    FakePlatform::BackendOptions options;
    options.ran = [&site](const FakePlatform::RunEvent &event) {
        if (!event.end) {
            const std::lock_guard<std::mutex> lock(site.runsMutex);
            site.startedTasks.push_back(event.task);
        }
    };
    return options;
}

} // namespace

bool waitFor(const std::function<bool()> &condition)
{
    constexpr int Rounds = 3000;
    constexpr std::chrono::milliseconds Pause{10};
    for (int round = 0; round < Rounds; ++round) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Pause);
    }
    return false;
}

Site::Site(bool hasQueues, const std::string &learned)
    : backend(optionsOf(*this))
{
    if (!learned.empty()) {
        this->store.setLearned("gateway-0", learned);
    }
    if (hasQueues) {
        this->store.setQueues(FakePlatform::oneQueue(7, Service));
    }
    this->startGateway();
    this->startAgent();
}

Site::~Site()
{
    this->stopGateway();
    if (this->agentThread.joinable()) {
        this->agent->requestStop();
        this->agentThread.join();
    }
}

void Site::startGateway()
{
    Schema::TransientGatewaySettings settings;
    settings.name = "gateway-1";
    settings.host = "127.0.0.1";
    settings.callerAddress = this->callers;
    settings.probeAddress = this->probes;
    settings.peerAddress = this->peers;
    settings.storeAddress = this->store.address();
    settings.maxBodyBytes = 262'144;
    settings.heartbeatMs = 250;
    settings.gatewayLinks = 4;
    settings.queuesMaxAgeMs = 2000;
    settings.evacuationsMaxAgeMs = 5000;
    settings.failureDomain = FailureDomain;
    // Long, since the machine that runs the test may be busy.
    settings.silenceMs = 5000;
    settings.leaseMs = 700;
    settings.stopTimeoutMs = 20'000;
    this->gateway = Gateway::TransientDaemonBuilder().settings(settings).build();
    this->gatewayThread = std::thread([this] { this->stoppedCleanly = this->gateway->run(); });
}

void Site::startAgent()
{
    Schema::TransientAgentSettings settings;
    settings.name = "agent-1";
    settings.host = "127.0.0.1";
    settings.registrationAddress = this->registration;
    settings.backendAddress = this->backend.address();
    settings.service = Service;
    settings.storeAddress = this->store.address();
    settings.seeds = {this->peers};
    settings.heartbeatMs = 250;
    settings.gatewayLinks = 8;
    settings.evacuationsMaxAgeMs = 5000;
    settings.failureDomain = FailureDomain;
    settings.silenceMs = 5000;
    settings.leaseMs = 900;
    settings.stopTimeoutMs = 5000;
    this->agent = Runner::RunnerDaemonBuilder().settings(settings).build();
    this->agentThread = std::thread([this] { this->agent->run(); });
}

void Site::stopGateway()
{
    if (this->gatewayThread.joinable()) {
        this->gateway->requestStop();
        this->gatewayThread.join();
    }
}

Net::HttpResult Site::call(const std::string &method, const std::string &path,
                           const std::string &body, std::int64_t timeoutMs)
{
    Net::HttpClient client(1);
    Net::HttpCall made;
    made.method = method;
    made.url = "http://" + this->callers + path;
    made.body = body;
    made.headers = {"Host: desk.example"};
    made.timeoutMs = timeoutMs;
    return client.perform(made);
}

bool Site::isReady() const
{
    Net::HttpClient client(1);
    Net::HttpCall probe;
    probe.url = "http://" + this->probes + "/readyz";
    return client.perform(probe).status == 200;
}

bool Site::serves()
{
    return this->backend.announce(this->registration, Service, false)
           && waitFor([this] { return this->isReady(); }) && waitFor([this] {
                  return this->call("POST", "/checks/00000000000000aa", shortJob()).status == 200;
              });
}

std::string Site::shortJob()
{
    return R"({"bestEffort":true,"spec":"30 1","steps":[{"count":3,"cpu":1000,"estimateMs":30}]})";
}

std::string Site::longJob()
{
    return R"({"bestEffort":true,"spec":"1500 1","steps":[{"count":2,"cpu":1000,"estimateMs":1500}]})";
}

std::vector<std::string> Site::takeStartedTasks()
{
    const std::lock_guard<std::mutex> lock(this->runsMutex);
    return std::exchange(this->startedTasks, {});
}

} // namespace DaemonTests
