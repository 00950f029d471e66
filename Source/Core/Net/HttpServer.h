#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Net/Holdings.h"
#include "Net/ResourceBudget.h"
#include "Net/UnreadAnswers.h"
#include "Schema/Schema.h"

namespace Net {

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Values by name in lower case. If a name occurs more than once, the last value is kept.
    std::map<std::string, std::string> headers;
    std::string body;
    /// Number of the connection that the request came on; never reused within a server.
    std::uint64_t connection = 0;
    /// When its last bytes arrived at this machine, on the steady clock.
    std::int64_t arrivedMs = 0;
};

struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    /// Value of the Retry-After header in seconds; 0 sends no such header.
    int retryAfterSeconds = 0;
    /// Closes the connection after this answer, and sends "Connection: Close" with it.
    bool closesConnection = false;
};

/// Answers one request, once, from any thread and at any later time. If the last copy is destroyed
/// without an answer, the request is answered with status 500.
class HttpReply
{
public:
    struct Implementation;
    explicit HttpReply(std::shared_ptr<Implementation> implementation);

    /// False if the answer is not delivered: the caller has disconnected, the request was answered
    /// before, or the server has stopped. An answer that the caller does not read may be given up
    /// later, see UnreadLimits.
    bool send(HttpResponse response) const;

    /// True if the caller has closed its connection or its sending side, also where the server's
    /// thread has not read that yet.
    bool hasCallerLeft() const;

private:
    std::shared_ptr<Implementation> implementation;
};

/// Called on one of the server's threads for each request, also at the same time on several ones;
/// must not block. Requests on the same connection are handed on one at a time, the next one when
/// the answer to the one before is written.
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

/// Called on one of the server's threads for each request that is refused without a
/// call of the handler.
using HttpRefusalListener = std::function<void(Schema::Reason)>;

/// Called on one of the server's threads when a connection has ended, with its number.
using HttpDisconnectionListener = std::function<void(std::uint64_t)>;

/// Called for each answer that is given up since its caller does not read it, on one of the
/// server's threads.
using DropListener = std::function<void(const DroppedAnswer &)>;

/// Called for each connection that is given up to stay within the limits, on one of the server's
/// threads.
using ReleaseListener = std::function<void(const Release &)>;

/// Serves HTTP on threads of its own from construction until stop() or destruction.
class HttpServer
{
public:
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The port that the server listens on; the assigned one if port 0 was requested.
    std::uint16_t port() const;

    /// Number of connections that are open now.
    int openConnections() const;

    /// Number of answers that were sent and are not yet written to their connections.
    int unwrittenAnswers() const;

    /// Waits a limited time for unwritten answers, then stops listening, reading and writing. All
    /// pending requests must be answered before this call. Connections that are still open end with
    /// the process.
    void stop();

private:
    friend class HttpServerBuilder;
    struct Implementation;
    explicit HttpServer(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation;
};

class HttpServerBuilder
{
public:
    HttpServerBuilder &listenOn(std::string host, std::uint16_t port);
    HttpServerBuilder &threads(int count);
    /// A request with a longer body is answered with status 413 and Reason body_too_large.
    HttpServerBuilder &maxBodyBytes(std::size_t bytes);
    HttpServerBuilder &handler(HttpHandler handler);
    HttpServerBuilder &refused(HttpRefusalListener refused);
    HttpServerBuilder &disconnected(HttpDisconnectionListener disconnected);
    /// Limits what the server holds for its clients; \a listener names it in log lines. Without
    /// this it has the default ListenerLimits for itself.
    HttpServerBuilder &budget(const ResourceBudget &budget, Listener listener);
    /// Replaces the limits of the budget.
    HttpServerBuilder &limits(const ListenerLimits &limits);
    HttpServerBuilder &unreadLimits(UnreadLimits limits);
    HttpServerBuilder &dropped(DropListener dropped);
    HttpServerBuilder &released(ReleaseListener released);
    /// Starts to listen and serve. Throws std::runtime_error if it cannot listen on the address.
    std::unique_ptr<HttpServer> build();

private:
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    int threadCount = 1;
    std::size_t bodyLimit = 1U << 20U;
    HttpHandler requestHandler;
    HttpRefusalListener refusalListener = [](Schema::Reason) {};
    HttpDisconnectionListener disconnectionListener = [](std::uint64_t) {};
    std::shared_ptr<ListenerBudget> listenerBudget;
    Listener listener = Listener::Callers;
    ListenerLimits ownLimits;
    DropListener dropListener = [](const DroppedAnswer &) {};
    ReleaseListener releaseListener = [](const Release &) {};
};

} // namespace Net
