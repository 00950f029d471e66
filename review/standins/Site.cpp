#include "Site.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

using Json = nlohmann::json;

constexpr const char *Zones[] = {"tunis", "bizerte", "nabeul", "beja"};

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

const char *zoneOf(std::size_t index)
{
    return Zones[index % std::size(Zones)];
}

std::string makeFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return path;
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path);
    file << text;
}

} // namespace

Site::Site(const SiteOptions &options, Record &record)
    : record(record)
    , folder(makeFolder())
{
    for (int index = 0; index < options.gateways; ++index) {
        Gateway gateway;
        gateway.process.name = "edge-" + std::to_string(index + 1);
        gateway.callerPort = freePort();
        gateway.probePort = freePort();
        gateway.peerPort = freePort();
        this->gatewayList.push_back(gateway);
    }
    for (int index = 0; index < options.agents; ++index) {
        Agent agent;
        agent.process.name = "side-" + std::to_string(index + 1);
        agent.registrationPort = freePort();
        agent.workerPort = freePort();
        this->agentList.push_back(agent);
    }
    for (std::size_t index = 0; index < this->gatewayList.size(); ++index) {
        this->startGateway(index);
    }
    for (std::size_t index = 0; index < this->agentList.size(); ++index) {
        this->startAgent(index);
    }
}

Site::~Site()
{
    std::vector<Process> all;
    for (const Gateway &gateway : this->gatewayList) {
        all.push_back(gateway.process);
    }
    for (const Agent &agent : this->agentList) {
        all.push_back(agent.process);
    }
    for (const Process &process : all) {
        if (process.pid > 0) {
            ::kill(process.pid, SIGKILL);
            ::waitpid(process.pid, nullptr, 0);
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    } else {
        this->record.write("logs in " + this->folder);
    }
}

void Site::startGateway(std::size_t index)
{
    Gateway &gateway = this->gatewayList.at(index);
    std::string seeds;
    for (std::size_t other = 0; other < std::min<std::size_t>(3, this->gatewayList.size());
         ++other) {
        seeds +=
                (seeds.empty() ? "" : ", ") + Json(local(this->gatewayList[other].peerPort)).dump();
    }
    // As deploy/gateway.yaml is rendered.
    const std::string settings =
            "name: " + Json(gateway.process.name).dump() + "\nfailureDomain: "
            + Json(zoneOf(index)).dump() + "\nregion: \"tunisie-nord\"\nhost: \"127.0.0.1\""
            + "\ncallerAddress: " + Json(local(gateway.callerPort)).dump()
            + "\nprobeAddress: " + Json(local(gateway.probePort)).dump() + "\npeerAddress: "
            + Json(local(gateway.peerPort)).dump() + "\nmetricsPort: " + std::to_string(freePort())
            + "\nstoreAddress: " + Json(local(this->platformStore.port())).dump()
            + "\nqueuesMaxAgeMs: 2000\nseeds: [" + seeds
            + "]\nlinkMbitPerS: 1000\nprocessors: 0.25\n";
    this->start(gateway.process, "target/bin/auburntrail-gateway", settings);
}

void Site::startAgent(std::size_t index)
{
    Agent &agent = this->agentList.at(index);
    std::string seeds;
    for (std::size_t other = 0; other < std::min<std::size_t>(3, this->gatewayList.size());
         ++other) {
        seeds +=
                (seeds.empty() ? "" : ", ") + Json(local(this->gatewayList[other].peerPort)).dump();
    }
    // As deploy/agent.yaml is rendered.
    const std::string settings =
            "name: " + Json(agent.process.name).dump() + "\nfailureDomain: "
            + Json(zoneOf(index)).dump() + "\nregion: \"tunisie-nord\"\nhost: \"127.0.0.1\""
            + "\nregistrationAddress: " + Json(local(agent.registrationPort)).dump()
            + "\nbackendAddress: " + Json(local(agent.workerPort)).dump() + "\nservice: "
            + Json(ServiceName).dump() + "\nmetricsPort: " + std::to_string(freePort())
            + "\nstoreAddress: " + Json(local(this->platformStore.port())).dump() + "\nseeds: ["
            + seeds + "]\n";
    this->start(agent.process, "target/bin/auburntrail-agent", settings);
}

void Site::start(Process &process, const std::string &program, const std::string &settings)
{
    const std::string base = this->folder + '/' + process.name;
    writeFile(base + ".yaml", settings);
    const std::string log = base + ".log";
    const std::string file = base + ".yaml";
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        // The daemon ends with the case, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(1);
        }
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl(program.c_str(), program.c_str(), "--transient", "--settings", file.c_str(),
                static_cast<char *>(nullptr));
        ::_exit(127);
    }
    process.pid = pid;
    this->record.write("started " + process.name + ": " + program + " --transient --settings FILE");
}

