#include "Sites.h"

#include <chrono>
#include <functional>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <utility>

#include "Net/Net.h"

namespace ResourceLimits {

namespace {

using FakePlatform::loopback;

constexpr const char *Service = "desk";
constexpr int Ok = 200;
constexpr std::int64_t ShortRunMs = 30;
/// Upper limit of a call; far above what any needs.
constexpr std::int64_t CallTimeoutMs = 20'000;

std::string line(const std::string &name, const std::string &value)
{
    return name + ": \"" + value + '"';
}

std::string line(const std::string &name, int value)
{
    return name + ": " + std::to_string(value);
}

std::string jobId(std::uint64_t number)
{
    constexpr int Digits = 16;
    std::ostringstream text;
    text << std::hex << std::setw(Digits) << std::setfill('0') << number;
    return text.str();
}

/// Prints what a site that does not serve was waiting for. Returns \a isDone.
bool reportUnless(bool isDone, const char *awaited, Program &gateway, Program &agent)
{
    if (!isDone) {
        std::cerr << "The site does not serve, " << awaited << ".\n"
                  << gateway.describe() << agent.describe();
    }
    return isDone;
}

} // namespace

bool waitFor(const std::function<bool()> &condition)
{
    constexpr int Rounds = 300;
    constexpr std::chrono::milliseconds Pause{100};
    for (int round = 0; round < Rounds; ++round) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Pause);
    }
    return false;
}

Net::HttpResult call(std::uint16_t port, const std::string &method, const std::string &path,
                     const std::string &body)
{
    Net::HttpClient client(1);
    Net::HttpCall made;
    made.method = method;
    made.url = "http://" + loopback(port) + path;
    made.body = body;
    made.headers = {"Host: desk.example"};
    made.timeoutMs = CallTimeoutMs;
    return client.perform(made);
}

TransientProcesses::TransientProcesses(std::size_t maxDescriptors,
                                       std::vector<std::string> moreHosts)
    : moreHosts(std::move(moreHosts))
    , backend(std::make_unique<FakePlatform::BackendServer>(this->backendOptions()))
    , gateway(this->gatewayStart(maxDescriptors))
    , agent(this->agentStart(maxDescriptors))
{
    this->store.setQueues(FakePlatform::oneQueue(1, Service));
}

FakePlatform::BackendOptions TransientProcesses::backendOptions()
{
    FakePlatform::BackendOptions options;
    options.ran = [this](const FakePlatform::RunEvent &event) {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->startedJobs.insert(event.task.substr(0, event.task.find('.')));
    };
    return options;
}

Program::Start TransientProcesses::gatewayStart(std::size_t maxDescriptors) const
{
    Program::Start start;
    start.program = "auburntrail-gateway";
    start.options = {"--transient"};
    start.settings = {line("name", "gateway-1"), line("callerAddress", loopback(this->callers)),
                      line("probeAddress", loopback(this->probes)),
                      line("peerAddress", loopback(this->links)),
                      line("metricsPort", this->gatewayMetrics),
                      line("storeAddress", this->store.address()),
                      // Long, since the machine that runs the test may be slow.
                      line("silenceMs", 5000)};
    start.directory = this->folder.path();
    start.maxDescriptors = maxDescriptors;
    return start;
}

Program::Start TransientProcesses::agentStart(std::size_t maxDescriptors) const
{
    std::string seeds = '"' + loopback(this->links) + '"';
    for (const std::string &host : this->moreHosts) {
        seeds += ", \"" + host + ':' + std::to_string(this->links) + '"';
    }
    Program::Start start;
    start.program = "auburntrail-agent";
    start.options = {"--transient"};
    start.settings = {line("name", "agent-1"),
                      line("registrationAddress", loopback(this->registration)),
                      line("backendAddress", this->backend->address()),
                      line("service", Service),
                      line("metricsPort", this->agentMetrics),
                      line("storeAddress", this->store.address()),
                      "seeds: [" + seeds + "]",
                      line("silenceMs", 5000)};
    start.directory = this->folder.path();
    start.maxDescriptors = maxDescriptors;
    return start;
}

bool TransientProcesses::serves()
{
    const bool isAnnounced = waitFor([this] {
        return this->backend->announce(loopback(this->registration), Service, false);
    });
    return reportUnless(isAnnounced, "no announcement is acknowledged", this->gateway, this->agent)
           && this->servesJob();
}

