#include "Net/PeerHub.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <iterator>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "Common/Clock.h"
#include "Common/Log.h"
#include "Net/Codec.h"
#include "Net/ReleaseReport.h"

namespace Net {

namespace {

using ServerEndpoint = websocketpp::server<websocketpp::config::asio>;
using ClientEndpoint = websocketpp::client<websocketpp::config::asio_client>;

/// A link with more unsent bytes than this accepts no frames: its peer is silent or too slow, and
/// its frames would fill the memory that all links share.
constexpr std::size_t MaxUnsentBytes = std::size_t{16} << 20U;

/// Longest first frame of an accepted link. Only a peer that has sent a valid frame may send longer
/// ones: every client that reaches the port could otherwise fill the memory with a frame that never
/// ends.
constexpr std::size_t MaxFirstFrameBytes = std::size_t{256} << 10U;
/// What a connection without a valid frame counts for: its read buffer, its handshake and a usual
/// first frame.
constexpr std::size_t UnidentifiedBytes = std::size_t{64} << 10U;
/// A handshake has no body.
constexpr std::size_t MaxHandshakeBodyBytes = 1024;

constexpr std::size_t MaskBytes = 4;

/// Size of the WebSocket header before a payload of \a size bytes.
std::size_t headerBytes(std::size_t size, bool isMasked)
{
    constexpr std::size_t ShortPayload = 125;
    constexpr std::size_t MediumPayload = 65535;
    constexpr std::size_t ShortHeader = 2;
    constexpr std::size_t MediumHeader = 4;
    constexpr std::size_t LongHeader = 10;
    const std::size_t length = size <= ShortPayload    ? ShortHeader
                               : size <= MediumPayload ? MediumHeader
                                                       : LongHeader;
    return length + (isMasked ? MaskBytes : 0);
}

/// One connection, accepted or outgoing. Its functions run on the hub's thread.
struct Link
{
    std::function<bool(const std::string &)> write;
    std::function<std::size_t()> unsent;
    std::function<void()> disconnect;
    std::function<void()> allowLongFrames;
    bool isOpen = false;
    /// Number in the budget of an accepted link without a valid frame so far; 0 for others.
    std::uint64_t unidentified = 0;
    bool isOutgoing = false;
    /// Steady clock: when it was opened, or its last frame arrived.
    std::int64_t lastReceivedMs = 0;
    /// Bytes that were passed to the hub's thread and are not yet written to the connection. Every
    /// sender reads this and bufferedBytes.
    std::shared_ptr<std::atomic<std::size_t>> queuedBytes =
            std::make_shared<std::atomic<std::size_t>>(0);
    std::shared_ptr<std::atomic<std::size_t>> bufferedBytes =
            std::make_shared<std::atomic<std::size_t>>(0);
};

} // namespace

struct PeerHub::Implementation
{
    Implementation(PeerHubEvents events, std::shared_ptr<ListenerBudget> budget,
                   ReleaseListener released)
        : events(std::move(events))
        , isLimited(budget != nullptr)
        , budget(this->isLimited ? std::move(budget)
                                 : std::make_shared<ListenerBudget>(ListenerLimits()))
        , released(std::move(released))
        , budgetTimer(this->context)
    {
        this->report.setListener(Listener::Links);
        prepare(this->server);
        prepare(this->client);
        this->server.set_reuse_addr(true);
        this->server.set_max_message_size(this->isLimited ? MaxFirstFrameBytes : MaxFrameBytes);
        this->server.set_max_http_body_size(MaxHandshakeBodyBytes);
        this->server.set_tcp_pre_init_handler([this](const websocketpp::connection_hdl &handle) {
            this->startHandshake(handle);
        });
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~Implementation() { this->stop(); }
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    template <typename Endpoint>
    void prepare(Endpoint &endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&this->context);
        endpoint.set_max_message_size(MaxFrameBytes);
    }

