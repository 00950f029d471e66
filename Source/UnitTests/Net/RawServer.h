#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

/// A TCP server whose behaviour, including misbehaviour, is defined by the test. Each connection
/// has a thread.
class RawServer
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    /// Handles one connection; connections have a \a number, beginning with 1.
    using Serve = std::function<void(Socket &, int number)>;

    explicit RawServer(Serve serve);
    /// Waits until all open connections have been handled.
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::uint16_t port() const;

    /// Reads one HTTP request with its body. Returns an empty string if the client has closed the
    /// connection.
    static std::string readRequest(Socket &socket);
    static void write(Socket &socket, const std::string &bytes);

    /// Acts as a client: sends \a request and reads until \a expected was received, the server
    /// closes the connection, or nothing is received for 5 s.
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
