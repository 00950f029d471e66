#include <atomic>
#include <chrono>
#include <condition_variable>
#include <ctime>
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

/// Receive buffer of a caller that leaves its answer unread.
constexpr int SmallBuffer = 4096;
/// More than the buffers of a connection hold, whatever the kernel grows them to.
constexpr std::size_t MoreThanBuffers = std::size_t{16} << 20U;

/// A body that shows bytes that are lost, doubled or out of order.
std::string patternOf(std::size_t length)
{
    std::string pattern(length, ' ');
    std::size_t value = 0;
    for (char &letter : pattern) {
        letter = static_cast<char>('a' + (value * 31 + (value >> 12U)) % 26);
        ++value;
    }
    return pattern;
}

/// Answers "/<number>" with a body of that many bytes, from the server's own thread.
std::unique_ptr<Net::HttpServer> lengthServer(int threads = 1, Net::HttpServerBuilder builder = {})
{
    return builder.threads(threads)
            .handler([](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                reply.send({200, patternOf(std::stoul(request.path.substr(1))), "text/plain", 0,
                            false});
            })
            .build();
}

/// Whether a caller on a fresh connection gets its answer.
bool isServed(const Net::HttpServer &server, std::chrono::milliseconds limit = RawCaller::MaxWait)
{
    RawCaller other(server.port());
    other.ask("/10");
    return other.readAnswers(1, limit) == std::vector<std::string>{patternOf(10)};
}

bool isServedRepeatedly(const Net::HttpServer &server)
{
    constexpr int Times = 5;
    for (int time = 0; time < Times; ++time) {
        if (!isServed(server)) {
            return false;
        }
    }
    return true;
}

std::string longPath()
{
    return "/" + std::to_string(MoreThanBuffers);
}

} // namespace

TEST_CASE("An unread answer holds up callers whose connections were open before")
{
    // The thread that writes the unread answer serves no other connection, neither old nor new.
    const auto server = lengthServer();
    RawCaller before(server->port());
    before.ask("/10");
    REQUIRE(before.readAnswers(1).size() == 1);
    RawCaller stalled(server->port(), SmallBuffer);
    stalled.ask(longPath());
    REQUIRE(stalled.waitForInput());
    before.ask("/11");
    CHECK(before.readAnswers(1) == std::vector<std::string>{patternOf(11)});
    CHECK(isServedRepeatedly(*server));
}

TEST_CASE("An answer that is read late is not whole, or holds up others until then")
{
    // The caller leaves its answer unread while others ask, and then reads all of it.
    const auto server = lengthServer();
    RawCaller stalled(server->port(), SmallBuffer);
    stalled.ask(longPath());
    REQUIRE(stalled.waitForInput());
    CHECK(isServedRepeatedly(*server));
    const std::vector<std::string> answers = stalled.readAnswers(1);
    REQUIRE(answers.size() == 1);
    CHECK((answers.front() == patternOf(MoreThanBuffers)));
    CHECK(isServedRepeatedly(*server));
    stalled.ask("/12");
    CHECK(stalled.readAnswers(1) == std::vector<std::string>{patternOf(12)});
}

TEST_CASE("An answer that is read in small pieces is not whole, or holds up others meanwhile")
{
    // A caller that reads slowly is no fault of its own: it gets all, and nobody waits for it.
    constexpr int Pieces = 5;
    constexpr std::size_t Piece = 1000;
    const auto server = lengthServer();
    RawCaller slow(server->port(), SmallBuffer);
    slow.ask(longPath());
    for (int piece = 0; piece < Pieces; ++piece) {
        REQUIRE(slow.readSome(Piece));
        CHECK(isServed(*server));
    }
    const std::vector<std::string> answers = slow.readAnswers(1);
    REQUIRE(answers.size() == 1);
    CHECK((answers.front() == patternOf(MoreThanBuffers)));
}

TEST_CASE("A caller that closes with an unread answer keeps its connection or holds up others")
{
    // The reset must end the writing; the server must not keep the connection.
    const auto server = lengthServer();
    {
        RawCaller stalled(server->port(), SmallBuffer);
        stalled.ask(longPath());
        REQUIRE(stalled.waitForInput());
    }
    CHECK(isServedRepeatedly(*server));
    const auto until = Clock::now() + RawCaller::MaxWait;
    while ((server->openConnections() > 0 || server->unwrittenAnswers() > 0)
           && Clock::now() < until) {
        std::this_thread::yield();
    }
    CHECK(server->openConnections() == 0);
    CHECK(server->unwrittenAnswers() == 0);
}