    /// Adds the link \a id and connects the events of \a connection to it. \a acceptedNumber is 0
    /// for an outgoing one.
    template <typename Connection>
    void bind(LinkId id, const Connection &connection, std::uint64_t acceptedNumber)
    {
        using Message = typename Connection::element_type::message_ptr;
        Link link;
        link.isOutgoing = acceptedNumber == 0;
        link.unidentified = acceptedNumber;
        const std::weak_ptr<typename Connection::element_type> weak = connection;
        link.write = [weak](const std::string &bytes) {
            const auto target = weak.lock();
            return target && !target->send(bytes, websocketpp::frame::opcode::binary);
        };
        link.unsent = [weak] {
            const auto target = weak.lock();
            return target ? target->get_buffered_amount() : 0;
        };
        link.disconnect = [weak] {
            const auto target = weak.lock();
            if (target) {
                target->terminate(websocketpp::lib::error_code());
            }
        };
        link.allowLongFrames = [weak] {
            if (const auto target = weak.lock()) {
                target->set_max_message_size(MaxFrameBytes);
            }
        };
        connection->set_message_handler(
                [this, id](const websocketpp::connection_hdl &, const Message &message) {
                    this->received(id, message->get_payload());
                });
        const auto ended = [this, id, acceptedNumber](const websocketpp::connection_hdl &) {
            this->forget(acceptedNumber);
            this->removeLink(id);
        };
        connection->set_close_handler(ended);
        connection->set_fail_handler(ended);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->links.emplace(id, std::move(link));
    }

    template <typename Connection>
    void opened(LinkId id, const Connection &connection)
    {
        boost::system::error_code ignored;
        connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            const auto found = this->links.find(id);
            if (found == this->links.end()) {
                return;
            }
            found->second.isOpen = true;
            found->second.lastReceivedMs = Common::currentMoment().steadyMs;
        }
        this->events.opened(id);
    }

    /// Called for every connection that the server accepts, before anything is read from it.
    void startHandshake(const websocketpp::connection_hdl &started)
    {
        Holding holding;
        holding.connection = ++this->lastAccepted;
        holding.stage = HoldingStage::Head;
        holding.bytes = UnidentifiedBytes;
        holding.sinceMs = Common::currentMoment().steadyMs;
        const std::uint64_t number = holding.connection;
        const ServerEndpoint::connection_ptr connection = this->server.get_con_from_hdl(started);
        connection->set_fail_handler(
                [this, number](const websocketpp::connection_hdl &) { this->forget(number); });
        connection->set_open_handler([this, number](const websocketpp::connection_hdl &handle) {
            this->accepted(this->server.get_con_from_hdl(handle), number);
        });
        this->acceptedHandles[number] = started;
        if (this->budget->open(holding)) {
            this->enforceLimits();
        }
        this->scheduleEnforcement();
    }

    void accepted(const ServerEndpoint::connection_ptr &connection, std::uint64_t number)
    {
        const LinkId id = ++this->lastLink;
        this->bind(id, connection, number);
        this->opened(id, connection);
    }

