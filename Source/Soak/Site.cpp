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

std::string numbered(const char *role, int number)
{
    return std::string(role) + '-' + std::to_string(number);
}

Site::Site(SiteOptions chosen)
    : options(std::move(chosen))
    , hasProxiedPeers(this->options.seed % 2 == 0
                      && this->options.gateways * this->options.agents <= MaxProxiedPairs)
    , ports(Common::hash64(this->options.directory))
    , commands(MaxCommandConnections)
{
    for (const char *folder : {"settings", "logs", "events"}) {
        std::filesystem::create_directories(this->options.directory + '/' + folder);
    }
    for (int number = 0; number < this->options.gateways; ++number) {
        this->peerPorts.push_back(this->ports.take());
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

Station &Site::station(const std::string &name)
{
    return this->stations.at(name);
}

std::uint16_t Site::addLink(const std::string &name, std::uint16_t targetPort)
{
    const std::uint16_t port = this->ports.take();
    this->relays.add(name, port, targetPort);
    this->links.push_back(name);
    return port;
}

void Site::addProgram(const std::string &name, std::vector<std::string> command)
{
    Station &station = this->stations[name];
    station.name = name;
    station.process =
            std::make_unique<ChildProcess>(std::move(command), this->path("logs", name + ".log"));
}

void Site::addStore()
{
    this->storePort = this->ports.take();
    this->controlPorts["store"] = this->ports.take();
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
    const std::string name = numbered("gateway", number);
    const std::uint16_t callerPort = this->ports.take();
    const std::uint16_t probePort = this->ports.take();
    GatewayFace &face = this->faces.emplace_back();
    face.name = name;
    face.directAddress = loopback(callerPort);
    face.probeAddress = loopback(probePort);
    face.callerAddress = loopback(this->addLink(name + "/caller", callerPort));
    std::vector<std::uint16_t> seeds(this->peerPorts.begin(),
                                     this->peerPorts.begin()
                                             + std::min<int>(SeedGateways, this->options.gateways));
    if (this->hasProxiedPeers) {
        seeds.clear();
    }
    const auto index = static_cast<std::size_t>(number);
    this->writeSettings(name, {setting("callerAddress", loopback(callerPort)),
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
    const std::string name = numbered("agent", number);
    std::vector<std::uint16_t> seeds;
    for (std::size_t gateway = 0; gateway < this->peerPorts.size(); ++gateway) {
        if (this->hasProxiedPeers) {
            const std::string peer = numbered("gateway", static_cast<int>(gateway));
            std::string link = name;
            link += '/';
            link += peer;
            seeds.push_back(this->addLink(link, this->peerPorts[gateway]));
        } else if (gateway < SeedGateways) {
            seeds.push_back(this->peerPorts[gateway]);
        }
    }
    const std::uint16_t registrationPort = this->ports.take();
    const std::uint16_t announcedPort = this->addLink(name + "/registration", registrationPort);
    this->writeSettings(name, {setting("registrationAddress", loopback(registrationPort)),
                               setting("backendAddress", loopback(this->backendLinkPorts.back())),
                               setting("service", SoakService),
                               setting("storeAddress",
                                       loopback(this->addLink(name + "/store", this->storePort))),
                               seedList(seeds)});
    this->addProgram(name, {this->options.binaries + "/auburntrail-agent", "--transient",
                            "--settings", this->path("settings", name + ".yaml")});
    const std::string backend = numbered("backend", number);
    std::vector<std::string> &command = this->backendCommands[backend];
    command.insert(command.end(), {"--registration", loopback(announcedPort)});
}

void Site::addBackend(int number)
{
    const std::string name = numbered("backend", number);
    const std::uint16_t port = this->ports.take();
    this->controlPorts[name] = this->ports.take();
    this->backendLinkPorts.push_back(this->addLink(numbered("agent", number) + "/backend", port));
    this->stations[name].name = name;
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

void Site::launch(Station &station)
{
    ++station.life;
    station.isEndExpected = false;
    station.hasBeenFrozen = false;
    station.stoppingSinceMs = 0;
    station.restartMs = NeverMs;
    const auto command = this->backendCommands.find(station.name);
    if (command != this->backendCommands.end()) {
        const std::string events =
                this->path("events", station.name + '.' + std::to_string(station.life));
        std::vector<std::string> arguments = command->second;
        arguments.insert(arguments.end(), {"--events", events});
        this->lifeFiles.push_back({station.name, events, NeverMs});
        this->addProgram(station.name, arguments);
    }
    for (GatewayFace &face : this->faces) {
        if (face.name == station.name) {
            ++face.life;
        }
    }
    station.process->start();
}

void Site::start()
{
    this->launch(this->station("store"));
    constexpr int Attempts = 100;
    constexpr std::chrono::milliseconds Pause{100};
    for (int attempt = 0; !this->command("store", "/queues", queuesOf(1, SoakService)); ++attempt) {
        if (attempt == Attempts) {
            throw std::runtime_error("the store's stand-in does not answer");
        }
        std::this_thread::sleep_for(Pause);
    }
    for (auto &[name, station] : this->stations) {
        if (!station.process || !station.process->isRunning()) {
            this->launch(station);
        }
    }
}

void Site::tick()
{
    const std::int64_t now = nowMs();
    for (auto &[name, station] : this->stations) {
        if (now >= station.thawMs) {
            station.thawMs = NeverMs;
            station.process->signal(SIGCONT);
        }
        if (station.stoppingSinceMs != 0 && now >= station.stoppingSinceMs + GoneMs
            && station.process->isRunning()) {
            if (!station.hasBeenFrozen) {
                this->found.push_back({Promise::GracefulStop, now, name + " outstayed its grace"});
            }
            station.stoppingSinceMs = 0;
            station.process->signal(SIGKILL);
        }
        this->reap(station, now);
        if (now >= station.restartMs) {
            this->launch(station);
        }
    }
}

void Site::reap(Station &station, std::int64_t now)
{
    const std::optional<Ending> ending = station.process->poll();
    if (!ending) {
        return;
    }
    station.thawMs = NeverMs;
    station.restartMs = now + station.pauseMs;
    if (!station.isEndExpected) {
        this->found.push_back({Promise::ProcessStays, now,
                               station.name + (ending->isSignalled ? " by signal " : " with code ")
                                       + std::to_string(ending->code)});
    }
    for (LifeFile &file : this->lifeFiles) {
        if (file.server == station.name && file.goneMs == NeverMs) {
            file.goneMs = now;
        }
    }
}

bool Site::isWhole() const
{
    for (const auto &[name, station] : this->stations) {
        if (!station.process->isRunning() || station.isEndExpected || station.thawMs != NeverMs) {
            return false;
        }
    }
    return true;
}

void Site::stop()
{
    for (auto &[name, station] : this->stations) {
        station.isEndExpected = true;
        station.process->signal(SIGCONT);
        station.process->signal(SIGTERM);
    }
    const std::int64_t untilMs = nowMs() + GoneMs;
    bool isRunning = true;
    while (isRunning && nowMs() < untilMs) {
        constexpr std::chrono::milliseconds Pause{20};
        std::this_thread::sleep_for(Pause);
        isRunning = false;
        for (auto &[name, station] : this->stations) {
            this->reap(station, nowMs());
            isRunning = isRunning || station.process->isRunning();
        }
    }
    for (auto &[name, station] : this->stations) {
        station.process.reset();
    }
}

bool Site::term(const std::string &name, std::int64_t pauseMs)
{
    Station &station = this->station(name);
    if (!station.process->isRunning() || station.isEndExpected) {
        return false;
    }
    station.isEndExpected = true;
    station.hasBeenFrozen = station.thawMs != NeverMs;
    station.stoppingSinceMs = nowMs();
    station.pauseMs = pauseMs;
    station.process->signal(SIGTERM);
    return true;
}

bool Site::kill(const std::string &name, std::int64_t pauseMs)
{
    Station &station = this->station(name);
    if (!station.process->isRunning()) {
        return false;
    }
    station.isEndExpected = true;
    station.stoppingSinceMs = 0;
    station.pauseMs = pauseMs;
    for (LifeFile &file : this->lifeFiles) {
        if (file.server == name && file.goneMs == NeverMs) {
            file.goneMs = nowMs();
        }
    }
    station.process->signal(SIGKILL);
    return true;
}

bool Site::freeze(const std::string &name, std::int64_t forMs)
{
    Station &station = this->station(name);
    if (!station.process->isRunning() || station.thawMs != NeverMs) {
        return false;
    }
    station.thawMs = nowMs() + forMs;
    station.hasBeenFrozen = true;
    station.process->signal(SIGSTOP);
    return true;
}

bool Site::leave(const std::string &backend, std::int64_t pauseMs)
{
    Station &station = this->station(backend);
    if (!station.process->isRunning() || station.isEndExpected
        || !this->command(backend, "/leave")) {
        return false;
    }
    station.isEndExpected = true;
    station.pauseMs = pauseMs;
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
    for (const GatewayFace &face : this->faces) {
        names.push_back(face.name);
    }
    return names;
}

std::vector<BackendLife> Site::backendLives() const
{
    std::vector<BackendLife> lives;
    for (const LifeFile &life : this->lifeFiles) {
        std::ifstream file(life.path);
        lives.push_back(readLife(file, life.server, life.goneMs));
    }
    return lives;
}

} // namespace Soak
