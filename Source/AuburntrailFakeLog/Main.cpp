#include <CLI/CLI.hpp>
#include <exception>

#include "Common/Common.h"
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
    CLI::App app("Stand-in for the platform's append-only log service");
    Options options;
    addOptions(app, options);
    CLI11_PARSE(app, argumentCount, arguments);
    try {
        run(options);
        return 0;
    } catch (const std::exception &error) {
        Common::logEvent(Common::LogLevel::Error, "failed", {{"error", error.what()}});
        return 1;
    }
}
