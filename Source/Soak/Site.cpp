#include "Soak/Site.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace Soak {

namespace {

constexpr int MaxProxiedPairs = 100;
constexpr int SeedGateways = 2;
constexpr int MaxCommandConnections = 4;

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string setting(const std::string &name, const std::string &value)
{
    return name + ": \"" + value + '"';
}

std::string seedList(const std::vector<std::uint16_t> &ports)
{
    std::string list;
    for (const std::uint16_t port : ports) {
        list += list.empty() ? "\"" : ", \"";
        list += loopback(port);
        list += '"';
    }
    return "seeds: [" + list + ']';
}

} // namespace

Site::Site(SiteOptions siteOptions)
    : options(std::move(siteOptions))
    , hasProxiedPeers(this->options.seed % 2 == 0
                      && this->options.gateways * this->options.agents <= MaxProxiedPairs)
    , ports(Common::hash64(this->options.directory))
    , commands(MaxCommandConnections)
{
    for (const char *folder : {"settings", "logs", "events"}) {
        std::filesystem::create_directories(this->options.directory + '/' + folder);
    }
    for (int number = 0; number < this->options.gateways; ++number) {
        this->peerPorts.push_back(this->ports.allocate());
    }
    this->addStore();
    for (int number = 0; number < this->options.gateways; ++number) {
        this->addGateway(number);
    }
    for (int number = 0; number < this->options.agents; ++number) {
        this->addBackend(number);
        this->addAgent(number);
    }
}

Site::~Site() = default;

std::string Site::path(const std::string &folder, const std::string &file) const
{
    return this->options.directory + '/' + folder + '/' + file;
}

SiteProcess &Site::siteProcess(const std::string &name)
{
    return this->siteProcesses.at(name);
}

std::uint16_t Site::addLink(const std::string &name, std::uint16_t targetPort)
{
    const std::uint16_t port = this->ports.allocate();
    this->relays.add(name, port, targetPort);
    this->links.push_back(name);
    return port;
}

void Site::addProgram(const std::string &name, std::vector<std::string> command)
{
    SiteProcess &siteProcess = this->siteProcesses[name];
    siteProcess.name = name;
    siteProcess.process =
            std::make_unique<ChildProcess>(std::move(command), this->path("logs", name + ".log"));
}

void Site::addStore()
{
    this->storePort = this->ports.allocate();
    this->controlPorts["store"] = this->ports.allocate();
    std::vector<std::string> command{this->options.program,
                                     "store",
                                     "--port",
                                     std::to_string(this->storePort),
                                     "--control-port",
                                     std::to_string(this->controlPorts["store"])};
    if (this->hasProxiedPeers) {
        command.emplace_back("--hide-gateways");
    }
    this->addProgram("store", command);
}

void Site::addGateway(int number)
{
    const std::string name = processName("gateway", number);
    const std::uint16_t callerPort = this->ports.allocate();
    const std::uint16_t probePort = this->ports.allocate();
    GatewayEndpoint &endpoint = this->endpoints.emplace_back();
    endpoint.name = name;
    endpoint.directAddress = loopback(callerPort);
    endpoint.probeAddress = loopback(probePort);
    endpoint.callerAddress = loopback(this->addLink(name + "/caller", callerPort));
    std::vector<std::uint16_t> seeds(this->peerPorts.begin(),
                                     this->peerPorts.begin()
                                             + std::min<int>(SeedGateways, this->options.gateways));
    if (this->hasProxiedPeers) {
        seeds.clear();
    }
    const auto index = static_cast<std::size_t>(number);
    this->writeSettings(name, {setting("failureDomain", failureDomainOf(number)),
                               setting("callerAddress", loopback(callerPort)),
                               setting("probeAddress", loopback(probePort)),
                               setting("peerAddress", loopback(this->peerPorts[index])),
                               setting("storeAddress",
                                       loopback(this->addLink(name + "/store", this->storePort))),
                               seedList(seeds)});
    this->addProgram(name, {this->options.binaries + "/auburntrail-gateway", "--transient",
                            "--settings", this->path("settings", name + ".yaml")});
}

void Site::addAgent(int number)
{
    const std::string name = processName("agent", number);
    std::vector<std::uint16_t> seeds;
    for (std::size_t gateway = 0; gateway < this->peerPorts.size(); ++gateway) {
        if (this->hasProxiedPeers) {
            const std::string peer = processName("gateway", static_cast<int>(gateway));
            std::string link = name;
            link += '/';
            link += peer;
            seeds.push_back(this->addLink(link, this->peerPorts[gateway]));
        } else if (gateway < SeedGateways) {
            seeds.push_back(this->peerPorts[gateway]);
        }
    }
    const std::uint16_t registrationPort = this->ports.allocate();
    const std::uint16_t announcedPort = this->addLink(name + "/registration", registrationPort);
    this->writeSettings(name, {setting("failureDomain", failureDomainOf(number)),
                               setting("registrationAddress", loopback(registrationPort)),
                               setting("backendAddress", loopback(this->backendLinkPorts.back())),
                               setting("service", SoakService),
                               setting("storeAddress",
                                       loopback(this->addLink(name + "/store", this->storePort))),
                               seedList(seeds)});
    this->addProgram(name, {this->options.binaries + "/auburntrail-agent", "--transient",
                            "--settings", this->path("settings", name + ".yaml")});
    const std::string backend = processName("backend", number);
    std::vector<std::string> &command = this->backendCommands[backend];
    command.insert(command.end(), {"--registration", loopback(announcedPort)});
}

