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
constexpr std::chrono::milliseconds LookAgain{5};

tcp::endpoint loopback(std::uint16_t port)
{
    return {Asio::ip::address_v4::loopback(), port};
}

struct Link;

/// A connection through the proxy: two sockets, and bytes on their way in each direction.
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
    void read(bool isUp);
    void pass(bool isUp, std::size_t size);
    void write(bool isUp, std::size_t size);
    void finish(bool isUp);
    void reset();

    Link &link;
    tcp::socket near;
    tcp::socket far;
    Asio::steady_timer upTimer;
    Asio::steady_timer downTimer;
    std::array<char, ChunkBytes> upBytes{};
    std::array<char, ChunkBytes> downBytes{};
    /// Met silence: nothing of it is passed on any more.
    bool isSwallowed = false;
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
    LinkTrouble trouble;
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

void Relay::read(bool isUp)
{
    tcp::socket &from = isUp ? this->near : this->far;
    auto &bytes = isUp ? this->upBytes : this->downBytes;
    from.async_read_some(Asio::buffer(bytes), [self = this->shared_from_this(),
                                               isUp](ErrorCode error, std::size_t size) {
        if (error) {
            self->finish(isUp);
        } else {
            self->pass(isUp, size);
        }
    });
}

/// Passes on what was read once the link's trouble allows it; \a size 0 is the end of the stream.
void Relay::pass(bool isUp, std::size_t size)
{
    const LinkTrouble &trouble = this->link.trouble;
    this->isSwallowed = this->isSwallowed || trouble.isSilent;
    const bool isHeld = isUp ? trouble.holdsUp : trouble.holdsDown;
    if (this->isSwallowed && size > 0) {
        this->read(isUp);
        return;
    }
    if (!isHeld && trouble.delayMs == 0) {
        this->write(isUp, size);
        return;
    }
    Asio::steady_timer &timer = isUp ? this->upTimer : this->downTimer;
    timer.expires_after(isHeld ? LookAgain : std::chrono::milliseconds(trouble.delayMs));
    timer.async_wait([self = this->shared_from_this(), isUp, size, isHeld](ErrorCode) {
        if (isHeld) {
            self->pass(isUp, size);
        } else {
            self->write(isUp, size);
        }
    });
}

void Relay::write(bool isUp, std::size_t size)
{
    tcp::socket &to = isUp ? this->far : this->near;
    if (size == 0) {
        ErrorCode ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        if (--this->directionsOpen == 0) {
            this->near.close(ignored);
            this->far.close(ignored);
        }
        return;
    }
    const auto &bytes = isUp ? this->upBytes : this->downBytes;
    Asio::async_write(to, Asio::buffer(bytes.data(), size),
                      [self = this->shared_from_this(), isUp](ErrorCode error, std::size_t) {
                          if (error) {
                              self->reset();
                          } else {
                              self->read(isUp);
                          }
                      });
}

/// An end of the stream passes like bytes, and waits behind a cut as they do. A peer that has gone
/// altogether is seen by the reset of the other direction.
void Relay::finish(bool isUp)
{
    if (this->near.is_open() && this->far.is_open()) {
        if (this->isSwallowed || this->link.trouble.isSilent) {
            this->isSwallowed = true;
            Asio::steady_timer &timer = isUp ? this->upTimer : this->downTimer;
            timer.expires_after(LookAgain);
            timer.async_wait([self = this->shared_from_this(), isUp](ErrorCode) {
                if (self->link.trouble.isSilent) {
                    self->finish(isUp);
                } else {
                    self->reset();
                }
            });
            return;
        }
        this->pass(isUp, 0);
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

void Proxy::setTrouble(const std::string &link, const LinkTrouble &trouble)
{
    Asio::post(this->implementation->context,
               [this, link, trouble] { this->implementation->at(link).trouble = trouble; });
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

Ports::Ports(std::uint64_t seed)
{
    constexpr std::uint64_t First = 10'000;
    constexpr std::uint64_t Range = 20'000;
    this->next = static_cast<std::uint16_t>(First + seed % Range);
    this->left = Range;
}

std::uint16_t Ports::take()
{
    constexpr std::uint16_t End = 32'000;
    constexpr std::uint16_t First = 10'000;
    while (this->left-- > 0) {
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
