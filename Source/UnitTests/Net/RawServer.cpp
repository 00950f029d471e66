#include "RawServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>
#include <sys/time.h>

using boost::asio::ip::tcp;

RawServer::RawServer(Serve serve)
    : serve(std::move(serve))
    , acceptor(this->context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , thread([this] { this->run(); })
{}

RawServer::~RawServer()
{
    // This connection ends the blocking accept() of the thread.
    tcp::socket last(this->context);
    boost::system::error_code ignored;
    const tcp::endpoint endpoint = this->acceptor.local_endpoint();
    this->isStopping = true;
    last.connect(endpoint, ignored);
    this->thread.join();
    for (std::thread &connection : this->connections) {
        connection.join();
    }
}

std::uint16_t RawServer::port() const
{
    return this->acceptor.local_endpoint().port();
}

void RawServer::run()
{
    for (int number = 1;; ++number) {
        tcp::socket socket(this->context);
        this->acceptor.accept(socket);
        if (this->isStopping) {
            return;
        }
        this->connections.emplace_back(
                [this, number](tcp::socket served) { this->serve(served, number); },
                std::move(socket));
    }
}

std::string RawServer::readRequest(Socket &socket)
{
    static const std::string lengthName = "Content-Length: ";
    std::string text;
    char buffer[4096];
    boost::system::error_code failed;
    while (true) {
        const std::size_t headersEnd = text.find("\r\n\r\n");
        if (headersEnd != std::string::npos) {
            const std::size_t length = text.find(lengthName);
            const std::size_t body =
                    length < headersEnd ? std::stoul(text.substr(length + lengthName.size())) : 0;
            if (text.size() >= headersEnd + 4 + body) {
                return text;
            }
        }
        const std::size_t count = socket.read_some(boost::asio::buffer(buffer), failed);
        if (failed) {
            return {};
        }
        text.append(buffer, count);
    }
}

void RawServer::write(Socket &socket, const std::string &bytes)
{
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
}

std::string RawServer::exchange(std::uint16_t port, const std::string &request,
                                const std::string &expected)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    // Limits the wait for an answer, so that a server that never answers fails the test instead of
    // blocking it.
    const timeval receiveTimeout{5, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout,
                 sizeof receiveTimeout);
    write(socket, request);
    std::string text;
    char buffer[4096];
    while (text.find(expected) == std::string::npos) {
        const ssize_t count = ::recv(socket.native_handle(), buffer, sizeof buffer, 0);
        if (count <= 0) {
            return text;
        }
        text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
}
