#include "Net/HttpServer.h"

#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <shared_mutex>
#include <stdexcept>
#include <sys/socket.h>

#include "Common/Log.h"
#include "Net/HttpClient.h"
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
/// How long stop() waits until answers that were sent are written to their connections.
constexpr std::chrono::seconds FlushTimeout{2};

/// The library has no class for this header, and writes only headers that have a class.
class RetryAfter : public Http::Header::Header
{
public:
    NAME("Retry-After")

    explicit RetryAfter(int seconds)
        : seconds(seconds)
    {}

    void write(std::ostream &stream) const override { stream << this->seconds; }

private:
    int seconds;
};

/// State shared by the endpoint and the replies. A reply may outlive the endpoint and checks isOpen
/// before it uses it.
struct EndpointState
{
    std::shared_mutex mutex;
    bool isOpen = true;
    std::mutex unwrittenMutex;
    std::condition_variable allWritten;
    int unwritten = 0;
    std::atomic<int> connections = 0;

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

/// Counts an answer as unwritten while the library holds the callback for the end of its write. If
/// the caller has disconnected, the library destroys the callback without calling it. A count that
/// only the call itself decremented would stay too high after one such caller: every later stop
/// would wait for the whole FlushTimeout while requests are still accepted and not answered.
class UnwrittenAnswer
{
public:
    explicit UnwrittenAnswer(std::shared_ptr<EndpointState> endpointState)
        : endpointState(std::move(endpointState))
    {
        this->endpointState->addUnwritten(1);
    }
    ~UnwrittenAnswer() { this->endpointState->addUnwritten(-1); }
    UnwrittenAnswer(const UnwrittenAnswer &) = delete;
    UnwrittenAnswer &operator=(const UnwrittenAnswer &) = delete;

private:
    std::shared_ptr<EndpointState> endpointState;
};

/// State of one connection.
struct ConnectionState
{
    std::uint64_t number = 0;
    bool isRefused = false;
    /// Whether "100 Continue" was sent for the request being read.
    bool isContinued = false;
    /// Guards isDisconnected while an answer is handed to the library.
    std::mutex mutex;
    bool isDisconnected = false;
};

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

} // namespace

struct HttpReply::Implementation
{
    Implementation(Http::ResponseWriter writer, std::shared_ptr<ConnectionState> connection,
                   std::shared_ptr<EndpointState> endpointState)
        : writer(std::move(writer))
        , connection(std::move(connection))
        , endpointState(std::move(endpointState))
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

    bool send(const HttpResponse &response)
    {
        if (this->isAnswered.exchange(true)) {
            return false;
        }
        // The writer refers to the endpoint's transport, which does not exist any more after
        // stop().
        const std::shared_lock<std::shared_mutex> lock(this->endpointState->mutex);
        if (!this->endpointState->isOpen) {
            return false;
        }
        // The library queues an answer by the number of its socket. After the caller has
        // disconnected, the number may be reused for another caller, which would receive an answer
        // to a request that it did not send.
        const std::lock_guard<std::mutex> connectionLock(this->connection->mutex);
        if (this->connection->isDisconnected) {
            return false;
        }
        if (response.retryAfterSeconds > 0) {
            this->writer.headers().add<RetryAfter>(response.retryAfterSeconds);
        }
        const std::shared_ptr<Pistache::Tcp::Peer> peer =
                response.closesConnection ? this->connectedPeer() : nullptr;
        if (peer) {
            // If a header is added twice, the library keeps the first one.
            this->writer.headers().remove<Http::Header::Connection>();
            this->writer.headers().add<Http::Header::Connection>(Http::ConnectionControl::Close);
        }
        const auto unwritten = std::make_shared<UnwrittenAnswer>(this->endpointState);
        const auto written = [unwritten, peer] {
            // The transport closes the connection after the caller has closed its side too.
            if (peer) {
                ::shutdown(peer->fd(), SHUT_WR);
            }
        };
        this->writer
                .send(static_cast<Http::Code>(response.status), response.body,
                      Http::Mime::MediaType::fromString(response.contentType))
                .then([written](ssize_t) { written(); },
                      [written](const std::exception_ptr &) { written(); });
        return true;
    }

    std::shared_ptr<Pistache::Tcp::Peer> connectedPeer() const
    {
        try {
            return this->writer.getPeer();
        } catch (const std::exception &) {
            // The library throws if the caller has disconnected: there is nothing left to close.
            return nullptr;
        }
    }

