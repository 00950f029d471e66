#include "Net/MetricsServer.h"

#include <utility>

namespace Net {

DropListener countDrops(Common::Metrics &metrics)
{
    return [&metrics](const DroppedAnswer &answer) {
        const std::string cause(Common::nameOf(DropCauseNames, answer.cause));
        metrics.count("auburntrail_answers_dropped_total", {{"cause", cause}});
    };
}

ReleaseListener countReleases(Common::Metrics &metrics, Listener listener)
{
    return [&metrics, listener](const Release &release) {
        metrics.count("auburntrail_connections_released_total",
                      {{"listener", std::string(Common::nameOf(ListenerNames, listener))},
                       {"stage", std::string(Common::nameOf(HoldingStageNames, release.stage))},
                       {"cause", std::string(Common::nameOf(ReleaseCauseNames, release.cause))}});
    };
}

HttpServerBuilder serverWithin(const ResourceBudget &budget, Listener listener,
                               Common::Metrics &metrics)
{
    HttpServerBuilder builder;
    builder.budget(budget, listener)
            .refused([&metrics](Schema::Reason reason) {
                metrics.count("auburntrail_requests_refused_total",
                              {{"reason", Schema::enumName(reason)}});
            })
            .dropped(countDrops(metrics))
            .released(countReleases(metrics, listener));
    return builder;
}

void exportUsage(Common::Metrics &metrics, const ResourceBudget &budget)
{
    for (const auto &[listener, usage] : budget.usage()) {
        const std::string name(Common::nameOf(ListenerNames, listener));
        metrics.set("auburntrail_client_connections", static_cast<double>(usage.connections),
                    {{"listener", name}});
        metrics.set("auburntrail_client_bytes", static_cast<double>(usage.bytes),
                    {{"listener", name}});
    }
}

std::unique_ptr<HttpServer> serveMetrics(const std::string &host, std::uint16_t port,
                                         Common::Metrics &metrics, const ResourceBudget &budget)
{
    const auto answer = [&metrics, &budget](const HttpRequest &request, const HttpReply &reply) {
        HttpResponse response;
        if (request.path == "/metrics") {
            exportUsage(metrics, budget);
            response.body = metrics.expose();
            response.contentType = "text/plain; version=0.0.4";
        } else if (request.path == "/health") {
            response.body = R"({"ok":true})";
        } else {
            constexpr int NotFound = 404;
            response.status = NotFound;
        }
        reply.send(std::move(response));
    };
    return serverWithin(budget, Listener::Metrics, metrics)
            .listenOn(host, port)
            .maxBodyBytes(SmallBodyBytes)
            .handler(answer)
            .build();
}

} // namespace Net
