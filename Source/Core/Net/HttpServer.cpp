#include "Net/HttpServer.h"

#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

#include "Common/Clock.h"
#include "Net/HttpConnection.h"
#include "Net/HttpServerState.h"
#include "Net/ServerLoop.h"

namespace Net {

namespace {

using boost::asio::ip::tcp;

/// Sizes of the kernel's buffers of a connection: what a client sends or leaves unread there counts
/// as memory of the machine, too.
constexpr int ReceiveBufferBytes = 64 << 10;
constexpr int SendBufferBytes = 128 << 10;
/// Pause after a connection could not be accepted, or while there is no room for another one.
constexpr std::chrono::milliseconds AcceptPause{100};

/// Lets the kernel detect a caller that has vanished without closing its connection while it waits
/// for an answer.
void enableKeepalive(int socket)
{
    constexpr int On = 1;
    constexpr int IdleSeconds = 60;
    constexpr int ProbeSeconds = 10;
    constexpr int Probes = 3;
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof On);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &IdleSeconds, sizeof IdleSeconds);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeSeconds, sizeof ProbeSeconds);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof Probes);
}

std::uint64_t nextConnectionNumber()
{
    static std::atomic<std::uint64_t> last = 0;
    return ++last;
}

tcp::endpoint endpointOf(const std::string &host, std::uint16_t port)
{
    return {boost::asio::ip::make_address(host), port};
}

} // namespace

