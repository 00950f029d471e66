#include <CLI/CLI.hpp>

#include "StandIn/StandIn.h"

namespace {

struct Options
{
    StandIn::DaemonOptions daemon;
    StandIn::FakeBackendControl control;
};

void addOptions(CLI::App &app, Options &options)
{
    StandIn::addDaemonOptions(app, options.daemon);
    app.add_option("--slots", options.control.slots,
                   "number of tasks that can run at the same time")
            ->check(CLI::Range(0, 1024))
            ->capture_default_str();
    app.add_option("--speed", options.control.speed, "a task of 100 ms takes 50 ms at speed 2")
            ->check(CLI::PositiveNumber)
            ->capture_default_str();
    app.add_option("--memory-mb", options.control.memoryMb, "memory that tasks share")
            ->check(CLI::NonNegativeNumber)
            ->capture_default_str();
    app.add_option("--accelerators", options.control.accelerators, "accelerators that tasks share")
            ->check(CLI::NonNegativeNumber)
            ->capture_default_str();
}

void run(const Options &options)
{
    const StandIn::DaemonOptions &daemon = options.daemon;
    StandIn::runDaemon("fake-backend", daemon, [&] {
        return StandIn::FakeBackendServerBuilder()
                .listenOn(daemon.host, daemon.port)
                .threads(daemon.threads)
                .control(options.control)
                .build();
    });
}

} // namespace

int main(int argumentCount, char **arguments)
{
    Options options;
    return StandIn::runProgram(argumentCount, arguments,
                               {"Stand-in for a backend server",
                                [&](CLI::App &app) { addOptions(app, options); },
                                [&] { run(options); }});
}
