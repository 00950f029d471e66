#include "Soak/Proxy.h"

#include <array>
#include <boost/asio.hpp>
#include <list>
#include <map>
#include <stdexcept>
#include <thread>

namespace Soak {

namespace {

namespace Asio = boost::asio;
using Asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t ChunkBytes = 16384;
constexpr std::chrono::milliseconds RetryInterval{5};

tcp::endpoint loopback(std::uint16_t port)
{
    return {Asio::ip::address_v4::loopback(), port};
}

struct Link;

/// A connection through the proxy: two sockets, and a buffer for each direction.
struct Relay : std::enable_shared_from_this<Relay>
{
    Relay(Asio::io_context &context, Link &link)
        : link(link)
        , near(context)
        , far(context)
        , upTimer(context)
        , downTimer(context)
    {}

    void start(std::uint16_t targetPort);
    void read(bool isUpstream);
    void forward(bool isUpstream, std::size_t size);
    void write(bool isUpstream, std::size_t size);
    void finish(bool isUpstream);
    void reset();

    Link &link;
    tcp::socket near;
    tcp::socket far;
    Asio::steady_timer upTimer;
    Asio::steady_timer downTimer;
    std::array<char, ChunkBytes> upBytes{};
    std::array<char, ChunkBytes> downBytes{};
    /// The connection was open while the link was silent. All further data is discarded.
    bool isDiscarding = false;
    int directionsOpen = 2;
};

struct Link
{
    Link(Asio::io_context &context, std::uint16_t port, std::uint16_t targetPort)
        : acceptor(context, loopback(port), true)
        , targetPort(targetPort)
    {}

