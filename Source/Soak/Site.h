#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Soak/Checks.h"
#include "Soak/Load.h"
#include "Soak/Processes.h"
#include "Soak/Proxy.h"

/// The processes of one site on loopback, with the proxy between them.
namespace Soak {

struct SiteOptions
{
    std::uint64_t seed = 1;
    int gateways = 3;
    int agents = 4;
    /// Gets settings, logs and events.
    std::string directory;
    /// Has the gateway's and the agent's programs.
    std::string binaries;
    /// This program: it serves as the stand-ins, too.
    std::string program;
};

/// A process of the site, through its lives.
struct SiteProcess
{
    std::string name;
    std::unique_ptr<ChildProcess> process;
    /// It was told to go, or was killed.
    bool isEndExpected = false;
    std::int64_t stoppingSinceMs = 0;
    /// NeverMs while it is not frozen.
    std::int64_t resumeMs = NeverMs;
    bool hasBeenFrozen = false;
    /// After its end it starts again behind this pause.
    std::int64_t pauseMs = 0;
    std::int64_t restartMs = NeverMs;
    int incarnation = 0;
};

/// For a graceful stop.
constexpr std::int64_t GraceMs = 6000;
/// On a busy machine a process that has stopped may take a while to go.
constexpr std::int64_t ExitTimeoutMs = GraceMs + 1000;

class Site
{
public:
    explicit Site(SiteOptions options);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /// Starts everything, with a first configuration in the store.
    void start();
    /// Ends what is due: freezes, graces, pauses before restarts.
    void tick();
    /// True where all processes run and none is on its way out.
    bool isFullyRunning() const;
    /// Ends all processes gracefully, and by force after their grace.
    void stop();

    /// False where the process is down or going already.
    bool term(const std::string &name, std::int64_t pauseMs);
    bool kill(const std::string &name, std::int64_t pauseMs);
    bool freeze(const std::string &name, std::int64_t forMs);
    bool leave(const std::string &backend, std::int64_t pauseMs);
    /// Carries \a command out at the control port of the store or a backend server.
    bool command(const std::string &name, const std::string &command, const std::string &body = {});

    std::deque<GatewayEndpoint> &gateways() { return this->endpoints; }
    std::vector<std::string> gatewayNames() const;
    const std::vector<std::string> &linkNames() const { return this->links; }
    Proxy &proxy() { return this->relays; }
    std::vector<BackendIncarnation> backendIncarnations() const;
    /// Processes that ended by themselves, or outstayed their grace.
    const std::vector<Finding> &findings() const { return this->found; }
    int agentCount() const { return this->options.agents; }

private:
    struct IncarnationFile
    {
        std::string server;
        std::string path;
        std::int64_t processEndMs = NeverMs;
    };

    SiteProcess &siteProcess(const std::string &name);
    std::uint16_t addLink(const std::string &name, std::uint16_t targetPort);
    void addStore();
    void addGateway(int number);
    void addAgent(int number);
    void addBackend(int number);
    void addProgram(const std::string &name, std::vector<std::string> command);
    void launch(SiteProcess &siteProcess);
    void reap(SiteProcess &siteProcess, std::int64_t nowMs);
    void writeSettings(const std::string &name, const std::vector<std::string> &lines) const;
    std::string path(const std::string &folder, const std::string &file) const;

    SiteOptions options;
    /// Agents reach gateways through the proxy, and gateways don't know each other: they would tell
    /// agents of addresses that are not the proxy's. Otherwise all links between them are direct.
    bool hasProxiedPeers = false;
    PortAllocator ports;
    Proxy relays;
    std::uint16_t storePort = 0;
    std::vector<std::uint16_t> peerPorts;
    std::vector<std::uint16_t> backendLinkPorts;
    std::map<std::string, std::uint16_t> controlPorts;
    std::map<std::string, std::vector<std::string>> backendCommands;
    std::vector<std::string> links;
    std::deque<GatewayEndpoint> endpoints;
    std::vector<IncarnationFile> incarnationFiles;
    std::vector<Finding> found;
    Net::HttpClient commands;
    std::map<std::string, SiteProcess> siteProcesses;
};

/// Name of a process.
std::string processName(const char *role, int number);

constexpr const char *SoakService = "desk";

} // namespace Soak
