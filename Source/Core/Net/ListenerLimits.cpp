#include "Net/ListenerLimits.h"

#include <algorithm>
#include <sys/resource.h>

namespace Net {

namespace {

/// The smallest machine beside a backend server has this much.
constexpr std::size_t DefaultMemoryBytes = std::size_t{128} << 20U;
/// A third of the memory is for clients: decoded jobs and the process itself need the rest.
constexpr std::size_t MemoryParts = 3;
/// A quarter of a listener's memory is for its connections, the rest for what they send and get.
constexpr std::size_t ConnectionParts = 4;
/// What an open connection takes in the process and in the kernel while nothing is sent on it.
constexpr std::size_t ConnectionBytes = 4096;
constexpr std::size_t MinConnections = 4;
/// Descriptors for files, event queues and connections to other systems.
constexpr std::size_t MinReservedDescriptors = 96;
constexpr std::size_t MaxReservedDescriptors = 512;
/// From a peer's connection to its first frame, which it sends when the handshake has ended.
constexpr std::chrono::seconds FirstFrameTimeout{10};
/// Answers that are not being read may take this part of what answers may take.
constexpr std::size_t IdleAnswerParts = 3;

std::size_t shareOf(Listener listener)
{
    constexpr std::size_t CallersShare = 12;
    constexpr std::size_t LinksShare = 6;
    constexpr std::size_t RegistrationShare = 4;
    switch (listener) {
    case Listener::Callers:
        return CallersShare;
    case Listener::Links:
        return LinksShare;
    case Listener::Registration:
        return RegistrationShare;
    default:
        return 1;
    }
}

std::size_t clientDescriptors(std::size_t descriptors)
{
    constexpr std::size_t ReservedParts = 4;
    const std::size_t reserved =
            std::clamp(descriptors / ReservedParts, MinReservedDescriptors, MaxReservedDescriptors);
    return descriptors - std::min(reserved, descriptors / 2);
}

} // namespace

std::vector<ListenerLimits> listenerLimits(const ProcessLimits &process,
                                           const std::vector<Listener> &listeners)
{
    std::size_t shares = 0;
    for (const Listener listener : listeners) {
        shares += shareOf(listener);
    }
    const std::size_t clientBytes = process.memoryBytes / MemoryParts;
    std::vector<ListenerLimits> all;
    for (const Listener listener : listeners) {
        const std::size_t share = shareOf(listener);
        const std::size_t bytes = clientBytes * share / shares;
        const std::size_t connectionBytes = bytes / ConnectionParts;
        const std::size_t descriptors = clientDescriptors(process.descriptors) * share / shares;
        ListenerLimits limits;
        if (listener == Listener::Links) {
            limits.timeouts.request = FirstFrameTimeout;
        }
        limits.maxBytes = bytes - connectionBytes;
        limits.maxConnections =
                std::max(std::min(descriptors, connectionBytes / ConnectionBytes), MinConnections);
        limits.unread.maxBytes = std::min(limits.unread.maxBytes, limits.maxBytes);
        limits.unread.maxIdleBytes =
                std::min(limits.unread.maxIdleBytes, limits.maxBytes / IdleAnswerParts);
        all.push_back(limits);
    }
    return all;
}

ProcessLimits effectiveLimits(const ProcessLimits &configured)
{
    ProcessLimits limits = configured;
    if (limits.memoryBytes == 0) {
        limits.memoryBytes = DefaultMemoryBytes;
    }
    rlimit open{};
    ::getrlimit(RLIMIT_NOFILE, &open);
    const auto permitted = static_cast<std::size_t>(open.rlim_cur);
    limits.descriptors =
            limits.descriptors == 0 ? permitted : std::min(limits.descriptors, permitted);
    return limits;
}

} // namespace Net
