#include "StandIn/DaemonProcess.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <exception>
#include <stdexcept>

#include "Daemon/Daemon.h"

namespace StandIn {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void addDaemonOptions(CLI::App &app, DaemonOptions &options)
{
    constexpr int MaxThreads = 64;
    app.add_option("--host", options.host, "IP address to listen on")->capture_default_str();
    app.add_option("--port", options.port, "port; 0 takes a free one")->capture_default_str();
    app.add_option("--port-file", options.portFile, "file to write the chosen port to");
    app.add_option("--threads", options.threads, "threads that serve requests")
            ->check(CLI::Range(1, MaxThreads))
            ->capture_default_str();
    app.add_option("--log-level", options.logLevel, "debug, info, warning or error")
            ->capture_default_str();
}

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForStop()
{
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

void writePortFile(const std::string &path, std::uint16_t port)
{
    if (!Daemon::writePorts(path, {{"http", port}})) {
        throw std::runtime_error("can't write " + path);
    }
}

int runProgram(int argumentCount, char **arguments, const DaemonProgram &program)
{
    CLI::App app(program.description);
    program.addOptions(app);
    CLI11_PARSE(app, argumentCount, arguments);
    try {
        program.run();
        return 0;
    } catch (const std::exception &error) {
        Common::logEvent(Common::LogLevel::Error, "failed", {{"error", error.what()}});
        return 1;
    }
}

} // namespace StandIn
