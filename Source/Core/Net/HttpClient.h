#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Net {

/// \a text with its %XX escapes resolved.
std::string percentDecoded(std::string_view text);
std::string percentEncoded(const std::string &text);

struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::string body;
    /// Further header lines, each "Name: value".
    std::vector<std::string> headers;
    std::int64_t connectTimeoutMs = 1000;
    std::int64_t timeoutMs = 10000;
    /// A timeout of it counts against all connections to the server. Not where it is so short that
    /// it says more of the answer than of the connection.
    bool marksSuspectConnections = true;
};

/// How far a call got. Only NotConnected proves that the server never saw the request.
enum class HttpTransport { Answered, NotConnected, Lost, TimedOut };

struct HttpResult
{
    HttpTransport transport = HttpTransport::NotConnected;
    int status = 0;
    std::string body;
    std::string error;
};

using HttpCallback = std::function<void(HttpResult)>;

/// Makes calls on one thread of its own, keeping connections open between calls. A request that was
/// written on a reused connection is never silently sent again on a fresh one: the server may have
/// acted on it, so the call ends as Lost.
class HttpClient
{
public:
    /// \a maxConnections bounds connections to any one server; further calls wait. After
    /// \a timeoutsUntilSuspect timeouts without an answer in between, no older connection to that
    /// server is used again.
    explicit HttpClient(int maxConnections, int timeoutsUntilSuspect = 1);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// \a done runs on the client's thread.
    void send(HttpCall call, HttpCallback done);
    /// Waits for the answer.
    HttpResult perform(HttpCall call);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Net
