#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Schema/Schema.h"

namespace Net {

/// One WebSocket connection to another process, accepted or made. Never reused within a process.
using LinkId = std::uint64_t;

/// All run on the hub's thread and must not block.
struct PeerHubEvents
{
    std::function<void(LinkId)> opened;
    std::function<void(LinkId, Schema::Frame)> received;
    /// Also after a connect() that did not succeed, and after close().
    std::function<void(LinkId)> closed;
};

/// Traffic of the hub since its start.
struct PeerHubTraffic
{
    std::uint64_t framesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t malformedFrames = 0;
};

/// Links to gateways and agents, on one thread of its own. It neither reconnects nor sends
/// heartbeats: whoever decides on membership does both, so that silence is judged in one place.
class PeerHub
{
public:
    explicit PeerHub(PeerHubEvents events);
    ~PeerHub();
    PeerHub(const PeerHub &) = delete;
    PeerHub &operator=(const PeerHub &) = delete;

    /// Accepts links; returns the port, also where 0 was asked for. Throws std::runtime_error where
    /// the address cannot be had.
    std::uint16_t listen(const std::string &host, std::uint16_t port);
    /// Starts a connection attempt that gives up after \a timeoutMs.
    LinkId connect(const std::string &host, std::uint16_t port, std::int64_t timeoutMs = 1000);
    /// False where the link is gone or its unsent bytes pass the bound; the frame is then dropped.
    bool send(LinkId link, const Schema::Frame &frame);
    /// Drops the connection at once, without a closing handshake: a silent peer would not answer
    /// it.
    void close(LinkId link);
    PeerHubTraffic traffic() const;
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace Net
