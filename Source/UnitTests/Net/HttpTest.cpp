#include <atomic>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>
#include <vector>

#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "RawServer.h"

namespace {

using Net::HttpTransport;

constexpr std::size_t BodyLimit = std::size_t{2} << 20U;
const std::string RawAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::unique_ptr<Net::HttpServer> serve(Net::HttpHandler handler)
{
    return Net::HttpServerBuilder()
            .threads(2)
            .maxBodyBytes(BodyLimit)
            .handler(std::move(handler))
            .build();
}

std::string urlOf(std::uint16_t port, const std::string &path = "/")
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

Net::HttpCall post(std::uint16_t port, const std::string &body)
{
    Net::HttpCall call;
    call.method = "POST";
    call.url = urlOf(port);
    call.body = body;
    return call;
}

/// Returns a port on which a server was listening a moment ago and no longer is.
std::uint16_t closedPort()
{
    return serve([](const Net::HttpRequest &, const Net::HttpReply &) {})->port();
}

/// Counts down to zero.
class Latch
{
public:
    explicit Latch(int count)
        : count(count)
    {}

    void countDown()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        --this->count;
        this->changed.notify_all();
    }

    bool wait()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds(20),
                                      [this] { return this->count <= 0; });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    int count;
};

} // namespace

TEST_CASE("A request reaches the handler with method, path, query and body")
{
    const auto server = serve([](const Net::HttpRequest &request, const Net::HttpReply &reply) {
        Net::HttpResponse response;
        response.body = request.method + ' ' + request.path;
        for (const auto &entry : request.query) {
            response.body += ' ' + entry.first + '=' + entry.second;
        }
        response.body += ' ' + request.body;
        reply.send(response);
    });
    struct Row
    {
        const char *method;
        const char *path;
        const char *body;
        const char *seen;
    };
    const Row rows[] = {
            {"GET", "/v1/jobs/a", "", "GET /v1/jobs/a "},
            {"GET", "/v1/jobs/a%3Ab?wait=false", "", "GET /v1/jobs/a:b wait=false "},
            {"POST", "/v1/jobs?wait=false&x=a%20b", "{}", "POST /v1/jobs wait=false x=a b {}"},
            {"DELETE", "/v1/jobs/a", "", "DELETE /v1/jobs/a "},
    };
    Net::HttpClient client(4);
    for (const Row &row : rows) {
        Net::HttpCall call;
        call.method = row.method;
        call.url = urlOf(server->port(), row.path);
        call.body = row.body;
        const Net::HttpResult result = client.perform(call);
        CHECK(result.transport == HttpTransport::Answered);
        CHECK(result.status == 200);
        CHECK(result.body == row.seen);
    }
}

TEST_CASE("Bodies up to the limit pass whole, longer ones are refused with the reason")
{
    const auto server = serve([](const Net::HttpRequest &request, const Net::HttpReply &reply) {
        reply.send({200, request.body, "text/plain", 0});
    });
    struct Row
    {
        std::size_t size;
        int status;
    };
    const Row rows[] = {{1U << 10U, 200},     {1U << 20U, 200},      {BodyLimit, 200},
                        {BodyLimit + 1, 413}, {BodyLimit * 16, 413}, {1, 200}};
    Net::HttpClient client(4);
    for (const Row &row : rows) {
        CAPTURE(row.size);
        const std::string body(row.size, 'b');
        const Net::HttpResult result = client.perform(post(server->port(), body));
        INFO(result.body.substr(0, 200));
        CHECK(result.status == row.status);
        if (row.status == 200) {
            CHECK((result.body == body));
        } else {
            CHECK(result.body.find("body_too_large") != std::string::npos);
        }
    }
}

TEST_CASE("A body refused before the handler is counted by its reason")
{
    std::atomic<int> tooLarge{0};
    const auto server = Net::HttpServerBuilder()
                                .maxBodyBytes(BodyLimit)
                                .refused([&tooLarge](Schema::Reason reason) {
                                    tooLarge += reason == Schema::Reason::BodyTooLarge ? 1 : 0;
                                })
                                .handler([](const Net::HttpRequest &, const Net::HttpReply &reply) {
                                    reply.send({});
                                })
                                .build();
    Net::HttpClient client(4);
    CHECK(client.perform(post(server->port(), std::string(BodyLimit + 1, 'b'))).status == 413);
    CHECK(client.perform(post(server->port(), "b")).status == 200);
    CHECK(tooLarge == 1);
}

