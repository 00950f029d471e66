#include "Soak/Load.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "UnitTests/Platform/FakePlatform.h"

namespace Soak {

namespace {

using Net::HttpTransport;

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int BadGateway = 502;
constexpr int GatewayTimeout = 504;
constexpr const char *HostHeader = "Host: desk.example";
constexpr std::int64_t LongTimeoutMs = 5000;

struct JobShape
{
    JobKind kind;
    const char *path;
    FakePlatform::CallerJob work;
};

constexpr std::array<JobShape, 4> Shapes{{{JobKind::Quick, "/quick/", {40, 4, false}},
                                          {JobKind::Middle, "/quick/", {200, 2, false}},
                                          {JobKind::Long, "/long/", {900, 2, false}},
                                          {JobKind::Failing, "/quick/", {30, 1, true}}}};

const JobShape &drawShape(Common::Random &random)
{
    constexpr std::int64_t QuickUntil = 50;
    constexpr std::int64_t MiddleUntil = 80;
    constexpr std::int64_t LongUntil = 93;
    const std::int64_t drawn = draw(random, 0, 99);
    if (drawn < QuickUntil) {
        return Shapes[0];
    }
    if (drawn < MiddleUntil) {
        return Shapes[1];
    }
    return drawn < LongUntil ? Shapes[2] : Shapes[3];
}

bool isBroken(const Submission &submitted)
{
    return submitted.transport != HttpTransport::Answered || submitted.status == BadGateway
           || submitted.status == GatewayTimeout;
}

std::string stateOf(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() && json.contains("state") && json["state"].is_string()
                   ? json["state"].get<std::string>()
                   : std::string();
}

} // namespace

struct Load::Job
{
    std::string id;
    const JobShape *shape = nullptr;
    std::int64_t timeoutMs = LongTimeoutMs;
    /// The caller abandons the job after this time; 0 if it waits for the answer.
    std::int64_t abandonsAfterMs = 0;
};

std::string versionQueuePath(std::int64_t version)
{
    return "/mark-" + std::to_string(version) + '/';
}

std::string queueConfiguration(std::int64_t version, const std::string &service)
{
    return FakePlatform::queueRecord(
            version, service, {{"/quick/", 1}, {"/long/", 2}, {versionQueuePath(version), 1}});
}

Load::Load(std::uint64_t seed, std::deque<GatewayEndpoint> &gateways)
    : seed(seed)
    , gateways(gateways)
{}

Load::~Load()
{
    this->finish(0);
}

void Load::startProbes()
{
    for (GatewayEndpoint &gateway : this->gateways) {
        this->probes.emplace_back([this, &gateway] { this->runProbe(gateway); });
    }
}

void Load::startCallers(int count)
{
    constexpr std::uint64_t SeedMultiplier = 7919;
    for (int caller = 0; caller < count; ++caller) {
        const std::uint64_t derivedSeed =
                this->seed * SeedMultiplier + static_cast<std::uint64_t>(caller);
        this->callers.emplace_back([this, derivedSeed] { this->runCaller(derivedSeed); });
    }
}

std::vector<std::string> Load::finish(std::int64_t deadline)
{
    this->deadlineMs = deadline;
    this->isClosing = true;
    for (std::thread &caller : this->callers) {
        caller.join();
    }
    this->callers.clear();
    this->isProbing = false;
    for (std::thread &probe : this->probes) {
        probe.join();
    }
    this->probes.clear();
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->unanswered;
}

std::vector<Submission> Load::submissions() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->submitted;
}

std::vector<ObservedVersion> Load::versions() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->observedVersions;
}

std::vector<WrittenVersion> Load::writtenVersions() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->written;
}

std::vector<MissingVersion> Load::missingVersions() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->missing;
}

void Load::addVersion(const WrittenVersion &version)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->written.push_back(version);
    }
    if (version.acknowledgedMs != NeverMs) {
        this->newestVersion = version.version;
    }
}

void Load::runCaller(std::uint64_t callerSeed)
{
    constexpr std::int64_t MinPauseMs = 50;
    constexpr std::int64_t MaxPauseMs = 450;
    constexpr std::int64_t JobsPerMove = 12;
    constexpr std::int64_t JobsPerAbandonment = 25;
    Common::Random random(callerSeed);
    // One connection, reused while it is open.
    Net::HttpClient client(1);
    std::size_t gateway = this->pickGateway(random);
    while (!this->isClosing) {
        Job job;
        job.id = Common::randomId(random);
        job.shape = &drawShape(random);
        const bool isShort = job.shape->kind != JobKind::Long && draw(random, 0, 1) == 1;
        job.timeoutMs = isShort ? ShortTimeoutMs : LongTimeoutMs;
        if (draw(random, 1, JobsPerAbandonment) == 1) {
            job.abandonsAfterMs = draw(random, MinPauseMs, MaxPauseMs);
        }
        if (draw(random, 1, JobsPerMove) == 1) {
            gateway = this->pickGateway(random);
        }
        this->submitUntilAnswered(job, client, random, gateway);
        std::this_thread::sleep_for(
                std::chrono::milliseconds(draw(random, MinPauseMs, MaxPauseMs)));
    }
}