    /// Called for each valid frame: the peer of an accepted link has shown what it is.
    void identify(LinkId id)
    {
        Holding holding;
        std::function<void()> allowLongFrames;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            const auto found = this->links.find(id);
            if (found == this->links.end() || found->second.unidentified == 0) {
                return;
            }
            holding.connection = std::exchange(found->second.unidentified, 0);
            allowLongFrames = found->second.allowLongFrames;
        }
        holding.stage = HoldingStage::Running;
        holding.revision = 1;
        this->budget->update(holding);
        allowLongFrames();
    }

    /// Called when the accepted connection \a number has ended. Ignores 0, an outgoing one.
    void forget(std::uint64_t number)
    {
        this->budget->close(number);
        this->acceptedHandles.erase(number);
    }

    /// The library reports no end of connections that sent an HTTP request other than a handshake.
    void forgetEnded()
    {
        for (auto entry = this->acceptedHandles.begin(); entry != this->acceptedHandles.end();) {
            const auto next = std::next(entry);
            if (entry->second.expired()) {
                this->forget(entry->first);
            }
            entry = next;
        }
    }

    void enforceLimits()
    {
        this->forgetEnded();
        const std::int64_t nowMs = Common::currentMoment().steadyMs;
        for (const Release &release : this->budget->enforce(nowMs)) {
            websocketpp::lib::error_code expired;
            const auto connection = this->server.get_con_from_hdl(
                    this->acceptedHandles[release.connection], expired);
            if (!connection) {
                continue;
            }
            this->released(release);
            boost::system::error_code unknown;
            const auto client = connection->get_raw_socket().remote_endpoint(unknown);
            this->report.released(release, unknown ? "" : client.address().to_string(), nowMs);
            connection->terminate(websocketpp::lib::error_code());
        }
    }

    /// Enforces the limits again when the next connection has taken too long.
    void scheduleEnforcement()
    {
        constexpr std::int64_t MinIntervalMs = 100;
        if (this->isEnforcementScheduled) {
            return;
        }
        const std::int64_t nowMs = Common::currentMoment().steadyMs;
        const std::int64_t atMs = this->budget->nextReleaseMs(nowMs);
        if (atMs == std::numeric_limits<std::int64_t>::max()) {
            return;
        }
        this->isEnforcementScheduled = true;
        this->budgetTimer.expires_after(
                std::chrono::milliseconds(std::max(atMs - nowMs, MinIntervalMs)));
        this->budgetTimer.async_wait([this](const boost::system::error_code &failed) {
            if (!failed) {
                this->isEnforcementScheduled = false;
                this->enforceLimits();
                this->scheduleEnforcement();
            }
        });
    }

    void connect(LinkId id, const std::string &host, std::uint16_t port, std::int64_t timeoutMs)
    {
        websocketpp::lib::error_code failed;
        const std::string uri = "ws://" + host + ':' + std::to_string(port) + '/';
        const ClientEndpoint::connection_ptr connection = this->client.get_connection(uri, failed);
        if (failed) {
            this->events.closed(id);
            return;
        }
        this->bind(id, connection, 0);
        // The handler does not own the connection, so that there is no reference cycle.
        connection->set_open_handler([this, id](const websocketpp::connection_hdl &handle) {
            this->opened(id, this->client.get_con_from_hdl(handle));
        });
        this->client.connect(connection);
        const auto timer = std::make_shared<boost::asio::steady_timer>(
                this->context, std::chrono::milliseconds(timeoutMs));
        timer->async_wait([this, id, timer](const boost::system::error_code &) {
            if (!this->isOpen(id)) {
                this->close(id);
            }
        });
    }

    bool isOpen(LinkId id)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->links.find(id);
        return found != this->links.end() && found->second.isOpen;
    }

    void received(LinkId id, const std::string &bytes)
    {
        ++this->framesReceived;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            const auto found = this->links.find(id);
            if (found == this->links.end()) {
                return;
            }
            found->second.lastReceivedMs = Common::currentMoment().steadyMs;
            this->bytesReceived +=
                    bytes.size() + headerBytes(bytes.size(), !found->second.isOutgoing);
        }
        std::optional<Schema::Frame> frame = this->decode(id, bytes);
        if (frame) {
            this->identify(id);
            this->countFrame(this->receivedByType, frame->type, bytes.size());
            this->events.received(id, std::move(*frame));
        } else {
            ++this->malformedFrames;
            this->close(id);
        }
    }

    std::optional<Schema::Frame> decode(LinkId id, const std::string &bytes)
    {
        return Common::handle(
                [&bytes]() -> Common::Outcome<std::optional<Schema::Frame>> {
                    BOOST_LEAF_AUTO(frame, decodeFrame(bytes));
                    return std::optional<Schema::Frame>(std::move(frame));
                },
                [id](const Common::Failure &failed) {
                    Common::logEvent(Common::LogLevel::Warning, "malformed_frame",
                                     {{"link", id}, {"detail", failed.detail}});
                    return std::optional<Schema::Frame>();
                });
    }

    /// Called from any thread; the write itself happens on the hub's thread.
    bool send(LinkId id, const Schema::Frame &frame)
    {
        std::shared_ptr<std::atomic<std::size_t>> queued;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            const auto found = this->links.find(id);
            if (found == this->links.end() || !found->second.isOpen) {
                return false;
            }
            queued = found->second.queuedBytes;
            if (*queued + *found->second.bufferedBytes > MaxUnsentBytes) {
                boost::asio::post(this->context, [this, id] { this->updateBuffered(id); });
                return false;
            }
        }
        std::string bytes = encodeFrame(frame);
        this->countFrame(this->sentByType, frame.type, bytes.size());
        *queued += bytes.size();
        boost::asio::post(this->context, [this, id, bytes = std::move(bytes), queued] {
            this->write(id, bytes);
            *queued -= bytes.size();
        });
        return true;
    }

    void write(LinkId id, const std::string &bytes)
    {
        std::function<bool(const std::string &)> writeBytes;
        bool isOutgoing = false;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            const auto found = this->links.find(id);
            if (found == this->links.end()) {
                return;
            }
            writeBytes = found->second.write;
            isOutgoing = found->second.isOutgoing;
        }
        if (writeBytes(bytes)) {
            ++this->framesSent;
            this->bytesSent += bytes.size() + headerBytes(bytes.size(), isOutgoing);
        }
        this->updateBuffered(id);
    }

    void countFrame(FrameTrafficByType &traffic, Schema::FrameType type, std::size_t bytes)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        FrameTraffic &counted = traffic[type];
        ++counted.frames;
        counted.bytes += bytes;
    }

    void updateBuffered(LinkId id)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->links.find(id);
        if (found != this->links.end()) {
            *found->second.bufferedBytes = found->second.unsent();
        }
    }

    /// Removes a link whose connection has ended or is about to be closed, and reports it as
    /// closed. False if the link was removed before.
    bool removeLink(LinkId id)
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->links.erase(id) == 0) {
                return false;
            }
        }
        this->events.closed(id);
        return true;
    }

    /// Runs on the hub's thread, which has read what had arrived when it was asked.
    void closeIfSilent(LinkId id, std::int64_t silenceMs)
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            const auto found = this->links.find(id);
            if (found == this->links.end()
                || Common::currentMoment().steadyMs <= found->second.lastReceivedMs + silenceMs) {
                return;
            }
        }
        this->close(id);
    }

    void close(LinkId id)
    {
        std::function<void()> disconnect;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            const auto found = this->links.find(id);
            if (found == this->links.end()) {
                return;
            }
            disconnect = found->second.disconnect;
        }
        this->removeLink(id);
        disconnect();
    }

    std::uint16_t listen(const std::string &host, std::uint16_t port)
    {
        std::promise<std::uint16_t> listening;
        boost::asio::post(this->context, [this, &host, port, &listening] {
            try {
                this->server.listen(host, std::to_string(port));
                this->server.start_accept();
                websocketpp::lib::asio::error_code failed;
                listening.set_value(this->server.get_local_endpoint(failed).port());
            } catch (const std::exception &error) {
                listening.set_exception(std::make_exception_ptr(
                        std::runtime_error("cannot listen on " + host + ':' + std::to_string(port)
                                           + ": " + error.what())));
            }
        });
        return listening.get_future().get();
    }

    void stop()
    {
        if (this->isStopped.exchange(true)) {
            return;
        }
        boost::asio::post(this->context, [this] {
            websocketpp::lib::error_code ignored;
            if (this->server.is_listening()) {
                this->server.stop_listening(ignored);
            }
            this->budgetTimer.cancel();
            this->disconnectAll();
            this->endHandshakes();
            this->context.stop();
        });
        this->thread.join();
    }

    void disconnectAll()
    {
        std::map<LinkId, Link> ending;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            ending.swap(this->links);
        }
        for (const auto &entry : ending) {
            entry.second.disconnect();
        }
    }

    /// A peer may have the answer to its handshake, and count its link as open, before the open
    /// handler has run here. No handler runs after the stop to end its connection.
    void endHandshakes()
    {
        const auto handles = std::exchange(this->acceptedHandles, {});
        for (const auto &[number, handle] : handles) {
            websocketpp::lib::error_code expired;
            const auto connection = this->server.get_con_from_hdl(handle, expired);
            if (connection) {
                connection->terminate(websocketpp::lib::error_code());
            }
        }
    }

    PeerHubEvents events;
    const bool isLimited;
    std::shared_ptr<ListenerBudget> budget;
    ReleaseListener released;
    ReleaseReport report;
    /// Outlives the endpoints, because their connections refer to it.
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work =
            boost::asio::make_work_guard(this->context);
    ServerEndpoint server;
    ClientEndpoint client;
    std::atomic<LinkId> lastLink = 0;
    std::mutex mutex;
    std::map<LinkId, Link> links;
    /// Accepted connections by their numbers in the budget. Used on the hub's thread only.
    std::map<std::uint64_t, websocketpp::connection_hdl> acceptedHandles;
    std::uint64_t lastAccepted = 0;
    boost::asio::steady_timer budgetTimer;
    bool isEnforcementScheduled = false;
    FrameTrafficByType sentByType;
    FrameTrafficByType receivedByType;
    std::atomic<std::uint64_t> framesSent = 0;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> framesReceived = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> malformedFrames = 0;
    std::atomic<bool> isStopped = false;
    std::thread thread;
};

