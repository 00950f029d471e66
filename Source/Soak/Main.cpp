#include <CLI/CLI.hpp>
#include <exception>
#include <filesystem>
#include <iostream>

#include "Soak/Soak.h"
#include "Soak/StandInPrograms.h"

namespace {

constexpr int MaxProcesses = 200;

void addStore(CLI::App &app, Soak::StoreProgram &store)
{
    CLI::App *command = app.add_subcommand("store", "Serves as the platform's store");
    StandIn::addDaemonOptions(*command, store.daemon);
    command->add_option("--control-port", store.controlPort)->required();
    command->add_flag("--hide-gateways", store.hidesGateways,
                      "Answers as if no gateway had registered its address");
    command->callback([&store] { Soak::serveStore(store); });
}

void addBackend(CLI::App &app, Soak::BackendProgram &backend)
{
    CLI::App *command = app.add_subcommand("backend", "Serves as a backend server");
    StandIn::addDaemonOptions(*command, backend.daemon);
    command->add_option("--control-port", backend.controlPort)->required();
    command->add_option("--id", backend.id)->required();
    command->add_option("--announced", backend.announcedAddress)->required();
    command->add_option("--registration", backend.registration)->required();
    command->add_option("--service", backend.service)->required();
    command->add_option("--events", backend.eventFile)->required();
    command->add_option("--clock-step", backend.clockStepMs,
                        "added to the time of day that it announces as its start, in ms");
    command->callback([&backend] { Soak::serveBackend(backend); });
}

} // namespace

int main(int argumentCount, char **arguments)
{
    CLI::App app("Runs a site of real processes under faults drawn from a seed, and checks what "
                 "callers and backend servers observe. Exit code 0 if no invariant was violated.");
    Soak::SoakOptions options;
    Soak::StoreProgram store;
    Soak::BackendProgram backend;
    options.program = std::filesystem::read_symlink("/proc/self/exe").string();
    options.binaries = std::filesystem::path(options.program).parent_path().string();
    app.add_option("--seed", options.seed)->capture_default_str();
    app.add_option("--seconds", options.seconds, "how long faults are injected")
            ->check(CLI::PositiveNumber)
            ->capture_default_str();
    app.add_option("--gateways", options.gateways)
            ->check(CLI::Range(1, MaxProcesses))
            ->capture_default_str();
    app.add_option("--agents", options.agents)
            ->check(CLI::Range(1, MaxProcesses))
            ->capture_default_str();
    app.add_option("--keep", options.keep, "folder that keeps the files of failed runs");
    app.add_option("--binaries", options.binaries, "folder of the gateway's and agent's programs");
    addStore(app, store);
    addBackend(app, backend);
    try {
        CLI11_PARSE(app, argumentCount, arguments);
        return app.get_subcommands().empty() ? Soak::runSoak(options) : 0;
    } catch (const std::exception &error) {
        std::cerr << "soak: " << error.what() << '\n';
        return 1;
    }
}
