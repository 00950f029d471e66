#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <doctest/doctest.h>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "Net/HttpServer.h"
#include "RawCaller.h"

namespace {

/// Answers with the method, the path and the body of the request.
std::unique_ptr<Net::HttpServer> echoServer()
{
    return Net::HttpServerBuilder()
            .threads(1)
            .handler([](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                reply.send({200, request.method + request.path + request.body, "text/plain", 0,
                            false});
            })
            .build();
}

/// Whether all answers came in their order, or the first of them and then the connection's end.
bool isInOrder(const std::vector<std::string> &answers, const std::vector<std::string> &expected,
               const RawCaller &caller)
{
    return answers.size() <= expected.size()
           && std::equal(answers.begin(), answers.end(), expected.begin())
           && (answers.size() == expected.size() || caller.isOver());
}

} // namespace

TEST_CASE("Of requests sent at once on one connection only the first is answered")
{
    // All are answered in their order, or the connection is closed behind those that are answered.
    // 5 come in one read of the server, 2,000 in many that cut requests anywhere.
    for (const int count : {5, 2000}) {
        CAPTURE(count);
        const auto server = echoServer();
        RawCaller caller(server->port());
        std::string requests;
        std::vector<std::string> expected;
        for (int number = 1; number <= count; ++number) {
            const std::string path = "/" + std::to_string(number);
            requests += RawCaller::requestOf(path);
            expected.push_back("GET" + path);
        }
        caller.send(requests);
        const std::vector<std::string> answers = caller.readAnswers(expected.size());
        CHECK(!answers.empty());
        CHECK(isInOrder(answers, expected, caller));
    }
}

TEST_CASE("What a packet holds of the next request is lost")
{
    // Two requests are cut at every byte; the rest follows in a packet of its own.
    constexpr std::chrono::milliseconds Pause{5};
    const auto server = echoServer();
    const std::string first = RawCaller::requestOf("/1");
    const std::string requests = first + RawCaller::requestOf("/2");
    const std::vector<std::string> expected{"GET/1", "GET/2"};
    bool isLost = false;
    for (std::size_t cut = 1; cut < requests.size() && !isLost; ++cut) {
        RawCaller caller(server->port());
        caller.send(requests.substr(0, cut));
        std::this_thread::sleep_for(Pause);
        caller.send(requests.substr(cut));
        const std::vector<std::string> answers = caller.readAnswers(expected.size());
        CAPTURE(cut);
        isLost = !isInOrder(answers, expected, caller);
        CHECK_FALSE(isLost);
    }
}

TEST_CASE("A head that is cut behind another request is read as a malformed request")
{
    // The first packet ends within the method of the second request, its path, or its headers.
    constexpr std::chrono::milliseconds Pause{20};
    const auto server = echoServer();
    const std::string first = RawCaller::requestOf("/1");
    const std::string second = RawCaller::requestOf("/2");
    const std::vector<std::string> expected{"GET/1", "GET/2"};
    for (const std::size_t cut : {1, 5, 12, 30}) {
        CAPTURE(cut);
        RawCaller caller(server->port());
        caller.send(first + second.substr(0, cut));
        std::this_thread::sleep_for(Pause);
        caller.send(second.substr(cut));
        const std::vector<std::string> answers = caller.readAnswers(expected.size());
        CHECK(isInOrder(answers, expected, caller));
    }
}

TEST_CASE("A request behind the body of another in one packet is lost")
{
    // The end of a body is found by its length; what follows belongs to the next request.
    const auto server = echoServer();
    RawCaller caller(server->port());
    caller.send("POST /1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody"
                + RawCaller::requestOf("/2"));
    const std::vector<std::string> answers = caller.readAnswers(2);
    CHECK(isInOrder(answers, {"POST/1body", "GET/2"}, caller));
}

TEST_CASE("Answers come in the order in which they were given, not in that of their requests")
{
    // The second request comes in a packet of its own, and its answer is ready first.
    constexpr std::chrono::milliseconds Handover{500};
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Net::HttpReply> replies;
    const auto server =
            Net::HttpServerBuilder()
                    .threads(1)
                    .handler([&](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        const std::lock_guard<std::mutex> lock(mutex);
                        replies.emplace(request.path, reply);
                        changed.notify_all();
                    })
                    .build();
    const auto isTaken = [&](const std::string &path, std::chrono::milliseconds limit) {
        std::unique_lock<std::mutex> lock(mutex);
        return changed.wait_for(lock, limit, [&] { return replies.count(path) > 0; });
    };
    const auto answer = [&](const std::string &path) {
        std::unique_lock<std::mutex> lock(mutex);
        const Net::HttpReply reply = replies.at(path);
        lock.unlock();
        reply.send({200, path, "text/plain", 0, false});
    };
    RawCaller caller(server->port());
    caller.ask("/1");
    REQUIRE(isTaken("/1", RawCaller::MaxWait));
    caller.ask("/2");
    // A server may also hold the second request back until the first is answered.
    const bool isTakenEarly = isTaken("/2", Handover);
    if (isTakenEarly) {
        answer("/2");
        // Nothing may come before the first answer: the caller would take it for that one.
        CHECK_FALSE(caller.waitForInput(Handover));
    }
    answer("/1");
    if (!isTakenEarly) {
        REQUIRE(isTaken("/2", RawCaller::MaxWait));
        answer("/2");
    }
    CHECK(caller.readAnswers(2) == std::vector<std::string>{"/1", "/2"});
}