bool Site::waitUntilReady(std::int64_t timeoutMs)
{
    const std::int64_t deadlineMs = nowMs() + timeoutMs;
    for (const Gateway &gateway : this->gatewayList) {
        Call probe;
        probe.port = gateway.probePort;
        probe.path = "/readyz";
        probe.headers = {{"Host", "probe"}};
        while (send(probe).status != 200) {
            if (nowMs() > deadlineMs || !this->endedByThemselves().empty()) {
                return false;
            }
            sleepMs(50);
        }
    }
    this->record.write("all gateways are ready");
    return true;
}

std::vector<std::string> Site::endedByThemselves()
{
    std::vector<std::string> names;
    const auto check = [&](const Process &process) {
        siginfo_t info{};
        if (::waitid(P_PID, static_cast<id_t>(process.pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0
            && info.si_pid != 0) {
            names.push_back(process.name + " (code " + std::to_string(info.si_code) + ", status "
                            + std::to_string(info.si_status) + ')');
        }
    };
    for (const Gateway &gateway : this->gatewayList) {
        check(gateway.process);
    }
    for (const Agent &agent : this->agentList) {
        check(agent.process);
    }
    return names;
}

std::string configText(std::int64_t version, const std::vector<Route> &routes)
{
    Json config{{"version", version},
                {"routes", Json::array()},
                {"services",
                 {{{"name", ServiceName},
                   {"healthPath", "/healthz"},
                   {"maxConns", 64},
                   {"protocol", "h1"},
                   {"preconditions", true}}}},
                {"limits", {{"maxBodyBytes", 262144}}}};
    std::int64_t priority = 0;
    for (const Route &route : routes) {
        config["routes"].push_back({{"name", "r-" + std::to_string(priority)},
                                    {"host", HostName},
                                    {"pathPrefix", route.pathPrefix},
                                    {"kind", "unsafe"},
                                    {"timeoutMs", route.timeoutMs},
                                    {"targetLatencyMs", route.targetLatencyMs},
                                    {"priority", priority},
                                    {"service", ServiceName},
                                    {"maxAttempts", 3},
                                    {"slackFactor", route.slackFactor}});
        ++priority;
    }
    return config.dump();
}

Answer submit(const Job &job, std::uint16_t callerPort, Record &record)
{
    Json steps = Json::array();
    for (int index = 0; index < job.steps; ++index) {
        Json step{{"count", job.tasks}, {"cpu", job.cpu}, {"memMb", 64}, {"estimateMs", job.runMs}};
        if (!job.requiredLabel.empty()) {
            step["requires"] = job.requiredLabel;
        }
        if (index > 0) {
            step["after"] = {index - 1};
        }
        steps.push_back(step);
    }
    Call call;
    call.port = callerPort;
    call.method = "POST";
    call.path = job.pathPrefix + job.id;
    call.headers = {{"Host", HostName},
                    {"Content-Type", "application/json"},
                    {"X-Auburntrail-Deadline-Ms", std::to_string(job.timeLimitMs)}};
    call.body = Json{
            {"spec", Json{{"ms", job.runMs}, {"cpu", job.cpu}}.dump()},
            {"bestEffort", true},
            {"steps",
             steps}}.dump();
    call.timeoutMs = job.timeLimitMs;
    record.write("client POST " + call.path + " requires=" + job.requiredLabel);
    const Answer answer = send(call);
    record.write("client answer to POST " + call.path + ": "
                 + (answer.status == 0 ? "none" : std::to_string(answer.status)) + ' '
                 + answer.body);
    return answer;
}

bool isDisrupted()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace Review
