#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Net/HttpServer.h"

namespace {

using Socket = boost::asio::ip::tcp::socket;

/// The reply to the caller that is about to leave, and the thread that sends it meanwhile.
class Replier
{
public:
    Replier()
        : thread([this] { this->run(); })
    {}
    ~Replier()
    {
        this->isEnding = true;
        this->thread.join();
    }
    Replier(const Replier &) = delete;
    Replier &operator=(const Replier &) = delete;

    void owe(const Net::HttpReply &reply)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->owed = reply;
        ++this->taken;
    }

    int takenSoFar() const { return this->taken; }
    void go() { this->isGoing = true; }

private:
    void run()
    {
        while (!this->isEnding) {
            if (!this->isGoing.exchange(false)) {
                std::this_thread::yield();
                continue;
            }
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->owed) {
                this->owed->send({200, "for the caller that has left", "text/plain", 0, false});
                this->owed.reset();
            }
        }
    }

    std::mutex mutex;
    std::optional<Net::HttpReply> owed;
    std::atomic<int> taken = 0;
    std::atomic<bool> isGoing = false;
    std::atomic<bool> isEnding = false;
    std::thread thread;
};

void ask(Socket &socket, std::uint16_t port, const std::string &path)
{
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
}

} // namespace

TEST_CASE("An answer to a caller that has left reaches no other caller")
{
    // A caller closes its connection while its answer is handed over; the next caller gets the
    // same socket number at the server, and must not read what it never asked for.
    constexpr int Rounds = 3000;
    Replier replier;
    std::mutex mutex;
    std::vector<Net::HttpReply> unanswered;
    const auto server =
            Net::HttpServerBuilder()
                    .threads(1)
                    .handler([&](const Net::HttpRequest &request, const Net::HttpReply &reply) {
                        if (request.path == "/leave") {
                            replier.owe(reply);
                            return;
                        }
                        const std::lock_guard<std::mutex> lock(mutex);
                        unanswered.push_back(reply);
                    })
                    .build();
    boost::asio::io_context context;
    std::optional<Socket> stayer;
    int strayAnswers = 0;
    for (int round = 0; round < Rounds; ++round) {
        const int before = replier.takenSoFar();
        Socket leaver(context);
        ask(leaver, server->port(), "/leave");
        while (replier.takenSoFar() == before) {
            std::this_thread::yield();
        }
        strayAnswers += stayer && stayer->available() > 0 ? 1 : 0;
        replier.go();
        leaver.close();
        stayer.emplace(context);
        ask(*stayer, server->port(), "/stay");
    }
    CHECK(strayAnswers == 0);
}
