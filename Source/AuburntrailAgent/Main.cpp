#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <pthread.h>
#include <thread>

#include "Agent/Agent.h"
#include "Common/Common.h"

namespace {

struct Options
{
    std::string settingsFile;
    std::string portFile;
    bool check = false;
    bool printSettings = false;
};

constexpr int SettingsError = 2;
constexpr int AddressError = 3;
constexpr int StopTimedOut = 4;

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void writePort(const std::string &path, const Agent::AgentDaemon &daemon)
{
    if (path.empty()) {
        return;
    }
    // Renamed into place, so that a reader never sees half of it.
    const std::string temporary = path + ".new";
    std::ofstream(temporary) << "http=" << daemon.metricsPort() << '\n';
    std::rename(temporary.c_str(), path.c_str());
}

int serve(const Options &options, const Schema::AgentSettings &settings)
{
    Common::startLogging(settings.name, Schema::enumName(settings.logLevel));
    // Every thread made from here on leaves the stop signals to the one that waits for them.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::unique_ptr<Agent::AgentDaemon> daemon;
    try {
        daemon = Agent::AgentDaemonBuilder().settings(settings).build();
    } catch (const std::exception &error) {
        std::cerr << "auburntrail-agent: " << error.what() << '\n';
        return AddressError;
    }
    writePort(options.portFile, *daemon);
    std::thread waiter([&signals, &daemon] {
        int signal = 0;
        sigwait(&signals, &signal);
        daemon->requestStop();
    });
    bool stoppedInTime = false;
    try {
        stoppedInTime = daemon->run();
    } catch (const std::exception &error) {
        // Without this the process ends in the waiter's destructor, and the log has no cause.
        Common::invariant(false, "the control thread throws nothing", error.what());
    }
    waiter.join();
    Common::logEvent(Common::LogLevel::Info, "agent_stopped",
                     {{"complete", stoppedInTime ? "true" : "false"}});
    return stoppedInTime ? EXIT_SUCCESS : StopTimedOut;
}

int runWith(const Options &options)
{
    return Common::handle(
            [&]() -> Common::Outcome<int> {
                BOOST_LEAF_AUTO(json,
                                Common::loadSettingsJson(options.settingsFile, "AgentSettings"));
                if (options.printSettings) {
                    std::cout << Common::settingsYaml(json);
                }
                if (options.check || options.printSettings) {
                    return EXIT_SUCCESS;
                }
                return serve(options, json.get<Schema::AgentSettings>());
            },
            [](const Common::Failure &failure) {
                std::cerr << "auburntrail-agent: " << failure.detail << '\n';
                return SettingsError;
            });
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    CLI::App app{"Agent of auburntrail: runs beside a backend server, starts its tasks once and "
                 "keeps their outcomes.\n"
                 "Exit codes: 0 stopped, 1 wrong arguments, 2 wrong settings, 3 address not to be "
                 "had, 4 graceful stop timed out.",
                 "auburntrail-agent"};
    app.add_option("--settings", options.settingsFile, "Settings file (YAML); defaults without it");
    app.add_option("--port-file", options.portFile, "Writes the port of its metrics to this file");
    app.add_flag("--check", options.check, "Only checks the settings");
    app.add_flag("--print-settings", options.printSettings,
                 "Prints the settings in force and ends");
    CLI11_PARSE(app, argc, argv);
    return runWith(options);
}
