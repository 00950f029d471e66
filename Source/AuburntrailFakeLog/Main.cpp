#include <CLI/CLI.hpp>

#include "StandIn/StandIn.h"

namespace {

struct Options
{
    StandIn::DaemonOptions daemon;
    std::uint64_t seed = 1;
    StandIn::FakeLogControl control;
};

void addOptions(CLI::App &app, Options &options)
{
    StandIn::addDaemonOptions(app, options.daemon);
    app.add_option("--seed", options.seed, "random seed that decides which answers are lost")
            ->capture_default_str();
    app.add_option("--sync-ms", options.control.syncMs, "time that a synced write takes")
            ->check(CLI::NonNegativeNumber)
            ->capture_default_str();
    app.add_option("--appends-per-second", options.control.appendsPerSecond)
            ->check(CLI::NonNegativeNumber)
            ->capture_default_str();
    app.add_option("--retention-ms", options.control.retentionMs)
            ->check(CLI::NonNegativeNumber)
            ->capture_default_str();
}

void run(const Options &options)
{
    const StandIn::DaemonOptions &daemon = options.daemon;
    StandIn::runDaemon("fake-log", daemon, [&] {
        return StandIn::FakeLogServerBuilder()
                .listenOn(daemon.host, daemon.port)
                .threads(daemon.threads)
                .seed(options.seed)
                .control(options.control)
                .build();
    });
}

} // namespace

int main(int argumentCount, char **arguments)
{
    Options options;
    return StandIn::runProgram(argumentCount, arguments,
                               {"Stand-in for the platform's append-only log service",
                                [&](CLI::App &app) { addOptions(app, options); },
                                [&] { run(options); }});
}