bool TransientProcesses::servesJob()
{
    int status = 0;
    const bool isServed = waitFor([this, &status] {
        status = this->submitJob();
        return status == Ok;
    });
    return reportUnless(isServed, ("a job is answered " + std::to_string(status)).c_str(),
                        this->gateway, this->agent);
}

int TransientProcesses::submitJob()
{
    return this->submit({ShortRunMs});
}

int TransientProcesses::submitLongJob()
{
    constexpr std::int64_t RunMs = 1000;
    return this->submit({RunMs});
}

int TransientProcesses::submitJobFor(const std::string &label)
{
    FakePlatform::CallerJob job{ShortRunMs};
    job.requiredLabel = label.c_str();
    return this->submit(job);
}

int TransientProcesses::submit(const FakePlatform::CallerJob &job)
{
    const std::string id = jobId(++this->lastJob);
    return call(this->callers, "POST", "/checks/" + id, FakePlatform::jobBody(job)).status;
}

void TransientProcesses::restartBackend(std::vector<std::string> labels)
{
    FakePlatform::BackendOptions options = this->backendOptions();
    options.port = this->backend->port();
    options.labels = std::move(labels);
    this->backend.reset();
    this->backend = std::make_unique<FakePlatform::BackendServer>(std::move(options));
}

std::string TransientProcesses::lastJobId() const
{
    return jobId(this->lastJob);
}

int TransientProcesses::probe() const
{
    return call(this->probes, "GET", "/readyz").status;
}

bool TransientProcesses::hasStarted(const std::string &id)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->startedJobs.count(id) > 0;
}

JournaledProcesses::JournaledProcesses(std::size_t maxDescriptors)
    : log(StandIn::FakeLogServerBuilder().threads(2).build())
    , backend(StandIn::FakeBackendServerBuilder().threads(2).build())
    , gateway(this->gatewayStart(maxDescriptors))
    , agent(this->agentStart(maxDescriptors))
{}

Program::Start JournaledProcesses::gatewayStart(std::size_t maxDescriptors) const
{
    Program::Start start;
    start.program = "auburntrail-gateway";
    start.settings = {line("name", "gateway-1"), line("httpPort", this->http),
                      line("peerPort", this->links), line("logUrl", this->log->url())};
    start.directory = this->folder.path();
    start.maxDescriptors = maxDescriptors;
    return start;
}

Program::Start JournaledProcesses::agentStart(std::size_t maxDescriptors) const
{
    Program::Start start;
    start.program = "auburntrail-agent";
    start.settings = {line("name", "agent-1"), "gateways: [\"" + loopback(this->links) + "\"]",
                      line("backendUrl", this->backend->url()),
                      line("metricsPort", this->agentMetrics)};
    start.directory = this->folder.path();
    start.maxDescriptors = maxDescriptors;
    return start;
}

bool JournaledProcesses::configure()
{
    using Json = nlohmann::json;
    const Json changes[] = {
            {{"kind", "service"},
             {"name", Service},
             {"remove", false},
             {"service", {{"name", Service}, {"expectedRunMs", 30}}}},
            {{"kind", "team"},
             {"name", "repair"},
             {"remove", false},
             {"team", {{"name", "repair"}, {"weight", 1}, {"quota", 0}}}},
    };
    for (const Json &change : changes) {
        const Json current =
                Json::parse(call(this->http, "GET", "/v1/config").body, nullptr, false);
        const std::int64_t version = current.is_object() ? current.value("version", 0) : 0;
        const Json body = {{"basedOn", version}, {"change", change}};
        if (call(this->http, "POST", "/v1/config", body.dump()).status != Ok) {
            return false;
        }
    }
    return true;
}

bool JournaledProcesses::serves()
{
    const bool isReady = waitFor([this] { return call(this->http, "GET", "/ready").status == Ok; });
    const bool isConfigured = isReady && waitFor([this] { return this->configure(); });
    return reportUnless(isReady, "the gateway is not ready", this->gateway, this->agent)
           && reportUnless(isConfigured, "no configuration is taken", this->gateway, this->agent)
           && this->servesJob();
}

bool JournaledProcesses::servesJob()
{
    const bool isServed = waitFor([this] { return this->submitJob() == Ok; });
    return reportUnless(isServed, "no job is served", this->gateway, this->agent);
}

int JournaledProcesses::submitJob()
{
    const nlohmann::json job = {{"team", "repair"},
                                {"caller", "patrol"},
                                {"service", Service},
                                {"tasks", {{{"payload", "{\"runMs\":30}"}}}}};
    return call(this->http, "POST", "/v1/jobs", job.dump()).status;
}

} // namespace ResourceLimits
