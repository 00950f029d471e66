#include <memory>

#include "Commands.h"
#include "GatewayApi.h"
#include "Output.h"

namespace Tool {

namespace {

struct JobOptions
{
    std::string id;
    bool isWaiting = false;
};

CLI::App *addJobCommand(CLI::App &app, const std::string &name, const std::string &help,
                        JobOptions &options)
{
    CLI::App *command = app.add_subcommand(name, help);
    command->add_option("id", options.id, "the job's id")->required();
    return command;
}

ExitCode callJob(const Context &context, const std::string &method, const JobOptions &options)
{
    ApiCall call;
    call.method = method;
    call.path = "/v1/jobs/" + options.id + (options.isWaiting ? "?wait=true" : "");
    return reportJob(context, callGateway(context, call));
}

} // namespace

void addJobCommands(CLI::App &app, Context &context)
{
    auto get = std::make_shared<JobOptions>();
    CLI::App *getCommand = addJobCommand(app, "get", "show the current answer of a job", *get);
    getCommand->add_flag("--wait", get->isWaiting, "wait for the end of the job");
    getCommand->callback([&context, get] { context.exitCode = callJob(context, "GET", *get); });

    auto cancel = std::make_shared<JobOptions>();
    addJobCommand(app, "cancel", "cancel a job; tasks that have started run to completion", *cancel)
            ->callback(
                    [&context, cancel] { context.exitCode = callJob(context, "DELETE", *cancel); });
}

} // namespace Tool
