#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

/// A small HTTP/1.1 server and client over loopback, for the stand-ins.
namespace Review {

struct Request
{
    std::string method;
    /// Without the query.
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response
{
    int status = 200;
    std::string body = "{}";
    std::string contentType = "application/json";
    /// The connection stays open and no answer is sent.
    bool isWithheld = false;
};

class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    /// Listens on 127.0.0.1; port 0 selects a free one.
    Server(std::uint16_t port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::uint16_t port() const;
    /// Closes the listener and resets all connections, as the end of a process does.
    void stop();

private:
    struct Connection
    {
        int socket = -1;
        std::thread thread;
    };

    void acceptAll();
    void serve(int socket);

    Handler handler;
    int listener = -1;
    std::uint16_t boundPort = 0;
    std::atomic<bool> isStopped = false;
    std::mutex mutex;
    std::list<Connection> connections;
    std::thread acceptor;
};

struct Answer
{
    /// 0 if there was no complete answer.
    int status = 0;
    std::string body;
};

struct Call
{
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    std::int64_t timeoutMs = 1000;
};

/// Sends the request on a new connection, and closes it after the answer or the timeout.
Answer send(const Call &call);

/// A port on which nobody listens at the moment.
std::uint16_t freePort();

} // namespace Review
