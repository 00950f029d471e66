#include "Daemon/Daemon.h"
#include "Gateway/Gateway.h"

namespace {

int serveJournaled(const Daemon::Options &options, const nlohmann::json &json)
{
    const auto settings = json.get<Schema::GatewaySettings>();
    return Daemon::serve(
            settings.name, Schema::enumName(settings.logLevel), options,
            [&settings] { return Gateway::GatewayDaemonBuilder().settings(settings).build(); },
            [](const Gateway::GatewayDaemon &daemon) {
                return Daemon::Ports{{"http", daemon.httpPort()}, {"peer", daemon.peerPort()}};
            });
}

int serveTransient(const Daemon::Options &options, const nlohmann::json &json)
{
    const auto settings = json.get<Schema::TransientGatewaySettings>();
    return Daemon::serve(
            settings.name, Schema::enumName(settings.logLevel), options,
            [&settings] { return Gateway::TransientDaemonBuilder().settings(settings).build(); },
            [](const Gateway::TransientDaemon &daemon) {
                return Daemon::Ports{{"caller", daemon.callerPort()},
                                     {"metrics", daemon.metricsPort()}};
            });
}

} // namespace

int main(int argc, char **argv)
{
    return Daemon::runProgram(
            argc, argv,
            {"auburntrail-gateway",
             "Gateway of auburntrail: accepts jobs from callers and ensures each task runs once.",
             {"GatewaySettings", serveJournaled},
             {"TransientGatewaySettings", serveTransient}});
}
