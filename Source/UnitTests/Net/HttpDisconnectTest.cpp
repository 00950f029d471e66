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

#include "Common/Clock.h"
#include "Net/HttpServer.h"

namespace {

using Socket = boost::asio::ip::tcp::socket;

/// Holds the reply for a caller that is about to disconnect, and sends it on a thread of its own.
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

/// Blocks a thread in waitForRelease() until another thread calls release().
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

/// Returns the descriptor of the socket on which the server accepted \a caller, or -1 if it has not
/// accepted it yet. Client and server are in the same process.
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

/// Waits until the server has accepted \a caller, and some time longer for its listening thread to
/// hand the connection over. Returns the descriptor of the accepted socket.
int waitUntilAccepted(const Socket &caller)
{
    constexpr std::chrono::milliseconds HandoverTime{20};
    while (acceptedSocket(caller) < 0) {
        std::this_thread::yield();
    }
    std::this_thread::sleep_for(HandoverTime);
    return acceptedSocket(caller);
}

/// Occupies all free descriptors below \a number, so that the next descriptor to be closed is the
/// next one to be reused.
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

/// Returns the number of bytes that reach a caller which has sent no request.
std::size_t unexpectedBytes(Socket &caller)
{
    constexpr std::chrono::milliseconds ObservationTime{100};
    std::this_thread::sleep_for(ObservationTime);
    return caller.available();
}

/// What a handler learns of a request that was read late.
struct LateRequest
{
    bool hasCallerLeft = false;
    std::int64_t ageMs = 0;
};

/// Sends a request while the server's only thread is occupied. \a beforeRead gets its caller before
/// the thread is released.
LateRequest readLate(const std::function<void(Socket &)> &beforeRead)
{
    ThreadGate first;
    std::promise<LateRequest> late;
    const auto server =
            Net::HttpServerBuilder()
                    .threads(1)
                    .handler([&](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        if (request.path == "/first") {
                            first.waitForRelease();
                            return;
                        }
                        late.set_value({reply.hasCallerLeft(),
                                        Common::currentMoment().steadyMs - request.arrivedMs});
                    })
                    .build();
    boost::asio::io_context context;
    Socket opener(context);
    Socket caller(context);
    sendRequest(opener, server->port(), "/first");
    first.waitUntilReached();
    sendRequest(caller, server->port(), "/second");
    beforeRead(caller);
    first.release();
    return late.get_future().get();
}

} // namespace

TEST_CASE("An answer reaches no later caller that reuses the socket number before it is written")
{
    // An answer is handed over while the server processes the disconnection of its caller. Before
    // the answer is written, the next caller is accepted on the same socket number and must not get
    // it.
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
                            // Keeps every reply: dropping one would send an answer.
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
    // In one iteration of its loop the server detects the disconnection first, then the request
    // that blocks it.
    leavingCaller.shutdown(Socket::shutdown_both);
    const std::string request = "GET /second HTTP/1.1\r\nHost: a.example\r\n\r\n";
    boost::asio::write(blocker, boost::asio::buffer(request));
    first.release();
    leaving.waitUntilReached();
    // New connections are processed before new answers, so this one is processed first.
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

TEST_CASE("A request that is read late shows whether its caller has left")
{
    // Guards against work for a caller that has given up: its request is read together with the end
    // of its connection, but processed before that.
    struct Row
    {
        const char *what;
        bool leaves;
    };
    const Row rows[] = {{"the caller waits", false},
                        {"the caller has closed its connection", true}};
    for (const Row &row : rows) {
        CAPTURE(std::string(row.what));
        const LateRequest late = readLate([&row](Socket &caller) {
            waitUntilAccepted(caller);
            if (row.leaves) {
                caller.close();
            }
        });
        CHECK(late.hasCallerLeft == row.leaves);
    }
}

TEST_CASE("A request that is read late shows when it arrived")
{
    // Guards against a caller whose timeout is counted from when its request is read.
    constexpr std::chrono::milliseconds Unread{200};
    // The kernel counts in its own ticks.
    constexpr std::int64_t TickMs = 10;
    const LateRequest late = readLate([&Unread](Socket &) { std::this_thread::sleep_for(Unread); });
    CHECK(late.ageMs >= Unread.count() - TickMs);
}

TEST_CASE("What is left of an answer to a caller that has left reaches no other caller")
{
    // A caller disconnects with most of its answer unread. The rest must not go to the next caller,
    // which is accepted on the same socket number.
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
    // Closing a socket with unread data resets the connection.
    leavingCaller.close();
    const ReservedDescriptors leavingCallerNumber(0);
    while (!isGone || ::fcntl(number, F_GETFD) != -1) {
        std::this_thread::yield();
    }
    next.connect({boost::asio::ip::address_v4::loopback(), server->port()});
    REQUIRE(waitUntilAccepted(next) == number);
    CHECK(unexpectedBytes(next) == 0);
}

TEST_CASE("A caller that does not read its answer holds up no other caller")
{
    // The server's only thread retries writing the rest of the answer, and serves no other caller
    // meanwhile.
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
    // What is read of a connection, and its end, are processed without a lock.
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
    // A caller closes its connection while its answer is handed over. The next caller gets the same
    // socket number at the server, and must not receive that answer.
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
