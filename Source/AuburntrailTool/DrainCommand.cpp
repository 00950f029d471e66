#include <memory>

#include "Commands.h"
#include "GatewayApi.h"
#include "Output.h"

namespace Tool {

namespace {

using Json = nlohmann::json;

/// Based on the version just read: an operator who drains means it whatever else has changed, but
/// must not overrule another's change to the same backend server that comes in between.
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
    addOne(app, context, "drain", "give a backend server no more work; what runs there goes on",
           true);
    addOne(app, context, "undrain", "give a drained backend server work again", false);
}

} // namespace Tool
