#include "Net/HttpServer.h"

#include <atomic>
#include <cctype>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>

#include "Net/ChunkedBody.h"
#include "Net/HttpClient.h"
#include "Net/HttpConnection.h"
#include "Net/RequestBoundary.h"
#include "Schema/Schema.h"

namespace Net {

namespace {

namespace Http = Pistache::Http;

/// Maximum size of the request line, headers and chunk sizes, in addition to the body.
constexpr std::size_t HeaderRoomBytes = std::size_t{64} << 10U;
/// Pistache answers 408 when this time has passed since a request, even if the request is not yet
/// answered: with its default of one minute, a job that waits longer would be cut off. This is
/// longer than the longest deadline of a job. Connections of callers that have vanished are
/// detected by enableKeepalive() instead.
constexpr std::chrono::hours IdleTimeout{2};

HttpResponse refusal(int status, Schema::Reason reason, const std::string &detail)
{
    HttpResponse response;
    response.status = status;
    response.body = nlohmann::json{
            {"reason", Schema::enumName(reason)},
            {"detail", detail},
            {"notRun",
             true}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

HttpResponse bodyTooLarge(std::size_t limit)
{
    constexpr int ContentTooLarge = 413;
    return refusal(ContentTooLarge, Schema::Reason::BodyTooLarge,
                   "the body exceeds the limit of " + std::to_string(limit) + " bytes");
}

HttpResponse malformedRequest(const std::string &detail)
{
    constexpr int BadRequest = 400;
    return refusal(BadRequest, Schema::Reason::Malformed, "HTTP: " + detail);
}

/// Lets the kernel detect a caller that has vanished without closing its connection. Otherwise the
/// connection would be kept until IdleTimeout.
void enableKeepalive(int socket)
{
    constexpr int On = 1;
    constexpr int IdleSeconds = 60;
    constexpr int ProbeSeconds = 10;
    constexpr int Probes = 3;
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof On);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &IdleSeconds, sizeof IdleSeconds);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeSeconds, sizeof ProbeSeconds);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof Probes);
}

std::string lowerCased(std::string text)
{
    for (char &letter : text) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return text;
}

std::map<std::string, std::string> headersOf(const Http::Request &source)
{
    std::map<std::string, std::string> headers;
    for (const auto &[name, raw] : source.headers().rawList()) {
        headers[lowerCased(raw.name())] = raw.value();
    }
    const auto host = source.headers().tryGet<Http::Header::Host>();
    if (host) {
        headers["host"] = host->host();
    }
    return headers;
}

HttpRequest convert(const Http::Request &source)
{
    HttpRequest request;
    request.method = Http::methodString(source.method());
    request.path = percentDecoded(source.resource());
    request.body = source.body();
    request.headers = headersOf(source);
    const Http::Uri::Query &query = source.query();
    for (auto entry = query.parameters_begin(); entry != query.parameters_end(); ++entry) {
        request.query[percentDecoded(entry->first)] = percentDecoded(entry->second);
    }
    return request;
}

/// Key of the CallerState in the data of a Pistache::Tcp::Peer.
constexpr const char *CallerStateName = "callerState";

/// What the library's thread knows of a connection while it reads requests.
struct CallerState
{
    CallerState(std::uint64_t number, int socket, std::shared_ptr<HttpServerState> server)
        : connection(std::make_shared<HttpConnection>(number, socket, std::move(server)))
    {}

    std::shared_ptr<HttpConnection> connection;
    RequestBoundary boundary;
    /// Set while a chunked body is read.
    std::optional<ChunkedBody> chunks;
    /// Whether "100 Continue" was sent for the request being read.
    bool isContinued = false;
};

/// Reads requests from the library and passes them to their HttpConnection. Replaces the library's
/// own reading of requests, which discards a request that arrives together with the one before,
/// does not return from some chunked bodies, and keeps scanning a body that is too long: 4 MB of it
/// occupied a thread for seconds, and the caller received no answer. Here such a connection is
/// answered once, and no further input is parsed.
class RequestHandler : public Http::Handler
{
public:
    HTTP_PROTOTYPE(RequestHandler)

    explicit RequestHandler(std::shared_ptr<HttpServerState> server)
        : server(std::move(server))
    {}

