#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "Net/HttpServer.h"

namespace {

using Socket = boost::asio::ip::tcp::socket;

/// The reply to the caller that is about to leave, and the thread that sends it meanwhile.
class Replier
{
public:
    Replier()
        : thread([this] { this->run(); })
    {}
    ~Replier()
    {
        this->isEnding = true;
        this->thread.join();
    }
    Replier(const Replier &) = delete;
    Replier &operator=(const Replier &) = delete;

    void setPendingReply(const Net::HttpReply &reply)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->pendingReply = reply;
        ++this->acquired;
    }

    int acquiredCount() const { return this->acquired; }
    void sendPending() { this->isSendRequested = true; }

private:
    void run()
    {
        while (!this->isEnding) {
            if (!this->isSendRequested.exchange(false)) {
                std::this_thread::yield();
                continue;
            }
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->pendingReply) {
                this->pendingReply->send(
                        {200, "for the caller that has left", "text/plain", 0, false});
                this->pendingReply.reset();
            }
        }
    }

    std::mutex mutex;
    std::optional<Net::HttpReply> pendingReply;
    std::atomic<int> acquired = 0;
    std::atomic<bool> isSendRequested = false;
    std::atomic<bool> isEnding = false;
    std::thread thread;
};

void sendRequest(Socket &socket, std::uint16_t port, const std::string &path)
{
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
}

/// Stops one thread at a point of its own until another one lets it go on.
class ThreadGate
{
public:
    void waitForRelease()
    {
        this->reached.set_value();
        this->released.get_future().wait();
    }

    void waitUntilReached() { this->reached.get_future().wait(); }
    void release() { this->released.set_value(); }

private:
    std::promise<void> reached;
    std::promise<void> released;
};

/// Number of the socket on which the server has accepted \a caller; -1 while it has not.
int acceptedSocket(const Socket &caller)
{
    constexpr int MaxSockets = 1024;
    const std::uint16_t port = caller.local_endpoint().port();
    for (int number = 0; number < MaxSockets; ++number) {
        sockaddr_in peer{};
        socklen_t length = sizeof peer;
        const bool isConnected =
                ::getpeername(number, reinterpret_cast<sockaddr *>(&peer), &length) == 0;
        if (isConnected && peer.sin_family == AF_INET && ntohs(peer.sin_port) == port) {
            return number;
        }
    }
    return -1;
}

/// Returns once the server's listening thread has passed the caller on.
int waitUntilAccepted(const Socket &caller)
{
    constexpr std::chrono::milliseconds HandoverTime{20};
    while (acceptedSocket(caller) < 0) {
        std::this_thread::yield();
    }
    std::this_thread::sleep_for(HandoverTime);
    return acceptedSocket(caller);
}

/// Takes all numbers below \a number that are free, so that the next one to be free is reused next.
class ReservedDescriptors
{
public:
    explicit ReservedDescriptors(int number)
    {
        int acquired = -1;
        do {
            acquired = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
            this->numbers.push_back(acquired);
        } while (acquired >= 0 && acquired < number);
    }
    ~ReservedDescriptors()
    {
        for (const int number : this->numbers) {
            ::close(number);
        }
    }
    ReservedDescriptors(const ReservedDescriptors &) = delete;
    ReservedDescriptors &operator=(const ReservedDescriptors &) = delete;

private:
    std::vector<int> numbers;
};

/// Bytes that reach a caller which has asked nothing.
std::size_t unexpectedBytes(Socket &caller)
{
    constexpr std::chrono::milliseconds ObservationTime{100};
    std::this_thread::sleep_for(ObservationTime);
    return caller.available();
}

} // namespace

