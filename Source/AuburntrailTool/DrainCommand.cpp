#include <memory>

#include "Commands.h"
#include "GatewayApi.h"
#include "Output.h"

namespace Tool {

namespace {

using Json = nlohmann::json;

/// What is to get no more work.
struct DrainKind
{
    /// Kind of the configuration change.
    const char *kind;
    /// Member that names it, in the value of the change.
    const char *member;
};

constexpr DrainKind BackendDrain{"drain", "backend"};
constexpr DrainKind DomainEvacuation{"evacuation", "failureDomain"};

/// Sets or removes a drain or an evacuation, based on the configuration version just read. It
/// applies whatever else has changed before, but must not override another operator's change to the
/// same backend server or failure domain that is made in between.
ExitCode setDrain(const Context &context, const DrainKind &kind, const std::string &name,
                  bool isDraining)
{
    const ApiAnswer current = callGateway(context, {"GET", "/v1/config", std::nullopt});
    if (!current.isOk()) {
        return reportError(current);
    }
    Json change = {{"kind", kind.kind}, {"name", name}, {"remove", !isDraining}};
    if (isDraining) {
        change[kind.kind] = {{kind.member, name}};
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

CLI::App *addCommand(CLI::App &app, Context &context, const char *name, const DrainKind &kind,
                     bool isDraining)
{
    auto target = std::make_shared<std::string>();
    CLI::App *command = app.add_subcommand(name);
    command->add_option("name", *target)->required();
    command->callback([&context, kind, target, isDraining] {
        context.exitCode = setDrain(context, kind, *target, isDraining);
    });
    return command;
}

} // namespace

void addDrainCommands(CLI::App &app, Context &context)
{
    addCommand(app, context, "drain", BackendDrain, true)
            ->description("assign no more tasks to a backend server; running tasks continue");
    addCommand(app, context, "undrain", BackendDrain, false)
            ->description("assign tasks to a drained backend server again");
    addCommand(app, context, "evacuate", DomainEvacuation, true)
            ->description("assign no more tasks to the backend servers of a failure domain");
    addCommand(app, context, "take-back", DomainEvacuation, false)
            ->description("assign tasks to an evacuated failure domain again");
}

} // namespace Tool
