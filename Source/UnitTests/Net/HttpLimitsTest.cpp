#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Net/HttpServer.h"
#include "RawCaller.h"

namespace {

using Clock = std::chrono::steady_clock;

/// More than the buffers of a connection take.
constexpr std::size_t LongAnswer = std::size_t{16} << 20U;

/// A server with limits of its own that keeps the replies to requests for "/hold".
class LimitedServer
{
public:
    explicit LimitedServer(const Net::ListenerLimits &limits, int threads = 1)
        : server(Net::HttpServerBuilder()
                         .threads(threads)
                         .limits(limits)
                         .released([this](const Net::Release &release) {
                             const std::lock_guard<std::mutex> lock(this->mutex);
                             this->releases.push_back(release);
                         })
                         .refused([this](Schema::Reason reason) {
                             this->overloaded += reason == Schema::Reason::Overloaded ? 1 : 0;
                         })
                         .handler([this](const Net::HttpRequest &request,
                                         const Net::HttpReply &reply) {
                             if (request.path == "/hold") {
                                 const std::lock_guard<std::mutex> lock(this->mutex);
                                 this->held.push_back(reply);
                                 return;
                             }
                             const bool isLong = request.path == "/long";
                             reply.send({200, isLong ? std::string(LongAnswer, 'x') : "ok",
                                         "text/plain", 0, false});
                         })
                         .build())
    {}

    ~LimitedServer()
    {
        this->answerHeld();
        this->server.reset();
    }
    LimitedServer(const LimitedServer &) = delete;
    LimitedServer &operator=(const LimitedServer &) = delete;

    std::uint16_t port() const { return this->server->port(); }
    int connections() const { return this->server->openConnections(); }

    void waitForHeld(std::size_t count)
    {
        while (this->heldCount() < count) {
            std::this_thread::yield();
        }
    }

    void answerHeld()
    {
        std::vector<Net::HttpReply> replies;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            replies.swap(this->held);
        }
        for (const Net::HttpReply &reply : replies) {
            reply.send({200, "held", "text/plain", 0, false});
        }
    }

    bool isServed() const
    {
        RawCaller caller(this->port());
        caller.ask("/");
        return caller.readAnswers(1) == std::vector<std::string>{"ok"};
    }

    std::vector<Net::Release> allReleases()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->releases;
    }

    std::atomic<int> overloaded = 0;

private:
    std::size_t heldCount()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->held.size();
    }

    std::mutex mutex;
    std::vector<Net::HttpReply> held;
    std::vector<Net::Release> releases;
    std::unique_ptr<Net::HttpServer> server;
};

std::string headOf(std::size_t length)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

