#pragma once

#include <cstdint>
#include <string>

#include "Common/Log.h"

namespace CLI {
class App;
}

namespace StandIn {

/// What every stand-in daemon takes from its command line.
struct DaemonOptions
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    std::string portFile;
    int threads = 1;
    std::string logLevel = "info";
};

void addDaemonOptions(CLI::App &app, DaemonOptions &options);

/// Keeps SIGTERM and SIGINT for waitForStop(). Called before any thread is started: threads inherit
/// the mask, and none of them may take the signal instead.
void blockStopSignals();
/// Returns when the process is told to stop.
void waitForStop();
/// Writes the line "http=PORT" to \a path, whole or not at all, for the script that waits for it.
/// An empty \a path writes nothing. Throws std::runtime_error where it can't be written.
void writePortFile(const std::string &path, std::uint16_t port);

/// Serves with what \a build makes until the process is told to stop.
template <typename Build>
void runDaemon(const char *name, const DaemonOptions &options, Build build)
{
    // Logging has a thread of its own, which would take the signal and end the process by it.
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
