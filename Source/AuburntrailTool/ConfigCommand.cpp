#include <chrono>
#include <iostream>
#include <memory>
#include <thread>

#include "Commands.h"
#include "Common/Common.h"
#include "GatewayApi.h"
#include "Output.h"

namespace Tool {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds WatchPeriod{500};

/// A change as given on the command line. Members that were not given are omitted.
struct ChangeOptions
{
    std::string kind;
    std::string name;
    bool isRemoval = false;
    std::int64_t basedOn = -1;
    Json value = Json::object();
};

ApiAnswer readConfiguration(const Context &context)
{
    return callGateway(context, {"GET", "/v1/config", std::nullopt});
}

ExitCode showConfiguration(const Context &context)
{
    const ApiAnswer answer = readConfiguration(context);
    if (!answer.isOk()) {
        return reportError(answer);
    }
    if (context.isJson) {
        printJson(answer.body);
    } else {
        std::cout << Common::settingsYaml(answer.body);
    }
    return ExitCode::Done;
}

ExitCode showHistory(const Context &context)
{
    const ApiAnswer answer = readConfiguration(context);
    if (!answer.isOk()) {
        return reportError(answer);
    }
    std::vector<Row> rows{{"version", "key"}};
    for (const Json &entry : answer.body.at("keyVersions")) {
        rows.push_back({plainText(entry.at("version")), plainText(entry.at("key"))});
    }
    std::cout << formatTable(rows);
    return ExitCode::Done;
}

/// Prints the configuration version whenever it changes, for \a seconds.
ExitCode watchConfiguration(const Context &context, std::int64_t seconds)
{
    const std::int64_t endMs = Common::currentMoment().steadyMs + seconds * 1000;
    Json lastVersion;
    while (Common::currentMoment().steadyMs < endMs) {
        const ApiAnswer answer = readConfiguration(context);
        if (answer.isOk() && answer.body.at("version") != lastVersion) {
            lastVersion = answer.body.at("version");
            std::cout << "version " << lastVersion << std::endl;
        }
        std::this_thread::sleep_for(WatchPeriod);
    }
    return ExitCode::Done;
}

/// Returns the current value of the key that \a options change, so that members that are not given
/// keep their values.
Json currentValue(const Json &configuration, const ChangeOptions &options)
{
    if (options.kind == "policy") {
        return configuration.at("policy");
    }
    for (const Json &entry : configuration.at(options.kind + 's')) {
        if (entry.at("name") == options.name) {
            return entry;
        }
    }
    return Json::object();
}

ExitCode change(const Context &context, const ChangeOptions &options)
{
    const ApiAnswer current = readConfiguration(context);
    if (!current.isOk()) {
        return reportError(current);
    }
    const std::int64_t basedOn =
            options.basedOn >= 0 ? options.basedOn : current.body.at("version").get<std::int64_t>();
    Json change = {{"kind", options.kind}, {"name", options.name}, {"remove", options.isRemoval}};
    if (!options.isRemoval) {
        Json value = currentValue(current.body, options);
        value.update(options.value);
        change[options.kind] = value;
    }
    ApiCall call;
    call.method = "POST";
    call.path = "/v1/config";
    call.body = Json{{"basedOn", basedOn}, {"change", change}};
    const ApiAnswer answer = callGateway(context, call);
    if (!answer.isOk()) {
        return reportError(answer);
    }
    printJson(answer.body);
    return ExitCode::Done;
}

/// Adds an option that sets \a member of the change's value.
template <typename Value>
void addMember(CLI::App *command, const std::shared_ptr<ChangeOptions> &options,
               const std::string &flag, const std::string &member, const std::string &help)
{
    command->add_option_function<Value>(
            flag, [options, member](const Value &value) { options->value[member] = value; }, help);
}

/// Adds an option for all resources at once, because their value must be complete.
void addResources(CLI::App *command, const std::shared_ptr<ChangeOptions> &options)
{
    command->add_option_function<std::vector<double>>(
                   "--resources",
                   [options](const std::vector<double> &numbers) {
                       options->value["resources"] = {
                               {"processors", numbers.at(0)},
                               {"memoryMb", static_cast<std::int64_t>(numbers.at(1))},
                               {"accelerators", static_cast<std::int64_t>(numbers.at(2))}};
                   },
                   "processors memoryMb accelerators of one task")
            ->expected(3);
}

struct KindCommand
{
    CLI::App *command = nullptr;
    std::shared_ptr<ChangeOptions> options;
};

KindCommand addKind(CLI::App *set, Context &context, const std::string &kind, bool isNamed)
{
    auto options = std::make_shared<ChangeOptions>();
    options->kind = kind;
    CLI::App *command = set->add_subcommand(kind);
    if (isNamed) {
        command->add_option("name", options->name)->required();
        command->add_flag("--remove", options->isRemoval, "remove it");
    }
    command->add_option("--based-on", options->basedOn,
                        "version that the change is based on; the current version if absent");
    command->callback([&context, options, isNamed] {
        if (isNamed) {
            options->value["name"] = options->name;
        }
        context.exitCode = change(context, *options);
    });
    return {command, options};
}

void addSet(CLI::App *config, Context &context)
{
    CLI::App *set = config->add_subcommand("set", "change one key");
    set->require_subcommand(1);
    const KindCommand service = addKind(set, context, "service", true);
    addMember<std::int64_t>(service.command, service.options, "--expected-run-ms", "expectedRunMs",
                            "run time of a task until it is learned");
    addResources(service.command, service.options);
    const KindCommand team = addKind(set, context, "team", true);
    addMember<std::int64_t>(team.command, team.options, "--weight", "weight", "share under load");
    addMember<std::int64_t>(team.command, team.options, "--quota", "quota",
                            "most tasks at once; 0 is no limit");
    const KindCommand policy = addKind(set, context, "policy", false);
    addMember<std::int64_t>(policy.command, policy.options, "--max-queued-tasks", "maxQueuedTasks",
                            "bound of a gateway's queue");
    addMember<std::int64_t>(policy.command, policy.options, "--max-queued-tasks-per-caller",
                            "maxQueuedTasksPerCaller", "bound for one caller");
    addMember<std::int64_t>(policy.command, policy.options, "--never-runnable-grace-ms",
                            "neverRunnableGraceMs", "wait for a backend server able to run a job");
    addMember<std::string>(policy.command, policy.options, "--placement", "placement",
                           "weighted_window, two_choices, least_loaded or random");
    addMember<std::string>(policy.command, policy.options, "--queueing", "queueing",
                           "fair or fifo");
}

} // namespace

void addConfigCommand(CLI::App &app, Context &context)
{
    CLI::App *config = app.add_subcommand("config", "read and change the configuration");
    config->require_subcommand(1);
    config->add_subcommand("get", "print the current configuration")->callback([&context] {
        context.exitCode = showConfiguration(context);
    });
    config->add_subcommand("history", "print the version at which each key last changed")
            ->callback([&context] { context.exitCode = showHistory(context); });
    auto seconds = std::make_shared<std::int64_t>(60);
    CLI::App *watch = config->add_subcommand("watch", "print each new version");
    watch->add_option("--seconds", *seconds, "how long")->capture_default_str();
    watch->callback(
            [&context, seconds] { context.exitCode = watchConfiguration(context, *seconds); });
    addSet(config, context);
}

} // namespace Tool
