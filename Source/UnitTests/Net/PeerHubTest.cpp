#include <sys/socket.h>
#include <sys/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <vector>

#include "Net/PeerHub.h"
#include "RawServer.h"

namespace {

/// A hub that records its events.
class RecordingHub
{
public:
    explicit RecordingHub(std::shared_ptr<Net::ListenerBudget> budget = nullptr)
        : hub({[this](Net::LinkId link) { this->record([&] { this->openLinks.push_back(link); }); },
               [this](Net::LinkId link, Schema::Frame frame) {
                   this->record([&] {
                       this->frames.push_back(std::move(frame));
                       this->lastSender = link;
                   });
               },
               [this](Net::LinkId link) {
                   this->record([&] { this->closedLinks.push_back(link); });
               }},
              std::move(budget))
    {}

    ~RecordingHub() { this->hub.stop(); }
    RecordingHub(const RecordingHub &) = delete;
    RecordingHub &operator=(const RecordingHub &) = delete;

    template <typename Condition>
    bool waitUntil(Condition condition)
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds(20), condition);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Net::LinkId> openLinks;
    std::vector<Net::LinkId> closedLinks;
    std::vector<Schema::Frame> frames;
    Net::LinkId lastSender = 0;
    /// Declared last, so that its thread ends before the members it records into are destroyed.
    Net::PeerHub hub;

private:
    template <typename Change>
    void record(Change change)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        change();
        this->changed.notify_all();
    }
};

Schema::Frame acknowledgement(const std::string &job, std::int64_t index)
{
    Schema::TaskRef task;
    task.job = job;
    task.index = index;
    Schema::TaskRefs tasks;
    tasks.tasks.push_back(task);
    Schema::Frame frame;
    frame.type = Schema::FrameType::AcknowledgeTasks;
    frame.acknowledgeTasks = tasks;
    return frame;
}

const std::string Handshake = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
                              "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                              "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

/// A connection to a hub on which the test itself speaks.
class RawPeer
{
public:
    RawPeer(std::uint16_t port, const std::string &bytes)
        : socket(this->context)
    {
        this->socket.connect({boost::asio::ip::address_v4::loopback(), port});
        boost::asio::write(this->socket, boost::asio::buffer(bytes));
    }

    /// Reads until the hub ends the connection. False if nothing is received for 2 s.
    bool isEnded()
    {
        const timeval receiveTimeout{2, 0};
        ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout,
                     sizeof receiveTimeout);
        char buffer[4096];
        ssize_t count = 1;
        while (count > 0) {
            count = ::recv(this->socket.native_handle(), buffer, sizeof buffer, 0);
        }
        return count == 0 || errno == ECONNRESET;
    }

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
};

/// A link between two hubs, open at both ends.
struct Pair
{
    Pair()
    {
        this->port = this->server.hub.listen("127.0.0.1", 0);
        this->link = this->client.hub.connect("127.0.0.1", this->port);
        REQUIRE(this->client.waitUntil([this] { return !this->client.openLinks.empty(); }));
        REQUIRE(this->server.waitUntil([this] { return !this->server.openLinks.empty(); }));
        this->accepted = this->server.openLinks.front();
    }

    RecordingHub server;
    RecordingHub client;
    std::uint16_t port = 0;
    Net::LinkId link = 0;
    Net::LinkId accepted = 0;
};

} // namespace

TEST_CASE("Frames arrive whole and in order, both ways")
{
    constexpr std::int64_t Frames = 500;
    Pair pair;
    const std::string longJob(std::size_t{3} << 20U, 'j');
    for (std::int64_t index = 0; index < Frames; ++index) {
        REQUIRE(pair.client.hub.send(pair.link, acknowledgement("up", index)));
        REQUIRE(pair.server.hub.send(pair.accepted, acknowledgement("down", index)));
    }
    REQUIRE(pair.client.hub.send(pair.link, acknowledgement(longJob, Frames)));
    REQUIRE(pair.server.waitUntil([&] { return pair.server.frames.size() == Frames + 1; }));
    REQUIRE(pair.client.waitUntil([&] { return pair.client.frames.size() == Frames; }));
    for (std::int64_t index = 0; index < Frames; ++index) {
        CHECK(pair.server.frames[index].acknowledgeTasks->tasks[0].index == index);
        CHECK(pair.client.frames[index].acknowledgeTasks->tasks[0].index == index);
    }
    CHECK(pair.server.frames.back().acknowledgeTasks->tasks[0].job == longJob);
    const Net::PeerHubTraffic sent = pair.client.hub.traffic();
    const Net::PeerHubTraffic received = pair.server.hub.traffic();
    CHECK(sent.framesSent == Frames + 1);
    CHECK(received.framesReceived == Frames + 1);
    CHECK(received.bytesReceived == sent.bytesSent);
}