    tcp::acceptor acceptor;
    std::uint16_t targetPort;
    LinkImpairment impairment;
    std::list<std::weak_ptr<Relay>> relays;
};

void Relay::start(std::uint16_t targetPort)
{
    this->far.async_connect(loopback(targetPort),
                            [self = this->shared_from_this()](ErrorCode error) {
                                if (error) {
                                    self->reset();
                                    return;
                                }
                                ErrorCode ignored;
                                self->near.set_option(tcp::no_delay(true), ignored);
                                self->far.set_option(tcp::no_delay(true), ignored);
                                self->read(true);
                                self->read(false);
                            });
}

void Relay::read(bool isUpstream)
{
    tcp::socket &from = isUpstream ? this->near : this->far;
    auto &bytes = isUpstream ? this->upBytes : this->downBytes;
    from.async_read_some(Asio::buffer(bytes), [self = this->shared_from_this(),
                                               isUpstream](ErrorCode error, std::size_t size) {
        if (error) {
            self->finish(isUpstream);
        } else {
            self->forward(isUpstream, size);
        }
    });
}

/// Forwards the data that was read as soon as the link's impairments allow it. A \a size of 0
/// stands for the end of the stream.
void Relay::forward(bool isUpstream, std::size_t size)
{
    const LinkImpairment &impairment = this->link.impairment;
    this->isDiscarding = this->isDiscarding || impairment.isSilent;
    const bool isHeld = isUpstream ? impairment.holdsUpstream : impairment.holdsDownstream;
    if (this->isDiscarding && size > 0) {
        this->read(isUpstream);
        return;
    }
    if (!isHeld && impairment.delayMs == 0) {
        this->write(isUpstream, size);
        return;
    }
    Asio::steady_timer &timer = isUpstream ? this->upTimer : this->downTimer;
    timer.expires_after(isHeld ? RetryInterval : std::chrono::milliseconds(impairment.delayMs));
    timer.async_wait([self = this->shared_from_this(), isUpstream, size, isHeld](ErrorCode) {
        if (isHeld) {
            self->forward(isUpstream, size);
        } else {
            self->write(isUpstream, size);
        }
    });
}

void Relay::write(bool isUpstream, std::size_t size)
{
    tcp::socket &to = isUpstream ? this->far : this->near;
    if (size == 0) {
        ErrorCode ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        if (--this->directionsOpen == 0) {
            this->near.close(ignored);
            this->far.close(ignored);
        }
        return;
    }
    const auto &bytes = isUpstream ? this->upBytes : this->downBytes;
    Asio::async_write(to, Asio::buffer(bytes.data(), size),
                      [self = this->shared_from_this(), isUpstream](ErrorCode error, std::size_t) {
                          if (error) {
                              self->reset();
                          } else {
                              self->read(isUpstream);
                          }
                      });
}

/// Forwards the end of a stream like data, with the same delays. If the connection is discarded
/// because the link was silent, it is reset once the link is no longer silent. A peer that has
/// closed its socket completely is detected when writing in the other direction fails with a reset.
void Relay::finish(bool isUpstream)
{
    if (this->near.is_open() && this->far.is_open()) {
        if (this->isDiscarding || this->link.impairment.isSilent) {
            this->isDiscarding = true;
            Asio::steady_timer &timer = isUpstream ? this->upTimer : this->downTimer;
            timer.expires_after(RetryInterval);
            timer.async_wait([self = this->shared_from_this(), isUpstream](ErrorCode) {
                if (self->link.impairment.isSilent) {
                    self->finish(isUpstream);
                } else {
                    self->reset();
                }
            });
            return;
        }
        this->forward(isUpstream, 0);
    }
}

void Relay::reset()
{
    ErrorCode ignored;
    for (tcp::socket *socket : {&this->near, &this->far}) {
        if (socket->is_open()) {
            socket->set_option(Asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }
}

} // namespace

struct Proxy::Implementation
{
    void accept(Link &link)
    {
        auto relay = std::make_shared<Relay>(this->context, link);
        link.acceptor.async_accept(relay->near, [this, &link, relay](ErrorCode error) {
            if (error == Asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                link.relays.remove_if([](const auto &entry) { return entry.expired(); });
                link.relays.push_back(relay);
                relay->start(link.targetPort);
            }
            this->accept(link);
        });
    }

    Link &at(const std::string &name) { return *this->links.at(name); }

    Asio::io_context context;
    Asio::executor_work_guard<Asio::io_context::executor_type> work{this->context.get_executor()};
    std::map<std::string, std::unique_ptr<Link>> links;
    std::thread thread;
};

Proxy::Proxy()
    : implementation(std::make_unique<Implementation>())
{
    this->implementation->thread = std::thread([this] { this->implementation->context.run(); });
}

Proxy::~Proxy()
{
    this->implementation->context.stop();
    this->implementation->thread.join();
}

void Proxy::add(const std::string &name, std::uint16_t port, std::uint16_t targetPort)
{
    auto link = std::make_unique<Link>(this->implementation->context, port, targetPort);
    Asio::post(this->implementation->context,
               [this, name, added = std::make_shared<std::unique_ptr<Link>>(std::move(link))] {
                   Link &kept = **added;
                   this->implementation->links[name] = std::move(*added);
                   this->implementation->accept(kept);
               });
}

void Proxy::setImpairment(const std::string &link, const LinkImpairment &impairment)
{
    Asio::post(this->implementation->context, [this, link, impairment] {
        Link &impaired = this->implementation->at(link);
        impaired.impairment = impairment;
        for (const auto &entry : impaired.relays) {
            if (const auto relay = entry.lock()) {
                relay->isDiscarding = relay->isDiscarding || impairment.isSilent;
            }
        }
    });
}

void Proxy::reset(const std::string &link)
{
    Asio::post(this->implementation->context, [this, link] {
        for (const auto &entry : this->implementation->at(link).relays) {
            if (const auto relay = entry.lock()) {
                relay->reset();
            }
        }
    });
}

PortAllocator::PortAllocator(std::uint64_t seed)
{
    constexpr std::uint64_t First = 10'000;
    constexpr std::uint64_t Range = 20'000;
    this->next = static_cast<std::uint16_t>(First + seed % Range);
    this->remaining = Range;
}

std::uint16_t PortAllocator::allocate()
{
    constexpr std::uint16_t End = 32'000;
    constexpr std::uint16_t First = 10'000;
    while (this->remaining-- > 0) {
        const std::uint16_t port = this->next;
        this->next = port + 1 >= End ? First : static_cast<std::uint16_t>(port + 1);
        Asio::io_context context;
        tcp::acceptor acceptor(context);
        ErrorCode error;
        acceptor.open(tcp::v4(), error);
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        acceptor.bind(loopback(port), error);
        if (!error) {
            return port;
        }
    }
    throw std::runtime_error("no port is free");
}

} // namespace Soak
