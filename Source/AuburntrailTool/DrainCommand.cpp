#include <memory>

#include "Commands.h"
#include "GatewayApi.h"
#include "Output.h"

namespace Tool {

namespace {

using Json = nlohmann::json;

/// Drains or undrains a backend server, based on the configuration version just read. A drain
/// applies whatever else has changed before, but must not override another operator's change to the
/// same backend server that is made in between.
ExitCode setDrain(const Context &context, const std::string &backend, bool isDraining)
{
    const ApiAnswer current = callGateway(context, {"GET", "/v1/config", std::nullopt});
    if (!current.isOk()) {
        return reportError(current);
    }
    Json change = {{"kind", "drain"}, {"name", backend}, {"remove", !isDraining}};
    if (isDraining) {
        change["drain"] = {{"backend", backend}};
    }
    ApiCall call;
    call.method = "POST";
    call.path = "/v1/config";
    call.body = Json{{"basedOn", current.body.at("version")}, {"change", change}};
    const ApiAnswer answer = callGateway(context, call);
    if (!answer.isOk()) {
        return reportError(answer);
    }
    printJson(answer.body);
    return ExitCode::Done;
}

void addOne(CLI::App &app, Context &context, const char *name, const char *help, bool isDraining)
{
    auto backend = std::make_shared<std::string>();
    CLI::App *command = app.add_subcommand(name, help);
    command->add_option("backend", *backend, "name of the backend server")->required();
    command->callback([&context, backend, isDraining] {
        context.exitCode = setDrain(context, *backend, isDraining);
    });
}

} // namespace

void addDrainCommands(CLI::App &app, Context &context)
{
    addOne(app, context, "drain",
           "assign no more tasks to a backend server; running tasks continue", true);
    addOne(app, context, "undrain", "assign tasks to a drained backend server again", false);
}

} // namespace Tool