    /// Never called: onInput() takes the place of its caller.
    void onRequest(const Http::Request &, Http::ResponseWriter) override {}

private:
    using Peer = std::shared_ptr<Pistache::Tcp::Peer>;

    void onConnection(const Peer &peer) override
    {
        enableKeepalive(peer->fd());
        peer->putData(ParserData, std::make_shared<Http::RequestParser>(this->getMaxRequestSize()));
        peer->putData(CallerStateName,
                      std::make_shared<CallerState>(++lastConnection(), peer->fd(), this->server));
        ++this->server->connections;
    }

    void onDisconnection(const Peer &peer) override
    {
        HttpConnection &connection = *stateOf(peer)->connection;
        connection.disconnected();
        --this->server->connections;
        this->server->disconnected(connection.number());
    }

    /// Shared by the copies of the handler that the library makes, one for each thread.
    static std::atomic<std::uint64_t> &lastConnection()
    {
        static std::atomic<std::uint64_t> last = 0;
        return last;
    }

    void onInput(const char *bytes, std::size_t length, const Peer &peer) override
    {
        CallerState &state = *stateOf(peer);
        std::string_view input(bytes, length);
        while (!input.empty() && !state.connection->isInputIgnored()) {
            Http::RequestParser &parser = *getParser(peer);
            if (state.chunks) {
                input.remove_prefix(this->readChunks(state, parser, input));
                continue;
            }
            const std::size_t taken = state.boundary.take(input);
            this->read(state, parser, input.substr(0, taken));
            input.remove_prefix(taken);
        }
    }

    /// Reads \a input, which contains nothing beyond the end of the current request.
    void read(CallerState &state, Http::RequestParser &parser, std::string_view input)
    {
        try {
            if (!parser.feed(input.data(), input.size())) {
                this->refuse(state, Schema::Reason::BodyTooLarge, bodyTooLarge(this->bodyLimit()));
                return;
            }
            const bool isComplete = parser.parse() == Http::Private::State::Done;
            const bool isBodyNext = parser.step()->id() == Http::Private::BodyStep::Id;
            if (isBodyNext && this->isTooLong(parser.request)) {
                this->refuse(state, Schema::Reason::BodyTooLarge, bodyTooLarge(this->bodyLimit()));
            } else if (isComplete) {
                passOn(state, parser.request);
                parser.reset();
            } else if (isBodyNext) {
                expectBody(state, parser.request);
            } else if (state.boundary.isHeadComplete()) {
                // The library waits for the rest of a line that will not come.
                this->refuse(state, Schema::Reason::Malformed,
                             malformedRequest("the head ends within a line"));
            }
        } catch (const std::bad_alloc &) {
            // The library reserves memory for whatever length a request announces.
            this->refuse(state, Schema::Reason::BodyTooLarge, bodyTooLarge(this->bodyLimit()));
        } catch (const std::length_error &) {
            this->refuse(state, Schema::Reason::BodyTooLarge, bodyTooLarge(this->bodyLimit()));
        } catch (const std::exception &error) {
            this->refuse(state, Schema::Reason::Malformed, malformedRequest(error.what()));
        }
    }

    /// Returns the number of bytes that belong to the body.
    std::size_t readChunks(CallerState &state, Http::RequestParser &parser, std::string_view input)
    {
        std::size_t taken = input.size();
        try {
            taken = state.chunks->take(input);
        } catch (const std::runtime_error &error) {
            this->refuse(state, Schema::Reason::Malformed, malformedRequest(error.what()));
            return taken;
        }
        if (state.chunks->data().size() > this->bodyLimit()) {
            this->refuse(state, Schema::Reason::BodyTooLarge, bodyTooLarge(this->bodyLimit()));
        } else if (state.chunks->isComplete()) {
            passOn(state, parser.request);
            parser.reset();
        }
        return taken;
    }

    static std::shared_ptr<CallerState> stateOf(const Peer &peer)
    {
        return std::static_pointer_cast<CallerState>(peer->getData(CallerStateName));
    }

    std::size_t bodyLimit() const { return this->server->bodyLimit; }

    bool isTooLong(const Http::Request &request) const
    {
        const auto announced = request.headers().tryGet<Http::Header::ContentLength>();
        return (announced && announced->value() > this->bodyLimit())
               || request.body().size() > this->bodyLimit();
    }

