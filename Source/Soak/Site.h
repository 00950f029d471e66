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

/// The processes of one site on loopback, with a proxy between them.
namespace Soak {

struct SiteOptions
{
    std::uint64_t seed = 1;
    int gateways = 3;
    int agents = 4;
    /// Folder for settings, logs and event files.
    std::string directory;
    /// Folder with the gateway's and the agent's programs.
    std::string binaries;
    /// Path of this program, which also runs as the stand-ins.
    std::string program;
};

/// A process of the site, through all its incarnations.
struct SiteProcess
{
    std::string name;
    std::unique_ptr<ChildProcess> process;
    /// The process was told to stop or to leave, or was killed.
    bool isEndExpected = false;
    std::int64_t stoppingSinceMs = 0;
    /// When the frozen process is resumed; NeverMs while it is not frozen.
    std::int64_t resumeMs = NeverMs;
    bool hasBeenFrozen = false;
    /// Pause between the end of the process and its restart.
    std::int64_t pauseMs = 0;
    std::int64_t restartMs = NeverMs;
    int incarnation = 0;
};

/// Time allowed for a graceful stop.
constexpr std::int64_t GraceMs = 6000;
/// On a busy machine a process may need some time to exit after its stop is complete.
constexpr std::int64_t ExitTimeoutMs = GraceMs + 1000;

class Site
{
public:
    explicit Site(SiteOptions options);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /// Starts all processes, with a first configuration in the store. Throws std::runtime_error if
    /// the store does not answer or a process can't be started.
    void start();
    /// Resumes, kills and restarts processes whose freeze, exit timeout or pause has ended.
    void tick();
    /// Whether all processes are running, and none is frozen or about to end.
    bool isFullyRunning() const;
    /// Stops all processes gracefully, and kills those that run on after ExitTimeoutMs.
    void stop();

    /// These return false if the process is down, or if its state does not allow the fault: it is
    /// already about to end (term, leave), already frozen (freeze), or does not accept the command
    /// (leave).
    bool term(const std::string &name, std::int64_t pauseMs);
    bool kill(const std::string &name, std::int64_t pauseMs);
    bool freeze(const std::string &name, std::int64_t forMs);
    bool leave(const std::string &backend, std::int64_t pauseMs);
    /// Sends \a command to the control port of the store or of a backend server. Returns whether it
    /// was accepted.
    bool command(const std::string &name, const std::string &command, const std::string &body = {});

    std::deque<GatewayEndpoint> &gateways() { return this->endpoints; }
    std::vector<std::string> gatewayNames() const;
    const std::vector<std::string> &linkNames() const { return this->links; }
    Proxy &proxy() { return this->relays; }
    std::vector<BackendIncarnation> backendIncarnations() const;
    /// Processes that ended unexpectedly, or did not stop within ExitTimeoutMs.
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
    /// How wrong the time of day is that this incarnation of a backend server starts with.
    std::int64_t drawClockStepMs(const SiteProcess &siteProcess) const;
    void reap(SiteProcess &siteProcess, std::int64_t nowMs);
    void writeSettings(const std::string &name, const std::vector<std::string> &lines) const;
    std::string path(const std::string &folder, const std::string &file) const;

    SiteOptions options;
    /// If true, agents reach gateways through the proxy, and gateways don't know each other:
    /// otherwise they would send agents addresses that bypass the proxy. If false, all links
    /// between agents and gateways are direct.
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

constexpr const char *SoakService = "desk";

} // namespace Soak