TEST_CASE("Requests that arrive together are lost, or answered out of order")
{
    // All are answered in their order until one ends the connection, however they are cut.
    const auto server = echoServer();
    const std::string post = "POST /p HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nab";
    const std::string chunked = "POST /p HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
    const std::string a = RawCaller::requestOf("/a");
    const std::string b = RawCaller::requestOf("/b");
    const std::string last = RawCaller::requestOf("/z", "Connection: close\r\n");
    struct Row
    {
        const char *name;
        std::string requests;
        std::vector<std::string> expected;
        int lastStatus;
    };
    const Row rows[] = {
            {"five at once",
             a + b + a + b + last,
             {"GET/a", "GET/b", "GET/a", "GET/b", "GET/z"},
             200},
            {"with bodies",
             post + a + post + last,
             {"POST/pab", "GET/a", "POST/pab", "GET/z"},
             200},
            {"nothing after the one that closes", a + last + b, {"GET/a", "GET/z"}, 200},
            {"with a chunked body",
             a + chunked + b + last,
             {"GET/a", "POST/pab", "GET/b", "GET/z"},
             200},
            {"a refusal after the answers due",
             a + b + "nonsense\r\n\r\n",
             {"GET/a", "GET/b"},
             400},
    };
    for (const Row &row : rows) {
        for (const std::size_t piece : {row.requests.size(), std::size_t{7}, std::size_t{1}}) {
            CAPTURE(row.name);
            CAPTURE(piece);
            RawCaller caller(server->port());
            for (std::size_t start = 0; start < row.requests.size(); start += piece) {
                caller.send(row.requests.substr(start, piece));
            }
            const std::size_t refusals = row.lastStatus == 200 ? 0 : 1;
            std::vector<std::string> answers = caller.readAnswers(row.expected.size() + refusals);
            CHECK(answers.size() == row.expected.size() + refusals);
            answers.resize(row.expected.size());
            CHECK(answers == row.expected);
            caller.readToEnd();
            CHECK(caller.isOver());
        }
    }
}

TEST_CASE("Requests that a caller sends ahead fill the memory of the process")
{
    // Those beyond the limit are not processed, and the end of the connection tells the caller so.
    constexpr int Sent = 200;
    std::promise<Net::HttpReply> first;
    std::atomic<int> processed = 0;
    const auto server =
            Net::HttpServerBuilder()
                    .handler([&](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        if (request.path == "/first") {
                            first.set_value(reply);
                            return;
                        }
                        processed += request.path == "/next" ? 1 : 0;
                        reply.send({200, "ok", "text/plain", 0, false});
                    })
                    .build();
    RawCaller caller(server->port());
    std::string requests = RawCaller::requestOf("/first");
    for (int request = 1; request < Sent; ++request) {
        requests += RawCaller::requestOf("/next");
    }
    caller.send(requests);
    const Net::HttpReply reply = first.get_future().get();
    // Answered by the only thread of the server after it has read all that was sent before.
    RawCaller other(server->port());
    other.ask("/other");
    REQUIRE(other.readAnswers(1).size() == 1);
    reply.send({200, "ok", "text/plain", 0, false});
    const std::size_t answered = caller.readAnswers(Sent).size();
    CHECK(caller.isOver());
    CHECK(answered == static_cast<std::size_t>(processed) + 1);
    CHECK(answered < Sent);
}

TEST_CASE("A failing handler ends the process, or leaves a request without exactly one answer")
{
    // The second request waits behind the first, and is handed on by another thread than the first.
    const auto server =
            Net::HttpServerBuilder()
                    .handler([](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        if (request.path == "/fail") {
                            throw std::runtime_error("the handler fails");
                        }
                        reply.send({200, "ok", "text/plain", 0, false});
                    })
                    .build();
    const std::string fail = RawCaller::requestOf("/fail");
    const std::string next = RawCaller::requestOf("/next", "Connection: close\r\n");
    for (const std::string &before : {std::string(), RawCaller::requestOf("/a")}) {
        RawCaller caller(server->port());
        std::string requests = before;
        requests += fail;
        requests += next;
        caller.send(requests);
        const std::string answers = caller.readToEnd();
        const std::size_t failed = answers.find("500 Internal Server Error");
        CHECK(failed != std::string::npos);
        CHECK(answers.find("HTTP/1.1", failed + 1) != std::string::npos);
        CHECK(answers.find("400 Bad Request") == std::string::npos);
    }
}
