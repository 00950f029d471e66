#include "Soak/Load.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "UnitTests/Platform/FakePlatform.h"

namespace Soak {

namespace {

using Net::HttpTransport;

constexpr int Ok = 200;
constexpr int BadGateway = 502;
constexpr int GatewayTimeout = 504;
constexpr const char *HostHeader = "Host: desk.example";
constexpr std::int64_t PatienceMs = 5000;
/// After a broken connection, 502, 504 or no answer.
constexpr std::int64_t ResubmitMs = 1300;

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

bool isBroken(const Submission &made)
{
    return made.transport != HttpTransport::Answered || made.status == BadGateway
           || made.status == GatewayTimeout;
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
    /// The caller goes for good after so long; 0 where it waits.
    std::int64_t leavesAfterMs = 0;
};

std::string markOf(std::int64_t version)
{
    return "/mark-" + std::to_string(version) + '/';
}

std::string queuesOf(std::int64_t version, const std::string &service)
{
    return FakePlatform::queueRecord(version, service,
                                     {{"/quick/", 1}, {"/long/", 2}, {markOf(version), 1}});
}

Load::Load(std::uint64_t seed, std::deque<GatewayFace> &gateways)
    : seed(seed)
    , gateways(gateways)
{}

Load::~Load()
{
    this->finish(0);
}

void Load::startProbes()
{
    for (GatewayFace &gateway : this->gateways) {
        this->probes.emplace_back([this, &gateway] { this->runProbe(gateway); });
    }
}

void Load::startCallers(int count)
{
    constexpr std::uint64_t Spread = 7919;
    for (int caller = 0; caller < count; ++caller) {
        const std::uint64_t own = this->seed * Spread + static_cast<std::uint64_t>(caller);
        this->callers.emplace_back([this, own] { this->runCaller(own); });
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
    return this->made;
}

std::vector<VersionSeen> Load::versions() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->seen;
}

void Load::runCaller(std::uint64_t callerSeed)
{
    constexpr std::int64_t ShortestPauseMs = 50;
    constexpr std::int64_t LongestPauseMs = 450;
    constexpr std::int64_t MoveShare = 12;
    constexpr std::int64_t LeaveShare = 25;
    Common::Random random(callerSeed);
    // One connection, used for as long as it is open.
    Net::HttpClient client(1);
    std::size_t gateway = this->pickGateway(random);
    while (!this->isClosing) {
        Job job;
        job.id = Common::randomId(random);
        job.shape = &drawShape(random);
        if (draw(random, 1, LeaveShare) == 1) {
            job.leavesAfterMs = draw(random, ShortestPauseMs, LongestPauseMs);
        }
        if (draw(random, 1, MoveShare) == 1) {
            gateway = this->pickGateway(random);
        }
        this->submitUntilAnswered(job, client, random, gateway);
        std::this_thread::sleep_for(
                std::chrono::milliseconds(draw(random, ShortestPauseMs, LongestPauseMs)));
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

/// True where the caller is done with the job.
bool Load::submit(const Job &job, Net::HttpClient &client, GatewayFace &gateway)
{
    Net::HttpCall call;
    call.method = "POST";
    call.url = "http://" + gateway.callerAddress + job.shape->path + job.id;
    call.body = FakePlatform::jobBody(job.shape->work);
    call.headers = {HostHeader, FakePlatform::remainingTimeoutHeader(PatienceMs)};
    call.timeoutMs = job.leavesAfterMs > 0 ? job.leavesAfterMs : PatienceMs;
    Submission made;
    made.job = job.id;
    made.kind = job.shape->kind;
    made.tasks = job.shape->work.tasks;
    made.gateway = gateway.name;
    made.sentMs = nowMs();
    const Net::HttpResult result = client.perform(call);
    made.endedMs = nowMs();
    made.transport = result.transport;
    made.status = result.status;
    made.state = stateOf(result.body);
    made.hasLeft = job.leavesAfterMs > 0 && result.transport == HttpTransport::TimedOut;
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->made.push_back(made);
    return made.hasLeft || !isBroken(made);
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

void Load::runProbe(GatewayFace &gateway)
{
    constexpr std::chrono::milliseconds Pause{200};
    Net::HttpClient client(1);
    while (this->isProbing) {
        Net::HttpCall probe;
        probe.url = "http://" + gateway.probeAddress + "/readyz";
        probe.timeoutMs = 1000;
        gateway.isReady = client.perform(probe).status == Ok;
        const std::int64_t newest = this->newestVersion;
        this->askVersion(client, gateway, newest);
        this->askVersion(client, gateway, newest - 1);
        std::this_thread::sleep_for(Pause);
    }
}

void Load::askVersion(Net::HttpClient &client, GatewayFace &gateway, std::int64_t version)
{
    Net::HttpCall call;
    call.url = "http://" + gateway.directAddress + markOf(version);
    call.headers = {HostHeader};
    call.timeoutMs = 1000;
    const int life = gateway.life;
    VersionSeen answer{gateway.name + '#' + std::to_string(life), version, nowMs(), 0};
    const Net::HttpResult result = client.perform(call);
    answer.answeredMs = nowMs();
    if (result.status == Ok && gateway.life == life) {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->seen.push_back(answer);
    }
}

/// False where the deadline comes first.
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
