#include <iostream>

#include "Bench/Scrape.h"
#include "Commands.h"
#include "GatewayApi.h"
#include "Output.h"

namespace Tool {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t ProbeTimeoutMs = 2000;

std::string metric(const Samples &samples, const std::string &name)
{
    const auto found = samples.find(name);
    return found == samples.end() ? "-" : formatNumber(found->second, 0);
}

Row gatewayRow(const Context &context, const std::string &gateway)
{
    const ApiAnswer ready = callOneGateway(context, gateway, {"GET", "/ready", std::nullopt});
    if (!ready.isAnswered) {
        return {gateway, "no answer", "-", "-", "-", "-"};
    }
    const ApiAnswer metrics = callOneGateway(context, gateway, {"GET", "/metrics", std::nullopt});
    const Samples samples = parseSamples(plainText(metrics.body));
    const std::string reason =
            ready.body.is_object() ? plainText(ready.body.value("reason", Json("not ready"))) : "";
    return {gateway,
            ready.isOk() ? "ready" : reason,
            metric(samples, "auburntrail_config_version"),
            metric(samples, "auburntrail_shards_serving"),
            metric(samples, "auburntrail_tasks_queued"),
            metric(samples, "auburntrail_requests_open")};
}

ExitCode showStatus(Context context)
{
    context.timeoutMs = std::min(context.timeoutMs, ProbeTimeoutMs);
    std::vector<Row> rows{{"gateway", "state", "config", "shards", "queued", "requests"}};
    bool isAnyReady = false;
    for (const std::string &gateway : context.gateways) {
        rows.push_back(gatewayRow(context, gateway));
        isAnyReady = isAnyReady || rows.back().at(1) == "ready";
    }
    std::cout << formatTable(rows);
    return isAnyReady ? ExitCode::Done : ExitCode::Unreachable;
}

} // namespace

void addStatusCommand(CLI::App &app, Context &context)
{
    app.add_subcommand("status",
                       "show the state of the given gateways; exit code 4 if none is ready")
            ->callback([&context] { context.exitCode = showStatus(context); });
}

} // namespace Tool
