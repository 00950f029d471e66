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

/// Code shared by the main functions of the daemons: command line, settings, port file, stop
/// signals.
namespace Daemon {

constexpr int SettingsError = 2;
constexpr int AddressError = 3;
constexpr int StopTimedOut = 4;

/// Names and numbers of the ports that a daemon listens on.
using Ports = std::vector<std::pair<std::string, std::uint16_t>>;

struct Options
{
    std::string settingsFile;
    std::string portFile;
    bool check = false;
    bool printSettings = false;
    bool transient = false;
};

/// One mode of a program: its definition in the settings schema, and the function that runs it.
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

/// Parses the command line, loads the settings and runs the selected mode. Returns the exit code.
int runProgram(int argc, char **argv, const Program &program);

/// Blocks the signals that waitForSignal() waits for, and ignores SIGPIPE. Must be called before
/// any thread is started: threads inherit the signal mask, and none of them may receive these
/// signals.
void blockSignals();
/// Waits for SIGTERM, SIGINT or SIGHUP and returns its number.
int waitForSignal();
/// Writes a line NAME=PORT for each port and replaces the file atomically. False if the file cannot
/// be written. An empty \a path writes nothing and returns true.
bool writePorts(const std::string &path, const Ports &ports);

/// Runs the daemon that \a build creates until a stop signal arrives. \a portsOf returns its ports.
/// Returns the exit code.
template <typename Build, typename PortsOf>
int serve(const std::string &name, const std::string &logLevel, const Options &options, Build build,
          PortsOf portsOf)
{
    // The thread of the log would otherwise receive the stop signal, which would end the process at
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
            // Settings are read only at startup: addresses cannot change while connections are
            // open.
            Common::logEvent(Common::LogLevel::Info, "reload_ignored", {{"signal", signal}});
            signal = waitForSignal();
        }
        daemon->requestStop();
    });
    bool stoppedInTime = false;
    try {
        stoppedInTime = daemon->run();
    } catch (const std::exception &error) {
        Common::invariant(false, "the control thread does not throw", error.what());
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
