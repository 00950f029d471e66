#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>
#include <vector>

/// Subcommands of the command line. Each function adds commands to the application; a command runs
/// in its callback and sets Context::exitCode.
namespace Tool {

/// Exit codes that scripts can distinguish. CLI11 returns 100 and above for errors in the command
/// line.
enum class ExitCode {
    Done = 0,
    Failed = 1,
    Refused = 2,
    Unknown = 3,
    Unreachable = 4,
    Conflict = 5,
};

constexpr const char *ExitCodeHelp =
        "Exit codes: 0 done (also: job completed or pending); 1 failed after a start, or a local "
        "error;\n2 refused, not run; 3 outcome unknown; 4 no gateway could be reached; 5 lost "
        "against another operator's change;\n100 and above: error in the command line";

/// Options shared by all subcommands, and the exit code of the one that ran.
struct Context
{
    std::vector<std::string> gateways{"127.0.0.1:8080"};
    std::int64_t timeoutMs = 60000;
    bool isJson = false;
    ExitCode exitCode = ExitCode::Done;
};

void addSubmitCommand(CLI::App &app, Context &context);
void addJobCommands(CLI::App &app, Context &context);
void addDrainCommands(CLI::App &app, Context &context);
void addQueryCommand(CLI::App &app, Context &context);
void addStatusCommand(CLI::App &app, Context &context);
void addConfigCommand(CLI::App &app, Context &context);
void addBenchCommand(CLI::App &app, Context &context);

} // namespace Tool