TEST_CASE("Closing ends the link at both ends, and each end once")
{
    Pair pair;
    pair.client.hub.close(pair.link);
    pair.client.hub.close(pair.link);
    CHECK(pair.client.waitUntil([&] { return pair.client.closedLinks.size() == 1; }));
    CHECK(pair.server.waitUntil([&] { return pair.server.closedLinks.size() == 1; }));
    CHECK_FALSE(pair.client.hub.send(pair.link, acknowledgement("late", 0)));
    CHECK_FALSE(pair.server.hub.send(pair.accepted, acknowledgement("late", 0)));
    CHECK(pair.client.closedLinks == std::vector<Net::LinkId>{pair.link});
}

TEST_CASE("A hub that stops ends its peers' links")
{
    RecordingHub client;
    RecordingHub server;
    const std::uint16_t port = server.hub.listen("127.0.0.1", 0);
    client.hub.connect("127.0.0.1", port);
    REQUIRE(client.waitUntil([&] { return !client.openLinks.empty(); }));
    server.hub.stop();
    CHECK(client.waitUntil([&] { return client.closedLinks.size() == 1; }));
    RecordingHub next;
    CHECK(next.hub.listen("127.0.0.1", port) == port);
    CHECK_THROWS_AS(next.hub.listen("192.0.2.1", 1), std::runtime_error);
}

TEST_CASE("A hub that stops ends connections whose handshake is under way")
{
    // A stopped hub keeps such a connection open, and its peer waits for a process that is gone.
    for (const std::size_t sent : {std::size_t{0}, std::size_t{1}, Handshake.size() - 1}) {
        CAPTURE(sent);
        RecordingHub server;
        RecordingHub client;
        const std::uint16_t port = server.hub.listen("127.0.0.1", 0);
        RawPeer peer(port, Handshake.substr(0, sent));
        // Connections are accepted in order: once this link is open, the peer's is accepted.
        client.hub.connect("127.0.0.1", port);
        REQUIRE(server.waitUntil([&] { return !server.openLinks.empty(); }));
        server.hub.stop();
        CHECK(peer.isEnded());
        CHECK(server.openLinks.size() == 1);
        CHECK(server.closedLinks.empty());
    }
}

TEST_CASE("A hub ends a peer's connection at whatever moment of the handshake it stops")
{
    // The peer has the handshake's answer before the hub's own thread counts the link as open. A
    // hub that stops in between leaves the peer with an open link to nobody.
    constexpr int Rounds = 500;
    for (int round = 0; round < Rounds; ++round) {
        CAPTURE(round);
        RecordingHub server;
        RawPeer peer(server.hub.listen("127.0.0.1", 0), Handshake);
        const auto moment = std::chrono::steady_clock::now() + std::chrono::microseconds(round);
        while (std::chrono::steady_clock::now() < moment) {
        }
        server.hub.stop();
        REQUIRE(peer.isEnded());
    }
}

TEST_CASE("A peer whose handshake fails is no link")
{
    // The user of the hub has not heard of the link, and must not be told that it has closed.
    RecordingHub server;
    RecordingHub client;
    const std::uint16_t port = server.hub.listen("127.0.0.1", 0);
    RawPeer peer(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(peer.isEnded());
    client.hub.connect("127.0.0.1", port);
    REQUIRE(server.waitUntil([&] { return !server.openLinks.empty(); }));
    CHECK(server.openLinks.size() == 1);
    CHECK(server.closedLinks.empty());
}

TEST_CASE("An attempt that does not become a link ends in time")
{
    // The other end accepts the TCP connection and sends nothing, or does not listen at all. The
    // hub must report it with one closed event, after which its user may try again.
    RawServer silent([](RawServer::Socket &socket, int) {
        RawServer::readRequest(socket);
        RawServer::readRequest(socket);
    });
    std::uint16_t free = 0;
    {
        RecordingHub gone;
        free = gone.hub.listen("127.0.0.1", 0);
    }
    for (const std::uint16_t port : {silent.port(), free}) {
        RecordingHub client;
        const Net::LinkId link = client.hub.connect("127.0.0.1", port, 100);
        CHECK_FALSE(client.hub.send(link, acknowledgement("early", 0)));
        CHECK(client.waitUntil([&] { return client.closedLinks.size() == 1; }));
        CHECK(client.openLinks.empty());
    }
}

TEST_CASE("A malformed frame closes its link, is counted, and harms no other")
{
    // A WebSocket client that does not send CBOR connects to the hub. Its link is closed, while the
    // link of a correct process stays open.
    Pair pair;
    // Binary frame of three bytes, masked with zeros.
    const std::string frame("\x82\x83\0\0\0\0abc", 9);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), pair.port});
    boost::asio::write(socket, boost::asio::buffer(Handshake + frame + frame));
    CHECK(pair.server.waitUntil([&] { return pair.server.closedLinks.size() == 1; }));
    CHECK(pair.server.hub.traffic().malformedFrames == 1);
    REQUIRE(pair.client.hub.send(pair.link, acknowledgement("after", 1)));
    CHECK(pair.server.waitUntil([&] { return pair.server.frames.size() == 1; }));
}