    Http::ResponseWriter writer;
    std::shared_ptr<ConnectionState> connection;
    std::shared_ptr<EndpointState> endpointState;
    std::atomic<bool> isAnswered = false;
};

HttpReply::HttpReply(std::shared_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

bool HttpReply::send(const HttpResponse &response) const
{
    return this->implementation->send(response);
}

namespace {

/// Key of the ConnectionState in the data of a Pistache::Tcp::Peer.
constexpr const char *ConnectionStateName = "connectionState";

/// Passes requests from Pistache to an HttpHandler. Replaces the library's own reading of requests,
/// which keeps scanning a body that is too long: 4 MB of it occupied a thread for seconds, and the
/// caller received no answer. Here such a connection is answered once, and no further input is
/// parsed.
class RequestHandler : public Http::Handler
{
public:
    HTTP_PROTOTYPE(RequestHandler)

    RequestHandler(HttpHandler handler, HttpRefusalListener refused,
                   HttpDisconnectionListener disconnected, std::size_t bodyLimit,
                   std::shared_ptr<EndpointState> endpointState)
        : handler(std::move(handler))
        , refused(std::move(refused))
        , disconnected(std::move(disconnected))
        , bodyLimit(bodyLimit)
        , endpointState(std::move(endpointState))
    {}

    void onRequest(const Http::Request &request, Http::ResponseWriter writer) override
    {
        const std::shared_ptr<ConnectionState> state = stateOf(writer.getPeer());
        const auto connection = request.headers().tryGet<Http::Header::Connection>();
        const bool isClosing = connection ? connection->control() == Http::ConnectionControl::Close
                                          : request.version() == Http::Version::Http10;
        writer.headers().add<Http::Header::Connection>(
                isClosing ? Http::ConnectionControl::Close : Http::ConnectionControl::KeepAlive);
        const HttpReply reply(std::make_shared<HttpReply::Implementation>(std::move(writer), state,
                                                                          this->endpointState));
        HttpRequest converted = convert(request);
        converted.connection = state->number;
        this->handler(std::move(converted), reply);
    }

private:
    using Peer = std::shared_ptr<Pistache::Tcp::Peer>;

    void onConnection(const Peer &peer) override
    {
        enableKeepalive(peer->fd());
        peer->putData(ParserData, std::make_shared<Http::RequestParser>(this->getMaxRequestSize()));
        const auto state = std::make_shared<ConnectionState>();
        state->number = ++lastConnection();
        ++this->endpointState->connections;
        peer->putData(ConnectionStateName, state);
    }

    void onDisconnection(const Peer &peer) override
    {
        const std::shared_ptr<ConnectionState> state = stateOf(peer);
        {
            const std::lock_guard<std::mutex> lock(state->mutex);
            state->isDisconnected = true;
        }
        // Handles queued answers while the socket is still open: until it is closed, its number
        // cannot be reused for another caller.
        this->transport()->flush();
        --this->endpointState->connections;
        this->disconnected(state->number);
    }

    /// Shared by the copies of the handler that the library makes, one for each thread.
    static std::atomic<std::uint64_t> &lastConnection()
    {
        static std::atomic<std::uint64_t> last = 0;
        return last;
    }

    void onInput(const char *bytes, std::size_t length, const Peer &peer) override
    {
        if (stateOf(peer)->isRefused) {
            return;
        }
        Http::RequestParser &parser = *getParser(peer);
        try {
            if (!parser.feed(bytes, length)) {
                this->refuse(peer, Schema::Reason::BodyTooLarge, bodyTooLarge(this->bodyLimit));
                return;
            }
            const bool isComplete = parser.parse() == Http::Private::State::Done;
            const bool isBodyNext = parser.step()->id() == Http::Private::BodyStep::Id;
            if (isBodyNext && this->isTooLong(parser.request)) {
                this->refuse(peer, Schema::Reason::BodyTooLarge, bodyTooLarge(this->bodyLimit));
            } else if (isComplete) {
                this->onRequest(parser.request, this->writerFor(peer));
                stateOf(peer)->isContinued = false;
                parser.reset();
            } else if (isBodyNext) {
                sendContinue(peer, parser.request);
            }
        } catch (const std::bad_alloc &) {
            // The library reserves memory for whatever length a request announces.
            this->refuse(peer, Schema::Reason::BodyTooLarge, bodyTooLarge(this->bodyLimit));
        } catch (const std::length_error &) {
            this->refuse(peer, Schema::Reason::BodyTooLarge, bodyTooLarge(this->bodyLimit));
        } catch (const std::exception &error) {
            this->refuse(peer, Schema::Reason::Malformed, malformedRequest(error.what()));
        }
    }

    static std::shared_ptr<ConnectionState> stateOf(const Peer &peer)
    {
        return std::static_pointer_cast<ConnectionState>(peer->getData(ConnectionStateName));
    }

    Http::ResponseWriter writerFor(const Peer &peer)
    {
        return {Http::Version::Http11, this->transport(), this, peer};
    }

    bool isTooLong(const Http::Request &request) const
    {
        const auto announced = request.headers().tryGet<Http::Header::ContentLength>();
        return (announced && announced->value() > this->bodyLimit)
               || request.body().size() > this->bodyLimit;
    }

    /// Answers and closes the connection. Further input belongs to the refused request and is not
    /// parsed.
    void refuse(const Peer &peer, Schema::Reason reason, const HttpResponse &response)
    {
        this->refused(reason);
        stateOf(peer)->isRefused = true;
        Http::ResponseWriter writer = this->writerFor(peer);
        writer.headers().add<Http::Header::Connection>(Http::ConnectionControl::Close);
        const auto closeForWriting = [peer] { ::shutdown(peer->fd(), SHUT_WR); };
        writer.send(static_cast<Http::Code>(response.status), response.body,
                    Http::Mime::MediaType::fromString(response.contentType))
                .then([closeForWriting](ssize_t) { closeForWriting(); },
                      [closeForWriting](const std::exception_ptr &) { closeForWriting(); });
    }

    /// Some callers, such as curl's command line, send an Expect header before a long body and wait
    /// a second for the interim answer.
    static void sendContinue(const Peer &peer, const Http::Request &request)
    {
        const std::shared_ptr<ConnectionState> state = stateOf(peer);
        if (state->isContinued || !request.headers().has<Http::Header::Expect>()) {
            return;
        }
        state->isContinued = true;
        static const std::string interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
        peer->send(Pistache::RawBuffer(interimAnswer, interimAnswer.size()));
    }

    HttpHandler handler;
    HttpRefusalListener refused;
    HttpDisconnectionListener disconnected;
    std::size_t bodyLimit;
    std::shared_ptr<EndpointState> endpointState;
};

} // namespace

struct HttpServer::Implementation
{
    explicit Implementation(const Pistache::Address &address)
        : endpoint(address)
    {}

    Http::Endpoint endpoint;
    std::shared_ptr<EndpointState> endpointState = std::make_shared<EndpointState>();
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
    return this->implementation->endpointState->connections;
}

int HttpServer::unwrittenAnswers() const
{
    const std::lock_guard<std::mutex> lock(this->implementation->endpointState->unwrittenMutex);
    return this->implementation->endpointState->unwritten;
}

void HttpServer::stop()
{
    if (this->implementation->isStopped.exchange(true)) {
        return;
    }
    const std::shared_ptr<EndpointState> &endpointState = this->implementation->endpointState;
    endpointState->waitUntilWritten();
    {
        const std::lock_guard<std::shared_mutex> lock(endpointState->mutex);
        endpointState->isOpen = false;
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

std::unique_ptr<HttpServer> HttpServerBuilder::build()
{
    using Pistache::Tcp::Options;
    const Pistache::Address address(this->host, Pistache::Port(this->port));
    auto implementation = std::make_unique<HttpServer::Implementation>(address);
    implementation->endpoint.init(
            Http::Endpoint::options()
                    .threads(this->threadCount)
                    .flags(Pistache::Flags<Options>(Options::ReuseAddr) | Options::NoDelay)
                    .maxRequestSize(this->bodyLimit + HeaderRoomBytes)
                    .headerTimeout(IdleTimeout)
                    .bodyTimeout(IdleTimeout)
                    .keepaliveTimeout(IdleTimeout));
    implementation->endpoint.setHandler(std::make_shared<RequestHandler>(
            this->requestHandler, this->refusalListener, this->disconnectionListener,
            this->bodyLimit, implementation->endpointState));
    implementation->endpoint.serveThreaded();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

} // namespace Net
