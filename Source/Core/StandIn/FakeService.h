#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "Common/Common.h"
#include "Net/HttpServer.h"
#include "StandIn/FakeServer.h"
#include "StandIn/Replies.h"

namespace StandIn {

/// State that the services of all stand-in servers have. A service adds handle(), control(),
/// changeControl(), stats() and dropUnanswered(), all called with the mutex locked.
struct FakeService
{
    std::mutex mutex;
    bool stopping = false;
    std::string host;
    Common::TimerThread timers;
    std::unique_ptr<Net::HttpServer> server;
};

template <typename Service>
void startService(Service &service, const FakeServerAddress &address)
{
    constexpr std::size_t MaxBodyBytes = 16U << 20U;
    service.host = address.host;
    service.server =
            Net::HttpServerBuilder()
                    .listenOn(address.host, address.port)
                    .threads(address.threads)
                    .maxBodyBytes(MaxBodyBytes)
                    .handler([&service](const Net::HttpRequest &request,
                                        const Net::HttpReply &reply) {
                        const std::lock_guard<std::mutex> lock(service.mutex);
                        if (service.stopping) {
                            reply.send(reasonResponse(HttpStatus::Unavailable, "stopping"));
                            return;
                        }
                        service.handle(request, reply);
                    })
                    .build();
}

template <typename Service>
void stopService(Service &service)
{
    {
        const std::lock_guard<std::mutex> lock(service.mutex);
        service.stopping = true;
        service.dropUnanswered();
    }
    service.timers.stop();
    service.server->stop();
}

/// Answers /control/stats and /control.
template <typename Service>
void handleControl(Service &service, const Net::HttpRequest &request, const Net::HttpReply &reply)
{
    if (request.path == "/control/stats") {
        reply.send(jsonResponse(service.stats()));
        return;
    }
    if (request.method == "GET") {
        reply.send(jsonResponse(controlJson(service.control())));
        return;
    }
    Common::handle(
            [&]() -> Common::Outcome<void> {
                BOOST_LEAF_AUTO(control, changedControl(service.control(),
                                                        nlohmann::json::parse(request.body, nullptr,
                                                                              false)));
                service.changeControl(control);
                reply.send(jsonResponse(controlJson(service.control())));
                return {};
            },
            [&](const Common::Failure &failed) {
                reply.send(reasonResponse(HttpStatus::BadRequest, "malformed", failed.detail));
            });
}

template <typename Service, typename Control>
FakeServer<Service, Control>::FakeServer(std::unique_ptr<Service> service)
    : service(std::move(service))
{}

template <typename Service, typename Control>
FakeServer<Service, Control>::~FakeServer()
{
    stopService(*this->service);
}

template <typename Service, typename Control>
std::uint16_t FakeServer<Service, Control>::port() const
{
    return this->service->server->port();
}

template <typename Service, typename Control>
std::string FakeServer<Service, Control>::url() const
{
    return "http://" + this->service->host + ':' + std::to_string(this->port());
}

template <typename Service, typename Control>
Control FakeServer<Service, Control>::control() const
{
    const std::lock_guard<std::mutex> lock(this->service->mutex);
    return this->service->control();
}

template <typename Service, typename Control>
void FakeServer<Service, Control>::setControl(const Control &control)
{
    const std::lock_guard<std::mutex> lock(this->service->mutex);
    this->service->changeControl(control);
}

template <typename Service, typename Control>
nlohmann::json FakeServer<Service, Control>::stats() const
{
    const std::lock_guard<std::mutex> lock(this->service->mutex);
    return this->service->stats();
}

} // namespace StandIn