PeerHub::PeerHub(PeerHubEvents events, std::shared_ptr<ListenerBudget> budget,
                 ReleaseListener released)
    : implementation(std::make_unique<Implementation>(std::move(events), std::move(budget),
                                                      std::move(released)))
{}

PeerHub::~PeerHub() = default;

std::uint16_t PeerHub::listen(const std::string &host, std::uint16_t port)
{
    return this->implementation->listen(host, port);
}

LinkId PeerHub::connect(const std::string &host, std::uint16_t port, std::int64_t timeoutMs)
{
    Implementation *hub = this->implementation.get();
    const LinkId id = ++hub->lastLink;
    boost::asio::post(hub->context, [hub, id, host, port, timeoutMs] {
        hub->connect(id, host, port, timeoutMs);
    });
    return id;
}

bool PeerHub::send(LinkId link, const Schema::Frame &frame)
{
    return this->implementation->send(link, frame);
}

void PeerHub::close(LinkId link)
{
    Implementation *hub = this->implementation.get();
    boost::asio::post(hub->context, [hub, link] { hub->close(link); });
}

void PeerHub::closeIfSilent(LinkId link, std::int64_t silenceMs)
{
    Implementation *hub = this->implementation.get();
    boost::asio::post(hub->context,
                      [hub, link, silenceMs] { hub->closeIfSilent(link, silenceMs); });
}

PeerHubTraffic PeerHub::traffic() const
{
    PeerHubTraffic traffic;
    traffic.framesSent = this->implementation->framesSent;
    traffic.bytesSent = this->implementation->bytesSent;
    traffic.framesReceived = this->implementation->framesReceived;
    traffic.bytesReceived = this->implementation->bytesReceived;
    traffic.malformedFrames = this->implementation->malformedFrames;
    const std::lock_guard<std::mutex> lock(this->implementation->mutex);
    traffic.sent = this->implementation->sentByType;
    traffic.received = this->implementation->receivedByType;
    for (const auto &[id, link] : this->implementation->links) {
        traffic.unsentBytes += *link.queuedBytes + *link.bufferedBytes;
    }
    return traffic;
}

void PeerHub::stop()
{
    this->implementation->stop();
}

} // namespace Net
