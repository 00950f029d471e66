#include "RawServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

using boost::asio::ip::tcp;

RawServer::RawServer(Serve serve)
    : serve(std::move(serve))
    , acceptor(this->context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , thread([this] { this->run(); })
{}

RawServer::~RawServer()
{
    // A connection of our own ends the accept that the thread waits in.
    tcp::socket last(this->context);
    boost::system::error_code ignored;
    const tcp::endpoint endpoint = this->acceptor.local_endpoint();
    this->serve = nullptr;
    last.connect(endpoint, ignored);
    this->thread.join();
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
        const Serve serveThis = this->serve;
        if (!serveThis) {
            return;
        }
        serveThis(socket, number);
    }
}

std::string RawServer::readRequest(Socket &socket)
{
    static const std::string LengthName = "Content-Length: ";
    std::string text;
    char buffer[4096];
    boost::system::error_code failed;
    while (true) {
        const std::size_t headersEnd = text.find("\r\n\r\n");
        if (headersEnd != std::string::npos) {
            const std::size_t length = text.find(LengthName);
            const std::size_t body =
                    length < headersEnd ? std::stoul(text.substr(length + LengthName.size())) : 0;
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