TEST_CASE("A caller that ends its sending with an unread answer loses it or holds up others")
{
    // Its connection stays open for reading, so no reset ends the writing.
    const auto server = lengthServer();
    RawCaller stalled(server->port(), SmallBuffer);
    stalled.ask(longPath());
    REQUIRE(stalled.waitForInput());
    stalled.endSending();
    CHECK(isServedRepeatedly(*server));
    const std::vector<std::string> answers = stalled.readAnswers(1);
    REQUIRE(answers.size() == 1);
    CHECK((answers.front() == patternOf(MoreThanBuffers)));
}

TEST_CASE("A server with an unread answer cannot be stopped and destroyed")
{
    // The destructor joins the thread that writes; a process with such a caller would never end.
    constexpr std::chrono::seconds MaxEnd{10};
    auto server = lengthServer();
    RawCaller stalled(server->port(), SmallBuffer);
    stalled.ask(longPath());
    REQUIRE(stalled.waitForInput());
    auto ended = std::async(std::launch::async, [&server] {
        server->stop();
        server.reset();
    });
    CHECK((ended.wait_for(MaxEnd) == std::future_status::ready));
    stalled.close();
    ended.wait();
}

TEST_CASE("An unread answer takes a core")
{
    // A caller that reads nothing costs nothing; a loop that tries again at once takes a whole
    // core.
    constexpr double MaxShare = 0.5;
    constexpr std::chrono::seconds Observation{1};
    const auto server = lengthServer();
    RawCaller stalled(server->port(), SmallBuffer);
    stalled.ask(longPath());
    REQUIRE(stalled.waitForInput());
    // Until the buffers are full.
    std::this_thread::sleep_for(Observation);
    const std::clock_t before = std::clock();
    std::this_thread::sleep_for(Observation);
    const double seconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    CHECK(seconds < MaxShare);
}

TEST_CASE("As many unread answers as threads hold up every other caller")
{
    // Each unread answer takes a thread; as many as there are threads take the server.
    constexpr int Threads = 2;
    constexpr int StalledCallers = 9;
    const auto server = lengthServer(Threads);
    std::vector<std::unique_ptr<RawCaller>> stalled;
    for (int number = 0; number < StalledCallers; ++number) {
        stalled.push_back(std::make_unique<RawCaller>(server->port(), SmallBuffer));
        stalled.back()->ask(longPath());
    }
    REQUIRE(stalled.front()->waitForInput());
    CHECK(isServedRepeatedly(*server));
    RawCaller reader(server->port());
    reader.ask(longPath());
    const std::vector<std::string> answers = reader.readAnswers(1);
    REQUIRE(answers.size() == 1);
    CHECK((answers.front() == patternOf(MoreThanBuffers)));
}

TEST_CASE("Short answers of which none is read hold up others like one long answer")
{
    // A caller asks again and again on one connection and reads nothing. Its answers are given at
    // once, so that the server begins one that does not fit into what the others left.
    constexpr int Requests = 64;
    constexpr std::chrono::milliseconds MaxTake{500};
    const std::string body = patternOf(std::size_t{256} << 10U);
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Net::HttpReply> held;
    bool isHeld = true;
    int taken = 0;
    const auto answerHeld = [&](std::unique_lock<std::mutex> &lock) {
        isHeld = false;
        std::vector<Net::HttpReply> replies;
        replies.swap(held);
        lock.unlock();
        for (const Net::HttpReply &reply : replies) {
            reply.send({200, body, "text/plain", 0, false});
        }
    };
    const auto server =
            Net::HttpServerBuilder()
                    .threads(1)
                    .handler([&](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        if (request.path != "/long") {
                            reply.send({200, patternOf(10), "text/plain", 0, false});
                            return;
                        }
                        std::unique_lock<std::mutex> lock(mutex);
                        ++taken;
                        changed.notify_all();
                        held.push_back(reply);
                        // On the server's own thread, so that it writes none in between.
                        if (!isHeld || taken == Requests) {
                            answerHeld(lock);
                        }
                    })
                    .build();
    RawCaller stalled(server->port(), SmallBuffer);
    // Each request is sent when the one before was taken, or is held back by the server: it need
    // not take a request before the one in front of it is answered.
    for (int asked = 1; asked <= Requests; ++asked) {
        stalled.ask("/long");
        std::unique_lock<std::mutex> lock(mutex);
        const bool isTaken = changed.wait_for(lock, MaxTake, [&] { return taken >= asked; });
        if (!isTaken && isHeld) {
            answerHeld(lock);
        } else if (!isTaken) {
            break;
        }
    }
    CHECK(isServedRepeatedly(*server));
    const std::vector<std::string> answers = stalled.readAnswers(1);
    REQUIRE(answers.size() == 1);
    CHECK((answers.front() == body));
}

