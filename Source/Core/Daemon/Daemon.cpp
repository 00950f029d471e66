#include "Daemon/Daemon.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <malloc.h>
#include <pthread.h>

namespace Daemon {

namespace {

sigset_t awaitedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/// Keeps long allocations out of the heap. The allocator would raise the limit from which on it
/// maps them by themselves when the first one is freed; what clients have sent would then stay in
/// the process, in gaps between smaller allocations, when it is released.
void mapLongAllocations()
{
    constexpr int LongBytes = 128 << 10;
    ::mallopt(M_MMAP_THRESHOLD, LongBytes);
}

int runMode(const Program &program, const Options &options)
{
    const Mode &mode = options.transient ? program.transient : program.journaled;
    return Common::handle(
            [&]() -> Common::Outcome<int> {
                BOOST_LEAF_AUTO(json,
                                Common::loadSettingsJson(options.settingsFile, mode.definition));
                if (options.printSettings) {
                    std::cout << Common::settingsYaml(json);
                }
                if (options.check || options.printSettings) {
                    return EXIT_SUCCESS;
                }
                return mode.serve(options, json);
            },
            [&program](const Common::Failure &failure) {
                std::cerr << program.name << ": " << failure.detail << '\n';
                return SettingsError;
            });
}

} // namespace

void blockSignals()
{
    const sigset_t signals = awaitedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A closed connection is detected by the error of the write.
    std::signal(SIGPIPE, SIG_IGN);
}

int waitForSignal()
{
    const sigset_t signals = awaitedSignals();
    int received = 0;
    sigwait(&signals, &received);
    return received;
}

bool writePorts(const std::string &path, const Ports &ports)
{
    if (path.empty()) {
        return true;
    }
    // Renamed into place, so that a reader never sees a partial file.
    const std::string temporary = path + ".new";
    std::ofstream file(temporary);
    for (const auto &[name, port] : ports) {
        file << name << '=' << port << '\n';
    }
    file.close();
    return file.good() && std::rename(temporary.c_str(), path.c_str()) == 0;
}

int runProgram(int argc, char **argv, const Program &program)
{
    Options options;
    CLI::App app{program.description
                         + "\nExit codes: 0 stopped, 1 invalid arguments, 2 invalid settings, 3 "
                           "cannot listen on an address, 4 graceful stop timed out.",
                 program.name};
    app.add_option("--settings", options.settingsFile, "Settings file (YAML); defaults if omitted");
    app.add_option("--port-file", options.portFile,
                   "Writes the ports that it listens on to this file");
    app.add_flag("--check", options.check, "Checks the settings and exits");
    app.add_flag("--print-settings", options.printSettings,
                 "Prints the effective settings and exits");
    app.add_flag("--transient", options.transient,
                 "Serves transient jobs, which are answered when they end and never stored");
    CLI11_PARSE(app, argc, argv);
    mapLongAllocations();
    return runMode(program, options);
}

} // namespace Daemon
