#include "Agent/Agent.h"
#include "Daemon/Daemon.h"
#include "Runner/Runner.h"

namespace {

Daemon::Ports httpPort(std::uint16_t port)
{
    return {{"http", port}};
}

int serveJournaled(const Daemon::Options &options, const nlohmann::json &json)
{
    const auto settings = json.get<Schema::AgentSettings>();
    return Daemon::serve(
            settings.name, Schema::enumName(settings.logLevel), options,
            [&settings] { return Agent::AgentDaemonBuilder().settings(settings).build(); },
            [](const Agent::AgentDaemon &daemon) { return httpPort(daemon.metricsPort()); });
}

int serveTransient(const Daemon::Options &options, const nlohmann::json &json)
{
    const auto settings = json.get<Schema::TransientAgentSettings>();
    return Daemon::serve(
            settings.name, Schema::enumName(settings.logLevel), options,
            [&settings] { return Runner::RunnerDaemonBuilder().settings(settings).build(); },
            [](const Runner::RunnerDaemon &daemon) { return httpPort(daemon.metricsPort()); });
}

} // namespace

int main(int argc, char **argv)
{
    return Daemon::runProgram(argc, argv,
                              {"auburntrail-agent",
                               "Agent of auburntrail: runs beside a backend server, starts its "
                               "tasks once and keeps their outcomes.",
                               {"AgentSettings", serveJournaled},
                               {"TransientAgentSettings", serveTransient}});
}
