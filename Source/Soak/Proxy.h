#pragma once

#include <cstdint>
#include <memory>
#include <string>

/// A proxy between processes on loopback that impairs their connections.
namespace Soak {

/// Impairments of a link.
struct LinkImpairment
{
    std::int64_t delayMs = 0;
    /// Data towards the listening side is held back until this ends, as with a one-way partition.
    bool holdsUpstream = false;
    /// The same for data towards the connecting side.
    bool holdsDownstream = false;
    /// Connections stay open and all data is discarded. Connections that were open during the
    /// silence never recover.
    bool isSilent = false;
};

/// Forwards the connections of named links on one thread of its own. Throws an exception derived
/// from std::runtime_error if a port can't be bound.
class Proxy
{
public:
    Proxy();
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    void add(const std::string &link, std::uint16_t port, std::uint16_t targetPort);
    void setImpairment(const std::string &link, const LinkImpairment &impairment);
    /// Resets all open connections of the link with a TCP reset.
    void reset(const std::string &link);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Allocates loopback ports below the range that the system uses for outgoing connections. Such a
/// connection could occupy the port of a process that is down, which then couldn't start again.
class PortAllocator
{
public:
    explicit PortAllocator(std::uint64_t seed);
    /// Returns a port that is free at present. Throws std::runtime_error if there is none.
    std::uint16_t allocate();

private:
    std::uint16_t next = 0;
    int remaining = 0;
};

} // namespace Soak
