#include "Commands.h"

int main(int argumentCount, char **arguments)
{
    CLI::App app("Command line of auburntrail, a dispatcher for sub-second tasks");
    Tool::Context context;
    app.add_option("--gateways", context.gateways, "HTTP addresses of gateways, host:port")
            ->delimiter(',')
            ->allow_extra_args(false)
            ->envname("AUBURNTRAIL_GATEWAYS")
            ->capture_default_str();
    app.add_option("--timeout-ms", context.timeoutMs, "how long to wait for an answer")
            ->check(CLI::Range(1, 3600000))
            ->capture_default_str();
    app.add_flag("--json", context.isJson, "print answers as JSON");
    app.footer(Tool::ExitCodeHelp);
    app.require_subcommand(1);
    Tool::addSubmitCommand(app, context);
    Tool::addJobCommands(app, context);
    Tool::addDrainCommands(app, context);
    Tool::addQueryCommand(app, context);
    Tool::addStatusCommand(app, context);
    Tool::addConfigCommand(app, context);
    Tool::addBenchCommand(app, context);
    CLI11_PARSE(app, argumentCount, arguments);
    return static_cast<int>(context.exitCode);
}