TEST_CASE("A connection that makes no progress stays as long as its client")
{
    struct Row
    {
        const char *name;
        std::string input;
        /// Start of what the client receives before the end.
        std::string received;
    };
    const Row rows[] = {
            {"nothing", "", ""},
            {"nothing after an answer", RawCaller::requestOf("/"), "HTTP/1.1 200"},
            {"a part of a head", "GET / HT", "HTTP/1.1 408"},
            {"a part of a body", headOf(10) + "abc", "HTTP/1.1 408"},
            {"a part of a chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
             "HTTP/1.1 408"},
            {"nothing after a refusal", headOf(std::size_t{1} << 40U), "HTTP/1.1 413"},
            {"more after a refusal", headOf(std::size_t{1} << 40U) + std::string(100'000, 'x'),
             "HTTP/1.1 413"},
    };
    Net::ListenerLimits limits;
    limits.timeouts.firstRequest = std::chrono::milliseconds(200);
    limits.timeouts.idle = std::chrono::milliseconds(200);
    limits.timeouts.request = std::chrono::milliseconds(200);
    limits.timeouts.closing = std::chrono::milliseconds(200);
    for (const int threads : {1, 3}) {
        LimitedServer server(limits, threads);
        for (const Row &row : rows) {
            CAPTURE(row.name);
            CAPTURE(threads);
            RawCaller caller(server.port());
            caller.send(row.input);
            const std::string received = caller.readToEnd();
            CHECK(caller.isOver());
            CHECK(received.substr(0, row.received.size()) == row.received);
            const auto until = Clock::now() + RawCaller::MaxWait;
            while (server.connections() > 0 && Clock::now() < until) {
                std::this_thread::yield();
            }
            CHECK(server.connections() == 0);
        }
    }
}

TEST_CASE("A client that sends a byte at a time holds its connection for good")
{
    constexpr std::chrono::milliseconds Pause{20};
    constexpr int MaxBytes = 200;
    Net::ListenerLimits limits;
    limits.timeouts.request = std::chrono::milliseconds(200);
    LimitedServer server(limits);
    RawCaller caller(server.port());
    caller.send(headOf(1000));
    int sent = 0;
    while (sent < MaxBytes && !caller.waitForInput(Pause)) {
        caller.send("x");
        ++sent;
    }
    CHECK(sent < MaxBytes);
    CHECK(caller.readToEnd().find("HTTP/1.1 408") == 0);
}

TEST_CASE("A request that runs for longer than every timeout is cut off")
{
    constexpr std::chrono::milliseconds Longer{500};
    Net::ListenerLimits limits;
    limits.timeouts.firstRequest = std::chrono::milliseconds(100);
    limits.timeouts.idle = std::chrono::milliseconds(100);
    limits.timeouts.request = std::chrono::milliseconds(100);
    LimitedServer server(limits);
    RawCaller caller(server.port());
    caller.ask("/hold");
    server.waitForHeld(1);
    std::this_thread::sleep_for(Longer);
    server.answerHeld();
    CHECK(caller.readAnswers(1) == std::vector<std::string>{"held"});
}

TEST_CASE("Connections beyond the limit keep new callers out")
{
    constexpr std::size_t Most = 8;
    Net::ListenerLimits limits;
    limits.maxConnections = Most;
    for (const std::string &input : {std::string(), std::string("GET / HT"), headOf(10) + "abc"}) {
        CAPTURE(input);
        LimitedServer server(limits);
        std::vector<std::unique_ptr<RawCaller>> crowd;
        for (std::size_t client = 0; client < 4 * Most; ++client) {
            crowd.push_back(std::make_unique<RawCaller>(server.port()));
            crowd.back()->send(input);
        }
        CHECK(server.isServed());
        CHECK(server.isServed());
        CHECK(server.connections() <= static_cast<int>(Most) + 1);
    }
}

TEST_CASE("A request that runs is given up for the connections of others")
{
    constexpr std::size_t Most = 4;
    Net::ListenerLimits limits;
    limits.maxConnections = Most;
    LimitedServer server(limits);
    std::vector<std::unique_ptr<RawCaller>> running;
    for (std::size_t client = 0; client < Most - 1; ++client) {
        running.push_back(std::make_unique<RawCaller>(server.port()));
        running.back()->ask("/hold");
    }
    server.waitForHeld(Most - 1);
    std::vector<std::unique_ptr<RawCaller>> idle;
    for (std::size_t client = 0; client < 4 * Most; ++client) {
        idle.push_back(std::make_unique<RawCaller>(server.port()));
    }
    CHECK(server.isServed());
    server.answerHeld();
    for (const std::unique_ptr<RawCaller> &caller : running) {
        CHECK(caller->readAnswers(1) == std::vector<std::string>{"held"});
    }
}

TEST_CASE("Bodies that are not whole fill the memory of the process")
{
    // The one with the most bytes for the longest time is told that it has not run.
    constexpr std::size_t Body = 100'000;
    Net::ListenerLimits limits;
    limits.maxBytes = 3 * Body;
    LimitedServer server(limits);
    std::vector<std::unique_ptr<RawCaller>> crowd;
    for (int client = 0; client < 10; ++client) {
        crowd.push_back(std::make_unique<RawCaller>(server.port()));
        crowd.back()->send(headOf(Body) + std::string(Body - 1, 'x'));
        CHECK(server.isServed());
    }
    CHECK(crowd.front()->readToEnd().find("HTTP/1.1 503") == 0);
    CHECK(server.isServed());
    std::size_t byMemory = 0;
    for (const Net::Release &release : server.allReleases()) {
        byMemory += release.cause == Net::ReleaseCause::Memory ? 1 : 0;
    }
    CHECK(byMemory >= 7);
}

TEST_CASE("A body that finds no room is read before it is refused")
{
    constexpr std::size_t Long = 200'000;
    Net::ListenerLimits limits;
    limits.maxBytes = Long;
    LimitedServer server(limits);
    RawCaller caller(server.port());
    caller.send(headOf(Long));
    const std::string answer = caller.readToEnd();
    CHECK(answer.find("HTTP/1.1 503") == 0);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("\"notRun\":true") != std::string::npos);
    CHECK(server.overloaded == 1);
    CHECK(server.isServed());
}

TEST_CASE("Requests that run fill the memory of the process")
{
    // What is not admitted is refused at once; room that is given back serves again.
    constexpr std::size_t OrdinaryBody = 10'000;
    Net::ListenerLimits limits;
    limits.maxBytes = 5 * OrdinaryBody;
    LimitedServer server(limits);
    const std::string request =
            "POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(OrdinaryBody)
            + "\r\n\r\n" + std::string(OrdinaryBody, 'x');
    std::vector<std::unique_ptr<RawCaller>> running;
    for (std::size_t client = 0; client < 4; ++client) {
        running.push_back(std::make_unique<RawCaller>(server.port()));
        running.back()->send(request);
        server.waitForHeld(client + 1);
    }
    RawCaller refused(server.port());
    refused.send(request);
    CHECK(refused.readToEnd().find("HTTP/1.1 503") == 0);
    CHECK(server.isServed());
    server.answerHeld();
    for (const std::unique_ptr<RawCaller> &caller : running) {
        CHECK(caller->readAnswers(1) == std::vector<std::string>{"held"});
    }
    RawCaller later(server.port());
    later.send(request);
    server.waitForHeld(1);
    server.answerHeld();
    CHECK(later.readAnswers(1) == std::vector<std::string>{"held"});
}

TEST_CASE("A client that sends on hides the answer that it does not read from the limits")
{
    // Each leaves a long answer unread and begins another request. The memory bears one of them.
    Net::ListenerLimits limits;
    limits.unread.idleAfter = std::chrono::milliseconds(100);
    limits.unread.maxIdleBytes = LongAnswer + LongAnswer / 2;
    LimitedServer server(limits);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int client = 0; client < 2; ++client) {
        callers.push_back(std::make_unique<RawCaller>(server.port()));
        callers.back()->ask("/long");
        REQUIRE(callers.back()->waitForInput());
        callers.back()->send("GET /next");
    }
    const auto until = Clock::now() + RawCaller::MaxWait;
    while (server.allReleases().empty() && Clock::now() < until) {
        std::this_thread::yield();
    }
    const std::vector<Net::Release> releases = server.allReleases();
    REQUIRE(releases.size() == 1);
    CHECK(releases.front().stage == Net::HoldingStage::Answer);
    CHECK(releases.front().cause == Net::ReleaseCause::Memory);
    CHECK(server.isServed());
}