TEST_CASE("A socket number that is reused between an answer and its writing misleads no answer")
{
    // The answer is handed over while the server takes in that its caller has left; before it is
    // written, the next caller is accepted under the number of the same socket.
    ThreadGate first;
    ThreadGate leaving;
    ThreadGate second;
    const std::map<std::string, ThreadGate *> gates{{"/first", &first}, {"/second", &second}};
    std::mutex mutex;
    std::map<std::string, Net::HttpReply> replies;
    std::promise<void> acquired;
    std::atomic<std::uint64_t> leavingCallerNumber = 0;
    const auto server =
            Net::HttpServerBuilder()
                    .threads(1)
                    .handler([&](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        {
                            // None is dropped here: that would answer it.
                            const std::lock_guard<std::mutex> lock(mutex);
                            replies.emplace(request.path, reply);
                        }
                        const auto gate = gates.find(request.path);
                        if (gate != gates.end()) {
                            gate->second->waitForRelease();
                            return;
                        }
                        leavingCallerNumber = request.connection;
                        acquired.set_value();
                    })
                    .disconnected([&](std::uint64_t connection) {
                        if (connection == leavingCallerNumber) {
                            leaving.waitForRelease();
                        }
                    })
                    .build();
    boost::asio::io_context context;
    Socket leavingCaller(context);
    sendRequest(leavingCaller, server->port(), "/leave");
    acquired.get_future().wait();
    Socket blocker(context);
    blocker.connect({boost::asio::ip::address_v4::loopback(), server->port()});
    waitUntilAccepted(blocker);
    Socket opener(context);
    Socket early(context, boost::asio::ip::tcp::v4());
    Socket next(context, boost::asio::ip::tcp::v4());
    sendRequest(opener, server->port(), "/first");
    first.waitUntilReached();
    const int number = acceptedSocket(leavingCaller);
    const ReservedDescriptors reservedDescriptors(number);
    // In one turn the server finds that the leaver has gone, then a request that halts it.
    leavingCaller.shutdown(Socket::shutdown_both);
    const std::string request = "GET /second HTTP/1.1\r\nHost: a.example\r\n\r\n";
    boost::asio::write(blocker, boost::asio::buffer(request));
    first.release();
    leaving.waitUntilReached();
    // New callers are noticed before new answers: this one is there first.
    early.connect({boost::asio::ip::address_v4::loopback(), server->port()});
    waitUntilAccepted(early);
    replies.at("/leave").send({200, "for the caller that has left", "text/plain", 0, false});
    leaving.release();
    second.waitUntilReached();
    next.connect({boost::asio::ip::address_v4::loopback(), server->port()});
    REQUIRE(waitUntilAccepted(next) == number);
    second.release();
    CHECK(unexpectedBytes(next) == 0);
    CHECK(unexpectedBytes(early) == 0);
}

TEST_CASE("What is left of an answer to a caller that has left reaches no other caller")
{
    // The caller leaves with most of its answer unread; the rest must not go to the next caller
    // under the number of its socket.
    std::promise<Net::HttpReply> receivedReply;
    std::atomic<bool> isGone = false;
    const auto server =
            Net::HttpServerBuilder()
                    .threads(1)
                    .handler([&](const Net::HttpRequest &, const Net::HttpReply &reply) {
                        receivedReply.set_value(reply);
                    })
                    .disconnected([&](std::uint64_t) { isGone = true; })
                    .build();
    boost::asio::io_context context;
    Socket leavingCaller(context);
    Socket next(context, boost::asio::ip::tcp::v4());
    sendRequest(leavingCaller, server->port(), "/leave");
    constexpr std::size_t MoreThanBuffers = std::size_t{16} << 20U;
    receivedReply.get_future().get().send(
            {200, std::string(MoreThanBuffers, 'x'), "text/plain", 0, false});
    while (leavingCaller.available() == 0) {
        std::this_thread::yield();
    }
    const int number = acceptedSocket(leavingCaller);
    const ReservedDescriptors reservedDescriptors(number);
    // With answers unread this resets the connection.
    leavingCaller.close();
    const ReservedDescriptors leavingCallerNumber(0);
    while (!isGone || ::fcntl(number, F_GETFD) != -1) {
        std::this_thread::yield();
    }
    next.connect({boost::asio::ip::address_v4::loopback(), server->port()});
    REQUIRE(waitUntilAccepted(next) == number);
    CHECK(unexpectedBytes(next) == 0);
}

