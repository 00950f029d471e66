#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Net {

/// Returns \a text with its %XX escapes decoded.
std::string percentDecoded(std::string_view text);
std::string percentEncoded(const std::string &text);

struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::string body;
    /// Additional header lines, each "Name: value".
    std::vector<std::string> headers;
    std::int64_t connectTimeoutMs = 1000;
    std::int64_t timeoutMs = 10000;
    /// Whether a timeout of this call counts against all connections to the server. False for a
    /// timeout so short that it indicates a slow answer rather than a broken connection.
    bool marksSuspectConnections = true;
};

/// How far a call got. Only NotConnected proves that the server did not receive the request.
enum class HttpTransport { Answered, NotConnected, Lost, TimedOut };

struct HttpResult
{
    HttpTransport transport = HttpTransport::NotConnected;
    int status = 0;
    std::string body;
    std::string error;
};

using HttpCallback = std::function<void(HttpResult)>;

/// Makes calls on a thread of its own and keeps connections open between calls. A request that was
/// written to a reused connection is never repeated on a new one: the server may have acted on it,
/// so the call ends as Lost.
class HttpClient
{
public:
    /// \a maxConnections limits the connections to each server; further calls wait. After
    /// \a timeoutsUntilSuspect timeouts without an answer in between, older connections to that
    /// server are not used again.
    explicit HttpClient(int maxConnections, int timeoutsUntilSuspect = 1);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts the call and returns at once. \a done runs on the client's thread.
    void send(HttpCall call, HttpCallback done);
    /// Makes the call and waits for its result.
    HttpResult perform(HttpCall call);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Net
