#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Common/NameTable.h"
#include "Net/UnreadAnswers.h"

namespace Net {

/// What the connections to one port are for.
enum class Listener { Callers, Probe, Metrics, Registration, Links };

constexpr Common::NameTable<Listener, 5> ListenerNames{{{Listener::Callers, "callers"},
                                                        {Listener::Probe, "probe"},
                                                        {Listener::Metrics, "metrics"},
                                                        {Listener::Registration, "registration"},
                                                        {Listener::Links, "links"}}};

/// What a process may use. 0 stands for "not known".
struct ProcessLimits
{
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

/// How long a connection may take for each part of its work.
struct ConnectionTimeouts
{
    /// From the connection's start to the first byte of its first request.
    std::chrono::milliseconds firstRequest = std::chrono::seconds(60);
    /// From an answer to the first byte of the next request.
    std::chrono::milliseconds idle = std::chrono::minutes(5);
    /// From the first byte of a request to its last one.
    std::chrono::milliseconds request = std::chrono::seconds(30);
    /// From the last answer to the end of the caller's sending.
    std::chrono::milliseconds closing = std::chrono::seconds(2);
};

/// Limits of one listener of a process.
struct ListenerLimits
{
    /// Requests that are read or run, and answers that are not read.
    std::size_t maxBytes = std::size_t{256} << 20U;
    std::size_t maxConnections = 65536;
    ConnectionTimeouts timeouts;
    UnreadLimits unread;
};

/// The limits of each of \a listeners of one process, in their order. Each has a share of its own,
/// so that the clients of one listener cannot take the room of another's; a part of the memory and
/// of the descriptors stays with the process itself.
std::vector<ListenerLimits> listenerLimits(const ProcessLimits &process,
                                           const std::vector<Listener> &listeners);

/// \a configured, and what it leaves open as far as the system tells.
ProcessLimits effectiveLimits(const ProcessLimits &configured);

} // namespace Net