void Site::addBackend(int number)
{
    const std::string name = processName("backend", number);
    const std::uint16_t port = this->ports.allocate();
    this->controlPorts[name] = this->ports.allocate();
    this->backendLinkPorts.push_back(
            this->addLink(processName("agent", number) + "/backend", port));
    this->siteProcesses[name].name = name;
    this->backendCommands[name] = {this->options.program,
                                   "backend",
                                   "--port",
                                   std::to_string(port),
                                   "--control-port",
                                   std::to_string(this->controlPorts[name]),
                                   "--id",
                                   name,
                                   "--service",
                                   SoakService,
                                   "--announced",
                                   loopback(this->backendLinkPorts.back())};
}

void Site::writeSettings(const std::string &name, const std::vector<std::string> &lines) const
{
    std::ofstream file(this->path("settings", name + ".yaml"));
    file << setting("name", name) << "\nfailureDomain: \"tunis\"\nregion: \"north\"\n"
         << "host: \"127.0.0.1\"\nmetricsPort: 0\n";
    for (const std::string &line : lines) {
        file << line << '\n';
    }
}

void Site::launch(SiteProcess &siteProcess)
{
    ++siteProcess.incarnation;
    siteProcess.isEndExpected = false;
    siteProcess.hasBeenFrozen = false;
    siteProcess.stoppingSinceMs = 0;
    siteProcess.restartMs = NeverMs;
    const auto command = this->backendCommands.find(siteProcess.name);
    if (command != this->backendCommands.end()) {
        const std::string events = this->path(
                "events", siteProcess.name + '.' + std::to_string(siteProcess.incarnation));
        std::vector<std::string> arguments = command->second;
        arguments.insert(arguments.end(), {"--events", events, "--clock-step",
                                           std::to_string(this->drawClockStepMs(siteProcess))});
        this->incarnationFiles.push_back({siteProcess.name, events, NeverMs});
        this->addProgram(siteProcess.name, arguments);
    }
    for (GatewayEndpoint &endpoint : this->endpoints) {
        if (endpoint.name == siteProcess.name) {
            endpoint.startedMs = nowMs();
            ++endpoint.incarnation;
        }
    }
    siteProcess.process->start();
}

std::int64_t Site::drawClockStepMs(const SiteProcess &siteProcess) const
{
    constexpr std::int64_t MaxSkewMs = 5000;
    Common::Random random(Common::hash64(siteProcess.name) + this->options.seed
                          + static_cast<std::uint64_t>(siteProcess.incarnation));
    return draw(random, -MaxSkewMs, MaxSkewMs);
}

void Site::start()
{
    this->launch(this->siteProcess("store"));
    constexpr int Attempts = 100;
    constexpr std::chrono::milliseconds Pause{100};
    for (int attempt = 0; !this->command("store", "/queues", queueConfiguration(1, SoakService));
         ++attempt) {
        if (attempt == Attempts) {
            throw std::runtime_error("the stand-in store does not answer");
        }
        std::this_thread::sleep_for(Pause);
    }
    for (auto &[name, siteProcess] : this->siteProcesses) {
        if (!siteProcess.process || !siteProcess.process->isRunning()) {
            this->launch(siteProcess);
        }
    }
}

void Site::tick()
{
    const std::int64_t now = nowMs();
    for (auto &[name, siteProcess] : this->siteProcesses) {
        if (now >= siteProcess.resumeMs) {
            siteProcess.resumeMs = NeverMs;
            siteProcess.process->signal(SIGCONT);
        }
        if (siteProcess.stoppingSinceMs != 0 && now >= siteProcess.stoppingSinceMs + ExitTimeoutMs
            && siteProcess.process->isRunning()) {
            if (!siteProcess.hasBeenFrozen) {
                this->found.push_back(
                        {Invariant::GracefulStop, now, name + " did not stop in time"});
            }
            siteProcess.stoppingSinceMs = 0;
            siteProcess.process->signal(SIGKILL);
        }
        this->reap(siteProcess, now);
        if (now >= siteProcess.restartMs) {
            this->launch(siteProcess);
        }
    }
}

