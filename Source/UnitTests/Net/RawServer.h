#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

/// A TCP server that misbehaves as a test asks. Each connection has a thread.
class RawServer
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// \a number counts the connections from 1.
    using Serve = std::function<void(Socket &, int number)>;

    explicit RawServer(Serve serve);
    /// Connections being served must end by themselves.
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::uint16_t port() const;

    /// Reads one HTTP request with its body; empty when the client has closed.
    static std::string readRequest(Socket &socket);
    static void write(Socket &socket, const std::string &bytes);

    /// As a client: sends \a request and reads until \a expected has come or the server closes.
    static std::string exchange(std::uint16_t port, const std::string &request,
                                const std::string &expected);

private:
    void run();

    Serve serve;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> isStopping = false;
    std::vector<std::thread> connections;
    std::thread thread;
};
