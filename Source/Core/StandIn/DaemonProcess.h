#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Common/Log.h"

namespace CLI {
class App;
}

namespace StandIn {

/// Command line options that all stand-in daemons share.
struct DaemonOptions
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    std::string portFile;
    int threads = 1;
    std::string logLevel = "info";
};

void addDaemonOptions(CLI::App &app, DaemonOptions &options);

/// Blocks SIGTERM and SIGINT, so that only waitForStop() receives them. Must be called before any
/// thread is started: threads inherit the signal mask, and one that doesn't block the signals could
/// receive them instead.
void blockStopSignals();
/// Waits for SIGTERM or SIGINT.
void waitForStop();
/// Writes the line "http=PORT" to \a path atomically, for the script that waits for it. Does
/// nothing if \a path is empty. Throws std::runtime_error if the file can't be written.
void writePortFile(const std::string &path, std::uint16_t port);

/// The command line of a stand-in daemon, and the function that runs it.
struct DaemonProgram
{
    std::string description;
    std::function<void(CLI::App &)> addOptions;
    std::function<void()> run;
};

/// Parses the command line and runs the daemon. Returns the exit code; an exception is logged.
int runProgram(int argumentCount, char **arguments, const DaemonProgram &program);

/// Runs the server that \a build returns until the process receives SIGTERM or SIGINT.
template <typename Build>
void runDaemon(const char *name, const DaemonOptions &options, Build build)
{
    // Signals are blocked before logging starts its thread, which would otherwise receive the stop
    // signal; the signal's default action ends the process.
    blockStopSignals();
    Common::startLogging(name, options.logLevel);
    const auto server = build();
    writePortFile(options.portFile, server->port());
    Common::logEvent(Common::LogLevel::Info, "started", {{"url", server->url()}});
    waitForStop();
    Common::logEvent(Common::LogLevel::Info, "stopping");
    Common::stopLogging();
}

} // namespace StandIn
