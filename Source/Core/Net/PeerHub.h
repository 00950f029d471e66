#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Net/HttpServer.h"
#include "Net/ResourceBudget.h"
#include "Schema/Schema.h"

namespace Net {

/// Number of a WebSocket connection to another process, accepted or outgoing. Never reused within a
/// hub.
using LinkId = std::uint64_t;

/// Callbacks of a hub. All run on the hub's thread and must not block.
struct PeerHubEvents
{
    std::function<void(LinkId)> opened;
    std::function<void(LinkId, Schema::Frame)> received;
    /// Also called after a connect() that did not succeed, and after close().
    std::function<void(LinkId)> closed;
};

/// Frames of one type and their bytes, without WebSocket headers.
struct FrameTraffic
{
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
};

using FrameTrafficByType = std::map<Schema::FrameType, FrameTraffic>;

/// Traffic of a hub since its start.
struct PeerHubTraffic
{
    std::uint64_t framesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t malformedFrames = 0;
    FrameTrafficByType sent;
    FrameTrafficByType received;
    /// Bytes of all links that are not written to their connections yet.
    std::uint64_t unsentBytes = 0;
};

/// Links to gateways and agents, served on a thread of its own. The hub neither reconnects nor
/// sends heartbeats: the code that decides on membership does both, so that silent peers are
/// detected in one place.
class PeerHub
{
public:
    /// \a budget limits the accepted connections, if it is set: the first frame of each is limited
    /// in length, and one that has not sent a valid frame is given up after a time, or when there
    /// are too many. Each that is given up is passed to \a released, on the hub's thread.
    explicit PeerHub(
            PeerHubEvents events, std::shared_ptr<ListenerBudget> budget = nullptr,
            ReleaseListener released = [](const Release &) {});
    ~PeerHub();
    PeerHub(const PeerHub &) = delete;
    PeerHub &operator=(const PeerHub &) = delete;

    /// Starts to accept links. Returns the port; the assigned one if port 0 was requested. Throws
    /// std::runtime_error if it cannot listen on the address.
    std::uint16_t listen(const std::string &host, std::uint16_t port);
    /// Starts a connection attempt that is aborted after \a timeoutMs.
    LinkId connect(const std::string &host, std::uint16_t port, std::int64_t timeoutMs = 1000);
    /// False if the link is not open or has too many unsent bytes; the frame is then dropped.
    bool send(LinkId link, const Schema::Frame &frame);
    /// Closes the connection at once, without a closing handshake, which a silent peer would not
    /// answer.
    void close(LinkId link);
    /// Closes the connection like close(), unless a frame has arrived on it in the last \a
    /// silenceMs.
    void closeIfSilent(LinkId link, std::int64_t silenceMs);
    PeerHubTraffic traffic() const;
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Net