TEST_CASE("A caller that does not read its answer holds up no other caller" * doctest::skip())
{
    // The thread tries again and again to write the rest, and serves nobody else.
    constexpr std::size_t MoreThanBuffers = std::size_t{16} << 20U;
    constexpr std::chrono::seconds MaxWait{2};
    const auto server =
            Net::HttpServerBuilder()
                    .threads(1)
                    .handler([&](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        const std::size_t bytes = request.path == "/long" ? MoreThanBuffers : 1;
                        reply.send({200, std::string(bytes, 'x'), "text/plain", 0, false});
                    })
                    .build();
    boost::asio::io_context context;
    Socket idle(context);
    sendRequest(idle, server->port(), "/long");
    while (idle.available() == 0) {
        std::this_thread::yield();
    }
    Socket other(context);
    sendRequest(other, server->port(), "/short");
    const auto until = std::chrono::steady_clock::now() + MaxWait;
    while (other.available() == 0 && std::chrono::steady_clock::now() < until) {
        std::this_thread::yield();
    }
    CHECK(other.available() > 0);
    idle.close();
}

TEST_CASE("A connection ends on the thread that takes its requests")
{
    // Only there may its queue of answers be emptied.
    constexpr int Connections = 24;
    std::mutex mutex;
    std::map<std::uint64_t, std::thread::id> requestThreads;
    std::map<std::uint64_t, std::thread::id> disconnectThreads;
    std::atomic<int> ended = 0;
    const auto server =
            Net::HttpServerBuilder()
                    .threads(4)
                    .handler([&](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        {
                            const std::lock_guard<std::mutex> lock(mutex);
                            requestThreads[request.connection] = std::this_thread::get_id();
                        }
                        reply.send({200, "done", "text/plain", 0, false});
                    })
                    .disconnected([&](std::uint64_t connection) {
                        const std::lock_guard<std::mutex> lock(mutex);
                        disconnectThreads[connection] = std::this_thread::get_id();
                        ++ended;
                    })
                    .build();
    boost::asio::io_context context;
    for (int connection = 0; connection < Connections; ++connection) {
        Socket caller(context);
        sendRequest(caller, server->port(), "/");
        while (caller.available() == 0) {
            std::this_thread::yield();
        }
    }
    while (ended < Connections) {
        std::this_thread::yield();
    }
    const std::lock_guard<std::mutex> lock(mutex);
    CHECK(requestThreads == disconnectThreads);
}

TEST_CASE("An answer to a caller that has left reaches no other caller")
{
    // A caller closes its connection while its answer is handed over; the next caller gets the
    // same socket number at the server, and must not read what it never asked for.
    constexpr int Rounds = 3000;
    Replier replier;
    std::mutex mutex;
    std::vector<Net::HttpReply> unanswered;
    const auto server =
            Net::HttpServerBuilder()
                    .threads(1)
                    .handler([&](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        if (request.path == "/leave") {
                            replier.setPendingReply(reply);
                            return;
                        }
                        const std::lock_guard<std::mutex> lock(mutex);
                        unanswered.push_back(reply);
                    })
                    .build();
    boost::asio::io_context context;
    std::optional<Socket> remainingCaller;
    int unexpectedAnswers = 0;
    for (int round = 0; round < Rounds; ++round) {
        const int before = replier.acquiredCount();
        Socket leavingCaller(context);
        sendRequest(leavingCaller, server->port(), "/leave");
        while (replier.acquiredCount() == before) {
            std::this_thread::yield();
        }
        unexpectedAnswers += remainingCaller && remainingCaller->available() > 0 ? 1 : 0;
        replier.sendPending();
        leavingCaller.close();
        remainingCaller.emplace(context);
        sendRequest(*remainingCaller, server->port(), "/stay");
    }
    CHECK(unexpectedAnswers == 0);
}
