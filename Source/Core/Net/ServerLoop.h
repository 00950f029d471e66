#pragma once

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <thread>

namespace Net {

/// A thread of a server and the events that it waits for. Connections keep it alive, since their
/// sockets refer to it.
struct ServerLoop
{
    ServerLoop()
        : thread([this] { this->context.run(); })
    {}
    ~ServerLoop() { this->stop(); }
    ServerLoop(const ServerLoop &) = delete;
    ServerLoop &operator=(const ServerLoop &) = delete;

    /// Ends the thread, unless it is the one that calls.
    void stop()
    {
        this->context.stop();
        if (this->thread.joinable() && this->thread.get_id() != std::this_thread::get_id()) {
            this->thread.join();
        }
    }

    static constexpr std::size_t ReadBytes = std::size_t{16} << 10U;

    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work =
            boost::asio::make_work_guard(this->context);
    /// Where the thread reads to: connections without input hold no buffer.
    std::array<char, ReadBytes> input{};
    std::thread thread;
};

} // namespace Net
