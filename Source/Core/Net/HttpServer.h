#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Schema/Schema.h"

namespace Net {

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// By name in lower case; where a name came twice, the last value.
    std::map<std::string, std::string> headers;
    std::string body;
    /// Of the connection it came on, never reused within a server.
    std::uint64_t connection = 0;
};

struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    /// Seconds for a Retry-After header; 0 sends none.
    int retryAfterSeconds = 0;
    /// Ends the connection after this answer, and says so.
    bool closesConnection = false;
};

/// The right to answer one request, once, from any thread and at any later time. A reply that is
/// dropped unanswered closes the request with status 500.
class HttpReply
{
public:
    struct Implementation;
    explicit HttpReply(std::shared_ptr<Implementation> implementation);

    /// False where it is not delivered: the caller has gone, or was answered before.
    bool send(const HttpResponse &response) const;

private:
    std::shared_ptr<Implementation> implementation;
};

/// Called on one of the server's threads; must not block.
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

/// Called on one of the server's threads for each request that is refused before the handler.
using HttpRefusalListener = std::function<void(Schema::Reason)>;

/// Called on one of the server's threads when a connection has ended, with its number.
using HttpDisconnectionListener = std::function<void(std::uint64_t)>;

/// Serves HTTP on threads of its own from construction to destruction.
class HttpServer
{
public:
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The port it listens on, also where 0 was asked for.
    std::uint16_t port() const;

    /// Connections of callers that are open now.
    int openConnections() const;

    /// Answers that were sent and are not written to their connections yet.
    int unwrittenAnswers() const;

    /// Stops listening and closes all connections. Answers still owed must have been sent.
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
    /// A longer body is answered with status 413 and Reason body_too_large.
    HttpServerBuilder &maxBodyBytes(std::size_t bytes);
    HttpServerBuilder &handler(HttpHandler handler);
    HttpServerBuilder &refused(HttpRefusalListener refused);
    HttpServerBuilder &disconnected(HttpDisconnectionListener disconnected);
    /// Listens and serves. Throws std::runtime_error where the address cannot be had.
    std::unique_ptr<HttpServer> build();

private:
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    int threadCount = 1;
    std::size_t bodyLimit = 1U << 20U;
    HttpHandler requestHandler;
    HttpRefusalListener refusalListener = [](Schema::Reason) {};
    HttpDisconnectionListener disconnectionListener = [](std::uint64_t) {};
};

} // namespace Net