void Site::reap(SiteProcess &siteProcess, std::int64_t now)
{
    const std::optional<ExitStatus> exitStatus = siteProcess.process->poll();
    if (!exitStatus) {
        return;
    }
    siteProcess.resumeMs = NeverMs;
    siteProcess.restartMs = now + siteProcess.pauseMs;
    if (!siteProcess.isEndExpected) {
        this->found.push_back({Invariant::NoUnexpectedExit, now,
                               siteProcess.name
                                       + (exitStatus->isSignalled ? " by signal " : " with code ")
                                       + std::to_string(exitStatus->code)});
    }
    for (IncarnationFile &file : this->incarnationFiles) {
        if (file.server == siteProcess.name && file.processEndMs == NeverMs) {
            file.processEndMs = now;
        }
    }
}

bool Site::isFullyRunning() const
{
    for (const auto &[name, siteProcess] : this->siteProcesses) {
        if (!siteProcess.process->isRunning() || siteProcess.isEndExpected
            || siteProcess.resumeMs != NeverMs) {
            return false;
        }
    }
    return true;
}

void Site::stop()
{
    for (auto &[name, siteProcess] : this->siteProcesses) {
        siteProcess.isEndExpected = true;
        siteProcess.process->signal(SIGCONT);
        siteProcess.process->signal(SIGTERM);
    }
    const std::int64_t untilMs = nowMs() + ExitTimeoutMs;
    bool isRunning = true;
    while (isRunning && nowMs() < untilMs) {
        constexpr std::chrono::milliseconds Pause{20};
        std::this_thread::sleep_for(Pause);
        isRunning = false;
        for (auto &[name, siteProcess] : this->siteProcesses) {
            this->reap(siteProcess, nowMs());
            isRunning = isRunning || siteProcess.process->isRunning();
        }
    }
    for (auto &[name, siteProcess] : this->siteProcesses) {
        siteProcess.process.reset();
    }
}

bool Site::term(const std::string &name, std::int64_t pauseMs)
{
    SiteProcess &siteProcess = this->siteProcess(name);
    if (!siteProcess.process->isRunning() || siteProcess.isEndExpected) {
        return false;
    }
    siteProcess.isEndExpected = true;
    siteProcess.hasBeenFrozen = siteProcess.resumeMs != NeverMs;
    siteProcess.stoppingSinceMs = nowMs();
    siteProcess.pauseMs = pauseMs;
    siteProcess.process->signal(SIGTERM);
    return true;
}

bool Site::kill(const std::string &name, std::int64_t pauseMs)
{
    SiteProcess &siteProcess = this->siteProcess(name);
    if (!siteProcess.process->isRunning()) {
        return false;
    }
    siteProcess.isEndExpected = true;
    siteProcess.stoppingSinceMs = 0;
    siteProcess.pauseMs = pauseMs;
    for (IncarnationFile &file : this->incarnationFiles) {
        if (file.server == name && file.processEndMs == NeverMs) {
            file.processEndMs = nowMs();
        }
    }
    siteProcess.process->signal(SIGKILL);
    return true;
}

bool Site::freeze(const std::string &name, std::int64_t forMs)
{
    SiteProcess &siteProcess = this->siteProcess(name);
    if (!siteProcess.process->isRunning() || siteProcess.resumeMs != NeverMs) {
        return false;
    }
    siteProcess.resumeMs = nowMs() + forMs;
    siteProcess.hasBeenFrozen = true;
    siteProcess.process->signal(SIGSTOP);
    return true;
}

bool Site::leave(const std::string &backend, std::int64_t pauseMs)
{
    SiteProcess &siteProcess = this->siteProcess(backend);
    if (!siteProcess.process->isRunning() || siteProcess.isEndExpected
        || !this->command(backend, "/leave")) {
        return false;
    }
    siteProcess.isEndExpected = true;
    siteProcess.pauseMs = pauseMs;
    return true;
}

bool Site::command(const std::string &name, const std::string &command, const std::string &body)
{
    constexpr int Ok = 200;
    Net::HttpCall call;
    call.method = "POST";
    call.url = "http://" + loopback(this->controlPorts.at(name)) + command;
    call.body = body;
    call.timeoutMs = 1000;
    return this->commands.perform(call).status == Ok;
}

std::vector<std::string> Site::gatewayNames() const
{
    std::vector<std::string> names;
    for (const GatewayEndpoint &endpoint : this->endpoints) {
        names.push_back(endpoint.name);
    }
    return names;
}

std::vector<BackendIncarnation> Site::backendIncarnations() const
{
    std::vector<BackendIncarnation> incarnations;
    for (const IncarnationFile &incarnation : this->incarnationFiles) {
        std::ifstream file(incarnation.path);
        incarnations.push_back(readIncarnation(file, incarnation.server, incarnation.processEndMs));
    }
    return incarnations;
}

} // namespace Soak