    static void passOn(CallerState &state, const Http::Request &request)
    {
        const auto connection = request.headers().tryGet<Http::Header::Connection>();
        const bool isClosing = connection ? connection->control() == Http::ConnectionControl::Close
                                          : request.version() == Http::Version::Http10;
        ReceivedRequest received;
        received.request = convert(request);
        received.request.arrivedMs = state.connection->lastArrivalMs();
        received.isLast = isClosing;
        if (state.chunks) {
            received.request.body = state.chunks->data();
        }
        state.chunks.reset();
        state.boundary.reset();
        state.isContinued = false;
        state.connection->receive(std::move(received));
    }

    /// Called when the head of a request is read, and possibly a part of its body.
    static void expectBody(CallerState &state, const Http::Request &request)
    {
        if (state.boundary.isHeadComplete()) {
            const auto announced = request.headers().tryGet<Http::Header::ContentLength>();
            if (announced) {
                state.boundary.expectBody(announced->value());
            } else {
                state.chunks.emplace();
            }
        }
        // Some callers, such as curl's command line, send an Expect header before a long body and
        // wait a second for the interim answer.
        if (!state.isContinued && request.headers().has<Http::Header::Expect>()) {
            state.isContinued = true;
            state.connection->sendContinue();
        }
    }

    /// Answers and closes the connection. Further input belongs to the refused request and is not
    /// parsed.
    void refuse(CallerState &state, Schema::Reason reason, HttpResponse response)
    {
        this->server->refused(reason);
        response.closesConnection = true;
        ReceivedRequest received;
        received.refusal = std::move(response);
        received.isLast = true;
        state.connection->receive(std::move(received));
    }

    std::shared_ptr<HttpServerState> server;
};

} // namespace

struct HttpServer::Implementation
{
    Implementation(const Pistache::Address &address, std::shared_ptr<HttpServerState> state)
        : endpoint(address)
        , state(std::move(state))
    {}

    Http::Endpoint endpoint;
    std::shared_ptr<HttpServerState> state;
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

int HttpServer::openConnections() const
{
    return this->implementation->state->connections;
}

int HttpServer::unwrittenAnswers() const
{
    const std::lock_guard<std::mutex> lock(this->implementation->state->unwrittenMutex);
    return this->implementation->state->unwritten;
}

void HttpServer::stop()
{
    if (this->implementation->isStopped.exchange(true)) {
        return;
    }
    HttpServerState &state = *this->implementation->state;
    state.waitUntilWritten();
    {
        const std::lock_guard<std::shared_mutex> lock(state.mutex);
        state.isOpen = false;
    }
    state.writer.stop();
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

HttpServerBuilder &HttpServerBuilder::refused(HttpRefusalListener refused)
{
    this->refusalListener = std::move(refused);
    return *this;
}

HttpServerBuilder &HttpServerBuilder::disconnected(HttpDisconnectionListener disconnected)
{
    this->disconnectionListener = std::move(disconnected);
    return *this;
}

HttpServerBuilder &HttpServerBuilder::unreadLimits(UnreadLimits limits)
{
    this->limits = limits;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::dropped(DropListener dropped)
{
    this->dropListener = std::move(dropped);
    return *this;
}

std::unique_ptr<HttpServer> HttpServerBuilder::build()
{
    using Pistache::Tcp::Options;
    const Pistache::Address address(this->host, Pistache::Port(this->port));
    const auto state = std::make_shared<HttpServerState>(this->limits, this->dropListener);
    state->handler = this->requestHandler;
    state->refused = this->refusalListener;
    state->disconnected = this->disconnectionListener;
    state->bodyLimit = this->bodyLimit;
    auto implementation = std::make_unique<HttpServer::Implementation>(address, state);
    implementation->endpoint.init(
            Http::Endpoint::options()
                    .threads(this->threadCount)
                    .flags(Pistache::Flags<Options>(Options::ReuseAddr) | Options::NoDelay)
                    .maxRequestSize(this->bodyLimit + HeaderRoomBytes)
                    .headerTimeout(IdleTimeout)
                    .bodyTimeout(IdleTimeout)
                    .keepaliveTimeout(IdleTimeout));
    implementation->endpoint.setHandler(std::make_shared<RequestHandler>(state));
    implementation->endpoint.serveThreaded();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

} // namespace Net
