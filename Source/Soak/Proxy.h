#pragma once

#include <cstdint>
#include <memory>
#include <string>

/// Stands between processes on loopback and spoils what passes.
namespace Soak {

/// What a link does beside passing bytes on.
struct LinkImpairment
{
    std::int64_t delayMs = 0;
    /// What is sent towards the listening side waits until this ends, as behind a cut one way.
    bool holdsUpstream = false;
    /// The same for answers.
    bool holdsDownstream = false;
    /// Connections stay open and swallow everything, for good for those that met it.
    bool isSilent = false;
};

/// Carries connections of named links on one thread of its own. Throws std::runtime_error where a
/// port can't be had.
class Proxy
{
public:
    Proxy();
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    void add(const std::string &link, std::uint16_t port, std::uint16_t targetPort);
    void setImpairment(const std::string &link, const LinkImpairment &impairment);
    /// Resets all open connections of the link.
    void reset(const std::string &link);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Hands out ports of loopback below those the system gives to outgoing connections: such a
/// connection could take the port of a process that is down, which then couldn't start again.
class PortAllocator
{
public:
    explicit PortAllocator(std::uint64_t seed);
    /// Throws std::runtime_error where none is left.
    std::uint16_t allocate();

private:
    std::uint16_t next = 0;
    int remaining = 0;
};

} // namespace Soak
