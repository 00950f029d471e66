#pragma once

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Common/Common.h"

/// What the daemons' main functions share: command line, settings, port file, stop signals.
namespace Daemon {

constexpr int SettingsError = 2;
constexpr int AddressError = 3;
constexpr int StopTimedOut = 4;

/// Name and number of a port that the daemon listens on.
using Ports = std::vector<std::pair<std::string, std::uint16_t>>;

struct Options
{
    std::string settingsFile;
    std::string portFile;
    bool check = false;
    bool printSettings = false;
    bool transient = false;
};

/// One way to run a program: with the settings of \a definition in the settings schema.
struct Mode
{
    std::string definition;
    std::function<int(const Options &, const nlohmann::json &)> serve;
};

struct Program
{
    std::string name;
    std::string description;
    Mode journaled;
    Mode transient;
};

int runProgram(int argc, char **argv, const Program &program);

/// Keeps the stop signals for waitForSignal(). Called before any thread is started: threads inherit
/// the mask, and none of them may take the signal instead.
void blockSignals();
/// Returns at SIGTERM, SIGINT or SIGHUP, with its number.
int waitForSignal();
/// Writes a line NAME=PORT for each, whole or not at all. False where it can't be written; an empty
/// \a path writes nothing.
bool writePorts(const std::string &path, const Ports &ports);

/// Runs the daemon that \a build makes until it is told to stop. \a portsOf lists its ports.
template <typename Build, typename PortsOf>
int serve(const std::string &name, const std::string &logLevel, const Options &options, Build build,
          PortsOf portsOf)
{
    // The log has a thread of its own, which would take the stop signal and end the process at
    // once, with every request in progress.
    blockSignals();
    Common::startLogging(name, logLevel);
    decltype(build()) daemon;
    try {
        daemon = build();
    } catch (const std::exception &error) {
        std::cerr << name << ": " << error.what() << '\n';
        return AddressError;
    }
    if (!writePorts(options.portFile, portsOf(*daemon))) {
        Common::logEvent(Common::LogLevel::Warning, "port_file_not_written",
                         {{"path", options.portFile}});
    }
    std::thread waiter([&daemon] {
        int signal = waitForSignal();
        while (signal == SIGHUP) {
            // Settings are read at the start: addresses cannot change while connections are open.
            Common::logEvent(Common::LogLevel::Info, "reload_ignored", {{"signal", signal}});
            signal = waitForSignal();
        }
        daemon->requestStop();
    });
    bool stoppedInTime = false;
    try {
        stoppedInTime = daemon->run();
    } catch (const std::exception &error) {
        Common::invariant(false, "the control thread throws nothing", error.what());
    }
    waiter.join();
    Common::logEvent(Common::LogLevel::Info, "stopped",
                     {{"complete", stoppedInTime ? "true" : "false"}});
    const int status = stoppedInTime ? EXIT_SUCCESS : StopTimedOut;
    daemon.reset();
    if (!Common::stopLogging()) {
        std::_Exit(status);
    }
    return status;
}

} // namespace Daemon