TEST_CASE("A caller that does not read for too long keeps its answer in memory, or takes it for "
          "whole")
{
    // The connection is reset: one that merely ends could be taken for the end of the answer.
    std::promise<Net::DroppedAnswer> dropped;
    Net::HttpServerBuilder builder;
    Net::UnreadLimits limits;
    limits.maxStall = std::chrono::milliseconds(100);
    builder.unreadLimits(limits);
    builder.dropped([&](const Net::DroppedAnswer &answer) { dropped.set_value(answer); });
    const auto server = lengthServer(1, builder);
    RawCaller stalled(server->port());
    stalled.ask(longPath());
    const Net::DroppedAnswer answer = dropped.get_future().get();
    CHECK(answer.cause == Net::DropCause::Stalled);
    CHECK(answer.bytes > 0);
    CHECK(stalled.readToEnd().size() < MoreThanBuffers);
    CHECK(stalled.isReset());
    CHECK(server->unwrittenAnswers() == 0);
    CHECK(isServedRepeatedly(*server));
}

TEST_CASE("Unread answers fill the memory of the process")
{
    // Beyond the limit the one goes that has stalled longest; the others arrive whole.
    constexpr std::size_t RoomForTwo = MoreThanBuffers * 2;
    std::promise<Net::DroppedAnswer> dropped;
    Net::HttpServerBuilder builder;
    Net::UnreadLimits limits;
    limits.idleAfter = std::chrono::milliseconds(200);
    limits.maxIdleBytes = RoomForTwo;
    builder.unreadLimits(limits);
    builder.dropped([&](const Net::DroppedAnswer &answer) { dropped.set_value(answer); });
    const auto server = lengthServer(1, builder);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int number = 0; number < 3; ++number) {
        callers.push_back(std::make_unique<RawCaller>(server->port()));
        callers.back()->ask(longPath());
        REQUIRE(callers.back()->waitForInput());
        // Each stalls later than the one before, to the millisecond.
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(dropped.get_future().get().cause == Net::DropCause::Memory);
    CHECK(callers[0]->readToEnd().size() < MoreThanBuffers);
    CHECK(callers[0]->isReset());
    for (const int number : {1, 2}) {
        const std::vector<std::string> answers = callers[number]->readAnswers(1);
        REQUIRE(answers.size() == 1);
        CHECK((answers.front() == patternOf(MoreThanBuffers)));
    }
}

TEST_CASE("Callers that read slowly lose their answers to the limits on unread ones")
{
    // Together they have more left to read than answers that are not read may take, and each
    // empties only a small part of its buffers until the limits are looked at again.
    constexpr int Readers = 6;
    constexpr int Pieces = 40;
    constexpr std::size_t Piece = std::size_t{30} << 10U;
    constexpr std::chrono::milliseconds Pause{50};
    Net::HttpServerBuilder builder;
    Net::UnreadLimits limits;
    limits.maxStall = std::chrono::milliseconds(1000);
    builder.unreadLimits(limits);
    const auto server = lengthServer(1, builder);
    std::vector<std::unique_ptr<RawCaller>> readers;
    for (int number = 0; number < Readers; ++number) {
        readers.push_back(std::make_unique<RawCaller>(server->port()));
        readers.back()->ask(longPath());
    }
    for (int piece = 0; piece < Pieces; ++piece) {
        for (const std::unique_ptr<RawCaller> &reader : readers) {
            REQUIRE(reader->readSome(Piece));
        }
        std::this_thread::sleep_for(Pause);
    }
    std::vector<std::thread> threads;
    threads.reserve(readers.size());
    std::atomic<int> whole = 0;
    for (const std::unique_ptr<RawCaller> &reader : readers) {
        threads.emplace_back([&whole, &reader] {
            const std::vector<std::string> answers = reader->readAnswers(1);
            whole += answers.size() == 1 && answers.front() == patternOf(MoreThanBuffers) ? 1 : 0;
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(whole == Readers);
}
