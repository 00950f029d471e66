#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

/// A TCP server that misbehaves as a test asks. One thread, one connection after the other.
class RawServer
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// \a number counts the connections from 1.
    using Serve = std::function<void(Socket &, int number)>;

    explicit RawServer(Serve serve);
    /// The connection being served must end by itself.
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::uint16_t port() const;

    /// Reads one HTTP request with its body; empty when the client has closed.
    static std::string readRequest(Socket &socket);
    static void write(Socket &socket, const std::string &bytes);

private:
    void run();

    Serve serve;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};
