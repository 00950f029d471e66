#include "Net/HttpServer.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <shared_mutex>
#include <stdexcept>

#include "Common/Log.h"
#include "Net/HttpClient.h"
#include "Schema/Schema.h"

namespace Net {

namespace {

namespace Http = Pistache::Http;

/// Pistache's own limit cuts a request off without a body in its answer; with this much more room
/// for headers and a longer body, a caller a little above the limit gets the reason.
constexpr std::size_t RequestHeadroomBytes = std::size_t{256} << 10U;
/// Pistache answers 408 on a connection that is older than this since its last request began, also
/// while the answer is still owed. It must be longer than any job may wait.
constexpr std::chrono::hours KeepAliveTimeout{24};
/// How long stop() waits for answers that are sent but not yet written.
constexpr std::chrono::seconds FlushTimeout{2};

/// Stands between replies, which live as long as their holder likes, and the endpoint, which ends.
struct Gate
{
    std::shared_mutex mutex;
    bool isOpen = true;
    std::mutex unwrittenMutex;
    std::condition_variable allWritten;
    int unwritten = 0;

    void addUnwritten(int change)
    {
        const std::lock_guard<std::mutex> lock(this->unwrittenMutex);
        this->unwritten += change;
        if (this->unwritten == 0) {
            this->allWritten.notify_all();
        }
    }

    void waitUntilWritten()
    {
        std::unique_lock<std::mutex> lock(this->unwrittenMutex);
        this->allWritten.wait_for(lock, FlushTimeout, [this] { return this->unwritten == 0; });
    }
};

HttpResponse bodyTooLarge(std::size_t limit)
{
    constexpr int ContentTooLarge = 413;
    HttpResponse response;
    response.status = ContentTooLarge;
    response.body = nlohmann::json{
            {"reason", Schema::enumName(Schema::Reason::BodyTooLarge)},
            {"detail", "a body may have " + std::to_string(limit) + " bytes"},
            {"notRun",
             true}}.dump();
    return response;
}

HttpRequest convert(const Http::Request &source)
{
    HttpRequest request;
    request.method = Http::methodString(source.method());
    request.path = percentDecoded(source.resource());
    request.body = source.body();
    const Http::Uri::Query &query = source.query();
    for (auto entry = query.parameters_begin(); entry != query.parameters_end(); ++entry) {
        request.query[percentDecoded(entry->first)] = percentDecoded(entry->second);
    }
    return request;
}

} // namespace

struct HttpReply::Implementation
{
    Implementation(Http::ResponseWriter writer, std::shared_ptr<Gate> gate)
        : writer(std::move(writer))
        , gate(std::move(gate))
    {}
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    ~Implementation()
    {
        constexpr int InternalServerError = 500;
        HttpResponse response;
        response.status = InternalServerError;
        this->send(response);
    }

    void send(const HttpResponse &response)
    {
        if (this->isAnswered.exchange(true)) {
            return;
        }
        // The writer refers to the endpoint's transport, which is gone after stop().
        const std::shared_lock<std::shared_mutex> lock(this->gate->mutex);
        if (!this->gate->isOpen) {
            return;
        }
        if (response.retryAfterSeconds > 0) {
            this->writer.headers().addRaw(
                    {"Retry-After", std::to_string(response.retryAfterSeconds)});
        }
        this->gate->addUnwritten(1);
        const auto written = [gate = this->gate] { gate->addUnwritten(-1); };
        this->writer
                .send(static_cast<Http::Code>(response.status), response.body,
                      Http::Mime::MediaType::fromString(response.contentType))
                .then([written](ssize_t) { written(); },
                      [written](const std::exception_ptr &) { written(); });
    }

    Http::ResponseWriter writer;
    std::shared_ptr<Gate> gate;
    std::atomic<bool> isAnswered = false;
};

HttpReply::HttpReply(std::shared_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

void HttpReply::send(HttpResponse response) const
{
    this->implementation->send(response);
}

namespace {

/// Pistache's way into a HttpHandler.
class RequestHandler : public Http::Handler
{
public:
    HTTP_PROTOTYPE(RequestHandler)

    RequestHandler(HttpHandler handler, std::size_t bodyLimit, std::shared_ptr<Gate> gate)
        : handler(std::move(handler))
        , bodyLimit(bodyLimit)
        , gate(std::move(gate))
    {}

    void onRequest(const Http::Request &request, Http::ResponseWriter writer) override
    {
        const HttpReply reply(
                std::make_shared<HttpReply::Implementation>(std::move(writer), this->gate));
        if (request.body().size() > this->bodyLimit) {
            reply.send(bodyTooLarge(this->bodyLimit));
            return;
        }
        this->handler(convert(request), reply);
    }

private:
    HttpHandler handler;
    std::size_t bodyLimit;
    std::shared_ptr<Gate> gate;
};

} // namespace

struct HttpServer::Implementation
{
    explicit Implementation(const Pistache::Address &address)
        : endpoint(address)
    {}

    Http::Endpoint endpoint;
    std::shared_ptr<Gate> gate = std::make_shared<Gate>();
    std::atomic<bool> isStopped = false;
};

HttpServer::HttpServer(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

HttpServer::~HttpServer()
{
    this->stop();
}

std::uint16_t HttpServer::port() const
{
    return this->implementation->endpoint.getPort();
}

void HttpServer::stop()
{
    if (this->implementation->isStopped.exchange(true)) {
        return;
    }
    const std::shared_ptr<Gate> &gate = this->implementation->gate;
    gate->waitUntilWritten();
    {
        const std::lock_guard<std::shared_mutex> lock(gate->mutex);
        gate->isOpen = false;
    }
    this->implementation->endpoint.shutdown();
}

HttpServerBuilder &HttpServerBuilder::listenOn(std::string host, std::uint16_t port)
{
    this->host = std::move(host);
    this->port = port;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::threads(int count)
{
    this->threadCount = count;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::maxBodyBytes(std::size_t bytes)
{
    this->bodyLimit = bytes;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::handler(HttpHandler handler)
{
    this->requestHandler = std::move(handler);
    return *this;
}

std::unique_ptr<HttpServer> HttpServerBuilder::build()
{
    using Pistache::Tcp::Options;
    const Pistache::Address address(this->host, Pistache::Port(this->port));
    auto implementation = std::make_unique<HttpServer::Implementation>(address);
    implementation->endpoint.init(
            Http::Endpoint::options()
                    .threads(this->threadCount)
                    .flags(Pistache::Flags<Options>(Options::ReuseAddr) | Options::NoDelay)
                    .maxRequestSize(this->bodyLimit + RequestHeadroomBytes)
                    .keepaliveTimeout(KeepAliveTimeout));
    implementation->endpoint.setHandler(std::make_shared<RequestHandler>(
            this->requestHandler, this->bodyLimit, implementation->gate));
    implementation->endpoint.serveThreaded();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

} // namespace Net
