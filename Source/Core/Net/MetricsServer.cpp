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

std::unique_ptr<HttpServer> serveMetrics(const std::string &host, std::uint16_t port,
                                         Common::Metrics &metrics)
{
    const auto answer = [&metrics](const HttpRequest &request, const HttpReply &reply) {
        HttpResponse response;
        if (request.path == "/metrics") {
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
    return HttpServerBuilder()
            .listenOn(host, port)
            .dropped(countDrops(metrics))
            .handler(answer)
            .build();
}

} // namespace Net