void Load::submitUntilAnswered(Job &job, Net::HttpClient &client, Common::Random &random,
                               std::size_t &gateway)
{
    while (!this->submit(job, client, this->gateways[gateway])) {
        if (!this->sleep(ResubmitMs)) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->unanswered.push_back(job.id);
            return;
        }
        gateway = this->pickGateway(random);
    }
}

/// Returns whether the caller is done with the job: it got an answer other than 502 or 504, or
/// abandoned the job.
bool Load::submit(const Job &job, Net::HttpClient &client, GatewayEndpoint &gateway)
{
    Net::HttpCall call;
    call.method = "POST";
    call.url = "http://" + gateway.callerAddress + job.shape->path + job.id;
    call.body = FakePlatform::jobBody(job.shape->work);
    call.headers = {HostHeader, FakePlatform::remainingTimeoutHeader(job.timeoutMs)};
    call.timeoutMs = job.abandonsAfterMs > 0 ? job.abandonsAfterMs : job.timeoutMs;
    Submission submitted;
    submitted.job = job.id;
    submitted.kind = job.shape->kind;
    submitted.tasks = job.shape->work.tasks;
    submitted.gateway = gateway.name;
    submitted.sentMs = nowMs();
    const Net::HttpResult result = client.perform(call);
    submitted.endedMs = nowMs();
    submitted.transport = result.transport;
    submitted.status = result.status;
    submitted.state = stateOf(result.body);
    submitted.isAbandoned = job.abandonsAfterMs > 0 && result.transport == HttpTransport::TimedOut;
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->submitted.push_back(submitted);
    return submitted.isAbandoned || !isBroken(submitted);
}

std::size_t Load::pickGateway(Common::Random &random) const
{
    std::vector<std::size_t> ready;
    for (std::size_t index = 0; index < this->gateways.size(); ++index) {
        if (this->gateways[index].isReady) {
            ready.push_back(index);
        }
    }
    const auto drawn = static_cast<std::size_t>(random());
    return ready.empty() ? drawn % this->gateways.size() : ready[drawn % ready.size()];
}

void Load::runProbe(GatewayEndpoint &gateway)
{
    constexpr std::chrono::milliseconds Pause{200};
    Net::HttpClient client(1);
    while (this->isProbing) {
        Net::HttpCall probe;
        probe.url = "http://" + gateway.probeAddress + "/readyz";
        probe.timeoutMs = 1000;
        gateway.isReady = client.perform(probe).status == Ok;
        const std::int64_t newest = this->newestVersion;
        this->probeVersion(client, gateway, newest);
        this->probeVersion(client, gateway, newest - 1);
        std::this_thread::sleep_for(Pause);
    }
}

void Load::probeVersion(Net::HttpClient &client, GatewayEndpoint &gateway, std::int64_t version)
{
    Net::HttpCall call;
    call.url = "http://" + gateway.directAddress + versionQueuePath(version);
    call.headers = {HostHeader};
    call.timeoutMs = 1000;
    const int incarnation = gateway.incarnation;
    const std::int64_t startedMs = gateway.startedMs;
    ObservedVersion answer{gateway.name + '#' + std::to_string(incarnation), version, nowMs(), 0};
    const Net::HttpResult result = client.perform(call);
    answer.answeredMs = nowMs();
    if (gateway.incarnation != incarnation) {
        return;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (result.status == Ok) {
        this->observedVersions.push_back(answer);
    } else if (result.status == NotFound) {
        this->missing.push_back(
                {gateway.name, startedMs, version, answer.requestedMs, answer.answeredMs});
    }
}

/// Returns false if the deadline is reached first.
bool Load::sleep(std::int64_t ms) const
{
    constexpr std::int64_t StepMs = 50;
    const std::int64_t untilMs = nowMs() + ms;
    while (nowMs() < untilMs) {
        if (nowMs() >= this->deadlineMs) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(StepMs));
    }
    return nowMs() < this->deadlineMs;
}

} // namespace Soak