struct HttpServer::Implementation
{
    Implementation(const tcp::endpoint &endpoint, std::size_t threads,
                   std::shared_ptr<HttpServerState> state)
        : state(std::move(state))
    {
        for (std::size_t thread = 0; thread < threads; ++thread) {
            this->loops.push_back(std::make_shared<ServerLoop>());
        }
        this->acceptor.open(endpoint.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.set_option(
                boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
        this->acceptor.set_option(boost::asio::socket_base::send_buffer_size(SendBufferBytes));
        this->acceptor.bind(endpoint);
        this->acceptor.listen();
        this->port = this->acceptor.local_endpoint().port();
        this->state->enforceAt = [this](std::int64_t atMs) { this->enforceAt(atMs); };
        boost::asio::post(this->acceptLoop.context, [this] { this->accept(); });
    }
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    void accept()
    {
        const std::shared_ptr<ServerLoop> loop = this->loops[this->nextLoop];
        this->nextLoop = (this->nextLoop + 1) % this->loops.size();
        this->acceptor.async_accept(
                loop->context,
                [this, loop](const boost::system::error_code &failed, tcp::socket socket) {
                    if (failed == boost::asio::error::operation_aborted) {
                        return;
                    }
                    if (!failed) {
                        this->accepted(loop, std::move(socket));
                    }
                    if (failed || this->state->budget->isFull()) {
                        this->pauseAccepting();
                    } else {
                        this->accept();
                    }
                });
    }

    /// Without the pause a process that is out of descriptors would try again and again.
    void pauseAccepting()
    {
        this->acceptPause.expires_after(AcceptPause);
        this->acceptPause.async_wait([this](const boost::system::error_code &failed) {
            if (!failed) {
                this->accept();
            }
        });
    }

    void accepted(const std::shared_ptr<ServerLoop> &loop, tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        enableKeepalive(socket.native_handle());
        const auto connection = std::make_shared<HttpConnection>(
                nextConnectionNumber(), std::move(socket), loop, this->state);
        connection->enroll();
        boost::asio::dispatch(loop->context, [connection] { connection->start(); });
    }

    /// Called from any thread.
    void enforceAt(std::int64_t atMs)
    {
        std::int64_t armedMs = this->limitTimerMs;
        while (atMs < armedMs) {
            if (this->limitTimerMs.compare_exchange_weak(armedMs, atMs)) {
                boost::asio::post(this->acceptLoop.context, [this] { this->armLimitTimer(); });
                return;
            }
        }
    }

    void armLimitTimer()
    {
        const std::int64_t atMs = this->limitTimerMs;
        if (atMs == std::numeric_limits<std::int64_t>::max()) {
            return;
        }
        this->limitTimer.expires_after(
                std::chrono::milliseconds(atMs - Common::currentMoment().steadyMs));
        this->limitTimer.async_wait([this](const boost::system::error_code &failed) {
            if (!failed) {
                this->limitTimerMs = std::numeric_limits<std::int64_t>::max();
                this->state->enforceLimits();
                this->enforceAt(
                        this->state->budget->nextReleaseMs(Common::currentMoment().steadyMs));
            }
        });
    }

    void stop()
    {
        if (this->isStopped.exchange(true)) {
            return;
        }
        this->state->waitUntilWritten();
        {
            const std::lock_guard<std::shared_mutex> lock(this->state->mutex);
            this->state->isOpen = false;
        }
        this->acceptLoop.stop();
        for (const std::shared_ptr<ServerLoop> &loop : this->loops) {
            loop->stop();
        }
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        this->acceptPause.cancel();
        this->limitTimer.cancel();
        this->state->closeAll();
        // The handlers of what was cancelled refer to connections, and these to their loop.
        for (const std::shared_ptr<ServerLoop> &loop : this->loops) {
            loop->context.restart();
            loop->context.poll();
        }
    }

    std::shared_ptr<HttpServerState> state;
    std::vector<std::shared_ptr<ServerLoop>> loops;
    /// Accepts connections and watches over the limits, also while handlers take the other loops.
    ServerLoop acceptLoop;
    // These run on the accepting loop.
    tcp::acceptor acceptor{this->acceptLoop.context};
    boost::asio::steady_timer acceptPause{this->acceptLoop.context};
    boost::asio::steady_timer limitTimer{this->acceptLoop.context};
    /// When the limit timer expires, on the steady clock.
    std::atomic<std::int64_t> limitTimerMs = std::numeric_limits<std::int64_t>::max();
    std::size_t nextLoop = 0;
    std::uint16_t port = 0;
    std::atomic<bool> isStopped = false;
};

HttpServer::HttpServer(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

HttpServer::~HttpServer()
{
    this->stop();
}

std::uint16_t HttpServer::port() const
{
    return this->implementation->port;
}

int HttpServer::openConnections() const
{
    return this->implementation->state->connections;
}

int HttpServer::unwrittenAnswers() const
{
    const std::lock_guard<std::mutex> lock(this->implementation->state->unwrittenMutex);
    return this->implementation->state->unwritten;
}

void HttpServer::stop()
{
    this->implementation->stop();
}

HttpServerBuilder &HttpServerBuilder::listenOn(std::string host, std::uint16_t port)
{
    this->host = std::move(host);
    this->port = port;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::threads(int count)
{
    this->threadCount = count;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::maxBodyBytes(std::size_t bytes)
{
    this->bodyLimit = bytes;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::handler(HttpHandler handler)
{
    this->requestHandler = std::move(handler);
    return *this;
}

HttpServerBuilder &HttpServerBuilder::refused(HttpRefusalListener refused)
{
    this->refusalListener = std::move(refused);
    return *this;
}

HttpServerBuilder &HttpServerBuilder::disconnected(HttpDisconnectionListener disconnected)
{
    this->disconnectionListener = std::move(disconnected);
    return *this;
}

HttpServerBuilder &HttpServerBuilder::budget(const ResourceBudget &budget, Listener listener)
{
    this->listenerBudget = budget.of(listener);
    this->listener = listener;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::limits(const ListenerLimits &limits)
{
    this->ownLimits = limits;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::unreadLimits(UnreadLimits limits)
{
    this->ownLimits.unread = limits;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::dropped(DropListener dropped)
{
    this->dropListener = std::move(dropped);
    return *this;
}

HttpServerBuilder &HttpServerBuilder::released(ReleaseListener released)
{
    this->releaseListener = std::move(released);
    return *this;
}

std::unique_ptr<HttpServer> HttpServerBuilder::build()
{
    const auto state = std::make_shared<HttpServerState>();
    state->handler = this->requestHandler;
    state->refused = this->refusalListener;
    state->disconnected = this->disconnectionListener;
    state->dropped = this->dropListener;
    state->released = this->releaseListener;
    state->bodyLimit = this->bodyLimit;
    state->report.setListener(this->listener);
    state->budget = this->listenerBudget ? this->listenerBudget
                                         : std::make_shared<ListenerBudget>(this->ownLimits);
    try {
        return std::unique_ptr<HttpServer>(
                new HttpServer(std::make_unique<HttpServer::Implementation>(
                        endpointOf(this->host, this->port),
                        static_cast<std::size_t>(this->threadCount), state)));
    } catch (const boost::system::system_error &error) {
        throw std::runtime_error("cannot listen on " + this->host + ':' + std::to_string(this->port)
                                 + ": " + error.what());
    }
}

} // namespace Net
