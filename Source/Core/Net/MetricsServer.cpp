#include "Net/MetricsServer.h"

namespace Net {

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
        reply.send(response);
    };
    return HttpServerBuilder().listenOn(host, port).handler(answer).build();
}

} // namespace Net