TEST_CASE("A link whose peer reads nothing refuses frames past the bound, and takes them again")
{
    // An agent's machine stalls and reads nothing more, while the gateway keeps sending to it.
    // Without a bound the gateway's memory would grow until it crashes, with all its shards.
    std::mutex mutex;
    std::condition_variable changed;
    bool isStalled = true;
    Net::PeerHub stalled({[](Net::LinkId) {},
                          [&](Net::LinkId, const Schema::Frame &) {
                              std::unique_lock<std::mutex> lock(mutex);
                              changed.wait(lock, [&] { return !isStalled; });
                          },
                          [](Net::LinkId) {}});
    RecordingHub sender;
    const std::uint16_t port = stalled.listen("127.0.0.1", 0);
    const Net::LinkId link = sender.hub.connect("127.0.0.1", port);
    REQUIRE(sender.waitUntil([&] { return !sender.openLinks.empty(); }));
    constexpr int MoreThanFits = 200;
    const Schema::Frame large = acknowledgement(std::string(std::size_t{1} << 20U, 'x'), 0);
    int acceptedFrames = 0;
    while (acceptedFrames < MoreThanFits && sender.hub.send(link, large)) {
        ++acceptedFrames;
    }
    CHECK(acceptedFrames > 1);
    CHECK(acceptedFrames < MoreThanFits);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        isStalled = false;
    }
    changed.notify_all();
    bool isAcceptedAgain = false;
    for (int attempt = 0; attempt < 2000 && !isAcceptedAgain; ++attempt) {
        isAcceptedAgain = sender.hub.send(link, large);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK(isAcceptedAgain);
}

TEST_CASE("A client that has shown nothing sends a frame of any length, or a peer no long one")
{
    const std::string longText(std::size_t{1} << 20U, 'x');
    const Net::ResourceBudget budget({}, {Net::Listener::Links});
    for (const bool isLongFirst : {true, false}) {
        CAPTURE(isLongFirst);
        RecordingHub server(budget.of(Net::Listener::Links));
        RecordingHub client;
        const std::uint16_t port = server.hub.listen("127.0.0.1", 0);
        const Net::LinkId link = client.hub.connect("127.0.0.1", port);
        REQUIRE(client.waitUntil([&] { return !client.openLinks.empty(); }));
        if (!isLongFirst) {
            REQUIRE(client.hub.send(link, acknowledgement("first", 0)));
        }
        REQUIRE(client.hub.send(link, acknowledgement(longText, 1)));
        if (isLongFirst) {
            CHECK(client.waitUntil([&] { return !client.closedLinks.empty(); }));
            CHECK(server.frames.empty());
        } else {
            CHECK(server.waitUntil([&] { return server.frames.size() == 2; }));
        }
    }
}

TEST_CASE("Connections that never send a valid frame keep the room of links")
{
    // The peers that were there before stay.
    constexpr int Crowd = 100;
    Net::ListenerLimits limits;
    limits.maxConnections = 10;
    RecordingHub server(std::make_shared<Net::ListenerBudget>(limits));
    const std::uint16_t port = server.hub.listen("127.0.0.1", 0);
    RecordingHub before;
    const Net::LinkId earlier = before.hub.connect("127.0.0.1", port);
    REQUIRE(before.waitUntil([&] { return !before.openLinks.empty(); }));
    REQUIRE(before.hub.send(earlier, acknowledgement("before", 0)));
    REQUIRE(server.waitUntil([&] { return server.frames.size() == 1; }));
    RecordingHub crowd;
    for (int client = 0; client < Crowd; ++client) {
        crowd.hub.connect("127.0.0.1", port, 20'000);
    }
    CHECK(crowd.waitUntil([&] { return crowd.closedLinks.size() >= Crowd - 10; }));
    RecordingHub after;
    const Net::LinkId later = after.hub.connect("127.0.0.1", port);
    REQUIRE(after.waitUntil([&] { return !after.openLinks.empty(); }));
    REQUIRE(after.hub.send(later, acknowledgement("after", 0)));
    REQUIRE(before.hub.send(earlier, acknowledgement("before", 1)));
    CHECK(server.waitUntil([&] { return server.frames.size() == 3; }));
    CHECK(before.closedLinks.empty());
}