TEST_CASE("What a raw client sends is answered as HTTP asks")
{
    const auto server = serve([](const Net::HttpRequest &request, const Net::HttpReply &reply) {
        reply.send({200, request.body, "text/plain", 7});
    });
    const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
    struct Row
    {
        const char *name;
        std::string request;
        const char *expected;
    };
    const Row rows[] = {
            {"not HTTP", "hello there\r\n\r\n", "400 Bad Request"},
            {"a line that ends too early", "hello\r\n\r\n", "400 Bad Request"},
            {"length beyond memory", post + "Content-Length: 99999999999999999\r\n\r\n",
             "body_too_large"},
            {"chunks", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
             "\r\n\r\nab"},
            {"connection kept by default", post + "Content-Length: 2\r\n\r\nab",
             "Connection: Keep-Alive"},
            {"connection closed on request",
             post + "Connection: close\r\nContent-Length: 2\r\n\r\nab", "Connection: Close"},
            {"leave asked for a body", post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n",
             "100 Continue"},
            {"retry time", post + "Content-Length: 2\r\n\r\nab", "Retry-After: 7"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const std::string answer = RawServer::exchange(server->port(), row.request, row.expected);
        INFO(row.name, ": ", answer);
        CHECK(answer.find(row.expected) != std::string::npos);
    }
}

TEST_CASE("An answer that ends its connection says so")
{
    // A stopping gateway answers on connections that its callers would reuse. Without
    // "Connection: Close", a caller sends its next request on a connection that is no longer read.
    const auto server = serve([](const Net::HttpRequest &, const Net::HttpReply &reply) {
        reply.send({200, "bye", "text/plain", 0, true});
    });
    const std::string post = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab";
    const std::string answer = RawServer::exchange(server->port(), post, "bye");
    CHECK(answer.find("Connection: Close") != std::string::npos);
    CHECK(answer.find("Keep-Alive") == std::string::npos);
}

TEST_CASE("The handler receives the headers, and the end of each connection is reported")
{
    Latch ended(1);
    std::atomic<std::uint64_t> opened{0};
    std::atomic<std::uint64_t> closed{0};
    const auto server =
            Net::HttpServerBuilder()
                    .disconnected([&](std::uint64_t connection) {
                        closed = connection;
                        ended.countDown();
                    })
                    .handler([&](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        opened = request.connection;
                        const auto found = request.headers.find("x-wait-ms");
                        const bool isThere = found != request.headers.end();
                        reply.send({200,
                                    request.headers.at("host") + ' '
                                            + (isThere ? found->second : "none"),
                                    "text/plain", 0, false});
                    })
                    .build();
    {
        Net::HttpClient client(1);
        Net::HttpCall call = post(server->port(), "ab");
        call.headers = {"Host: desk.example", "X-Wait-Ms: 70"};
        CHECK(client.perform(call).body == "desk.example 70");
    }
    REQUIRE(ended.wait());
    CHECK(opened == closed);
    CHECK(opened != 0);
}

TEST_CASE("Replies can be sent later, from another thread, in any order")
{
    constexpr int Requests = 100;
    std::mutex mutex;
    std::vector<std::pair<std::string, Net::HttpReply>> pendingReplies;
    Latch arrived(Requests);
    const auto server = serve([&](const Net::HttpRequest &request, const Net::HttpReply &reply) {
        const std::lock_guard<std::mutex> lock(mutex);
        pendingReplies.emplace_back(request.body, reply);
        arrived.countDown();
    });
    Net::HttpClient client(Requests);
    Latch answered(Requests);
    std::atomic<int> crossed = 0;
    for (int number = 0; number < Requests; ++number) {
        const std::string body = std::to_string(number);
        client.send(post(server->port(), body), [&, body](const Net::HttpResult &result) {
            crossed += result.body == body ? 0 : 1;
            answered.countDown();
        });
    }
    REQUIRE(arrived.wait());
    for (auto entry = pendingReplies.rbegin(); entry != pendingReplies.rend(); ++entry) {
        entry->second.send({200, entry->first, "text/plain", 0});
    }
    REQUIRE(answered.wait());
    CHECK(crossed == 0);
}

TEST_CASE("A dropped reply is answered with status 500, a second answer is ignored")
{
    const auto server = serve([](const Net::HttpRequest &request, const Net::HttpReply &reply) {
        if (request.body == "twice") {
            reply.send({200, "first", "text/plain", 0});
            reply.send({200, "second", "text/plain", 0});
        }
    });
    Net::HttpClient client(1);
    CHECK(client.perform(post(server->port(), "drop")).status == 500);
    CHECK(client.perform(post(server->port(), "twice")).body == "first");
    CHECK(client.perform(post(server->port(), "drop")).status == 500);
}

TEST_CASE("Connections are kept between calls")
{
    std::atomic<int> connections = 0;
    std::atomic<int> requests = 0;
    RawServer server([&](RawServer::Socket &socket, int) {
        ++connections;
        while (!RawServer::readRequest(socket).empty()) {
            ++requests;
            RawServer::write(socket, RawAnswer);
        }
    });
    {
        Net::HttpClient client(1);
        for (int round = 0; round < 5; ++round) {
            CHECK(client.perform(post(server.port(), "{}")).body == "ok");
        }
    }
    CHECK(requests == 5);
    CHECK(connections == 1);
}

TEST_CASE("Stopping waits for answers that are on their way")
{
    // A caller waits for its answer while the gateway stops. The answer is handed over just before
    // stop(), and must still reach the caller completely before the threads that write it end.
    const std::string body(1U << 20U, 'a');
    for (int round = 0; round < 10; ++round) {
        std::mutex mutex;
        std::vector<Net::HttpReply> pendingReplies;
        Latch arrived(1);
        const auto server = serve([&](const Net::HttpRequest &, const Net::HttpReply &reply) {
            const std::lock_guard<std::mutex> lock(mutex);
            pendingReplies.push_back(reply);
            arrived.countDown();
        });
        Net::HttpClient client(1);
        Latch answered(1);
        Net::HttpResult received;
        client.send(post(server->port(), "{}"), [&](Net::HttpResult result) {
            received = std::move(result);
            answered.countDown();
        });
        REQUIRE(arrived.wait());
        pendingReplies.front().send({200, body, "text/plain", 0});
        server->stop();
        REQUIRE(answered.wait());
        CHECK(received.transport == HttpTransport::Answered);
        CHECK((received.body == body));
    }
}

TEST_CASE("An answer to a caller that has disconnected does not delay a stop")
{
    // Callers close their connections while their answers are being written. The answers are
    // dropped with the connections. If they stayed counted as unwritten, the server's stop would
    // wait for them in vain, and the process would exceed the time it has for stopping.
    constexpr int Callers = 40;
    constexpr int Rounds = 3000;
    constexpr std::chrono::milliseconds Pause{10};
    const std::string body(1U << 20U, 'a');
    std::mutex mutex;
    std::vector<Net::HttpReply> pendingReplies;
    const auto server = serve([&](const Net::HttpRequest &, const Net::HttpReply &reply) {
        const std::lock_guard<std::mutex> lock(mutex);
        pendingReplies.push_back(reply);
    });
    const auto countPending = [&] {
        const std::lock_guard<std::mutex> lock(mutex);
        return pendingReplies.size();
    };
    for (int caller = 0; caller < Callers; ++caller) {
        const std::size_t before = countPending();
        std::thread leavingCaller([&] {
            Net::HttpClient client(1);
            Net::HttpCall call = post(server->port(), "{}");
            call.timeoutMs = 30;
            client.perform(call);
        });
        while (countPending() == before) {
            std::this_thread::yield();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(caller));
        pendingReplies.back().send({200, body, "text/plain", 0});
        leavingCaller.join();
    }
    for (int round = 0; round < Rounds && server->unwrittenAnswers() > 0; ++round) {
        std::this_thread::sleep_for(Pause);
    }
    CHECK(server->unwrittenAnswers() == 0);
}

TEST_CASE("A reply may outlive its caller and its server")
{
    // Replies are sent after their caller has timed out and disconnected, and after the server has
    // stopped. Both must have no effect.
    std::mutex mutex;
    std::vector<Net::HttpReply> pendingReplies;
    const auto server = serve([&](const Net::HttpRequest &, const Net::HttpReply &reply) {
        const std::lock_guard<std::mutex> lock(mutex);
        pendingReplies.push_back(reply);
    });
    for (int round = 0; round < 2; ++round) {
        Net::HttpClient client(1);
        Net::HttpCall call = post(server->port(), "{}");
        call.timeoutMs = 100;
        CHECK(client.perform(call).transport == HttpTransport::TimedOut);
    }
    REQUIRE(pendingReplies.size() == 2);
    pendingReplies.front().send({200, "late", "text/plain", 0});
    server->stop();
    pendingReplies.back().send({200, "too late", "text/plain", 0});
    pendingReplies.clear();
    CHECK_THROWS_AS(Net::HttpServerBuilder().listenOn("192.0.2.1", 1).handler(nullptr).build(),
                    std::runtime_error);
}

TEST_CASE("Only a call whose connection was never made is NotConnected")
{
    struct Row
    {
        const char *name;
        RawServer::Serve serve;
        HttpTransport transport;
    };
    const Row rows[] = {
            {"answered",
             [](RawServer::Socket &socket, int) {
                 RawServer::readRequest(socket);
                 RawServer::write(socket, RawAnswer);
             },
             HttpTransport::Answered},
            {"closed after accepting", [](RawServer::Socket &, int) {}, HttpTransport::Lost},
            {"closed after reading the request",
             [](RawServer::Socket &socket, int) { RawServer::readRequest(socket); },
             HttpTransport::Lost},
            {"closed within the answer",
             [](RawServer::Socket &socket, int) {
                 RawServer::readRequest(socket);
                 RawServer::write(socket, RawAnswer.substr(0, RawAnswer.size() - 1));
             },
             HttpTransport::Lost},
            {"silent",
             [](RawServer::Socket &socket, int) {
                 RawServer::readRequest(socket);
                 RawServer::readRequest(socket);
             },
             HttpTransport::TimedOut},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        RawServer server(row.serve);
        Net::HttpClient client(1);
        Net::HttpCall call = post(server.port(), "{}");
        call.timeoutMs = 300;
        CHECK(client.perform(call).transport == row.transport);
    }
    Net::HttpClient client(1);
    CHECK(client.perform(post(closedPort(), "{}")).transport == HttpTransport::NotConnected);
}

TEST_CASE("A POST on a kept connection reaches a server that closes it exactly once")
{
    // A server answers one POST, reads a second one on the same connection, executes it and closes
    // the connection without an answer. By default curl would open a new connection and send the
    // POST again, so that a crew is dispatched twice. The call must end as Lost instead.
    std::atomic<int> seen = 0;
    RawServer server([&seen](RawServer::Socket &socket, int number) {
        if (RawServer::readRequest(socket).empty()) {
            return;
        }
        ++seen;
        RawServer::write(socket, RawAnswer);
        if (number == 1) {
            seen += RawServer::readRequest(socket).empty() ? 0 : 1;
            return;
        }
        // Keeps the connection open, so that the next call does not use it while it is closing.
        while (!RawServer::readRequest(socket).empty()) {
            RawServer::write(socket, RawAnswer);
        }
    });
    for (const char *method : {"POST", "DELETE"}) {
        CAPTURE(method);
        seen = 0;
        Net::HttpClient client(1);
        Net::HttpCall call = post(server.port(), "{}");
        call.method = method;
        CHECK(client.perform(call).transport == HttpTransport::Answered);
        if (std::string(method) == "POST") {
            CHECK(client.perform(call).transport == HttpTransport::Lost);
            CHECK(seen == 2);
        }
        CHECK(client.perform(call).transport == HttpTransport::Answered);
    }
}

TEST_CASE("A connection that the server closed while idle is not used again")
{
    std::atomic<int> seen = 0;
    Latch closed(1);
    RawServer server([&](RawServer::Socket &socket, int number) {
        if (!RawServer::readRequest(socket).empty()) {
            ++seen;
            RawServer::write(socket, RawAnswer);
        }
        socket.close();
        if (number == 1) {
            closed.countDown();
        }
    });
    Net::HttpClient client(1);
    CHECK(client.perform(post(server.port(), "{}")).transport == HttpTransport::Answered);
    REQUIRE(closed.wait());
    CHECK(client.perform(post(server.port(), "{}")).transport == HttpTransport::Answered);
    CHECK(seen == 2);
}

TEST_CASE("One timeout is enough to leave all connections that have gone silent")
{
    // A firewall drops its state of two open connections of the client; new connections work. The
    // first call on one of the two times out. The next call must not time out on the other one: the
    // client opens a new connection, even if the timeout was some seconds ago.
    Latch bothOpen(2);
    std::atomic<int> answered = 0;
    RawServer server([&](RawServer::Socket &socket, int number) {
        constexpr int SilentConnections = 2;
        if (number <= SilentConnections && !RawServer::readRequest(socket).empty()) {
            bothOpen.countDown();
            bothOpen.wait();
            RawServer::write(socket, RawAnswer);
        }
        while (!RawServer::readRequest(socket).empty()) {
            if (number > SilentConnections) {
                ++answered;
                RawServer::write(socket, RawAnswer);
            }
        }
    });
    Net::HttpClient client(2);
    Latch pooled(2);
    for (int number = 0; number < 2; ++number) {
        client.send(post(server.port(), "{}"),
                    [&pooled](const Net::HttpResult &) { pooled.countDown(); });
    }
    REQUIRE(pooled.wait());
    Net::HttpCall call = post(server.port(), "{}");
    call.timeoutMs = 300;
    CHECK(client.perform(call).transport == HttpTransport::TimedOut);
    CHECK(client.perform(call).transport == HttpTransport::Answered);
    std::this_thread::sleep_for(std::chrono::milliseconds(2200));
    Latch ended(2);
    for (int number = 0; number < 2; ++number) {
        client.send(call, [&ended](const Net::HttpResult &) { ended.countDown(); });
    }
    REQUIRE(ended.wait());
    CHECK(answered == 3);
}

TEST_CASE("After a timeout, calls share the new connection")
{
    // A backend server left a call unanswered. For 2 s after the timeout each call opened a new
    // connection (20 calls, 20 connections), although the first new one worked.
    std::atomic<int> connections = 0;
    RawServer server([&](RawServer::Socket &socket, int number) {
        ++connections;
        while (!RawServer::readRequest(socket).empty()) {
            if (number > 1) {
                RawServer::write(socket, RawAnswer);
            }
        }
    });
    Net::HttpClient client(2);
    Net::HttpCall call = post(server.port(), "{}");
    call.timeoutMs = 100;
    CHECK(client.perform(call).transport == HttpTransport::TimedOut);
    for (int number = 0; number < 20; ++number) {
        CHECK(client.perform(call).transport == HttpTransport::Answered);
    }
    CHECK(connections.load() == 2);
}

TEST_CASE("Calls that wait for a connection end in time, too")
{
    // The server never answers and the client may use one connection. The second call waits for the
    // first, and must end by its own timeout even if it was never sent.
    RawServer server([](RawServer::Socket &socket, int) {
        while (!RawServer::readRequest(socket).empty()) {
        }
    });
    Net::HttpClient client(1);
    Latch ended(2);
    std::vector<Net::HttpResult> results(2);
    for (std::size_t number = 0; number < 2; ++number) {
        Net::HttpCall call = post(server.port(), "{}");
        call.timeoutMs = 300;
        client.send(call, [&, number](Net::HttpResult result) {
            results[number] = std::move(result);
            ended.countDown();
        });
    }
    REQUIRE(ended.wait());
    CHECK(results[0].transport == HttpTransport::TimedOut);
    CHECK(results[1].transport != HttpTransport::Answered);
}

TEST_CASE("Calls that are pending when the client is destroyed end without an answer")
{
    RawServer server([](RawServer::Socket &socket, int) {
        while (!RawServer::readRequest(socket).empty()) {
        }
    });
    Latch ended(3);
    std::atomic<int> answered = 0;
    {
        Net::HttpClient client(1);
        for (int number = 0; number < 3; ++number) {
            client.send(post(server.port(), "{}"), [&](const Net::HttpResult &result) {
                answered += result.transport == HttpTransport::Answered ? 1 : 0;
                ended.countDown();
            });
        }
    }
    CHECK(ended.wait());
    CHECK(answered == 0);
}
