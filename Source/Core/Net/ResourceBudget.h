#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "Net/Holdings.h"
#include "Net/ListenerLimits.h"

namespace Net {

/// What a listener holds at a moment.
struct ListenerUsage
{
    std::size_t connections = 0;
    /// Of requests and answers.
    std::size_t bytes = 0;
};

/// Counts what one listener holds for its clients, and chooses what it gives up. Safe to use from
/// any thread. A connection that is chosen counts no more until its next update.
class ListenerBudget : public std::enable_shared_from_this<ListenerBudget>
{
public:
    /// Bytes of one whole request, given back on destruction.
    class Charge
    {
    public:
        Charge(std::shared_ptr<ListenerBudget> budget, std::size_t bytes);
        ~Charge();
        Charge(const Charge &) = delete;
        Charge &operator=(const Charge &) = delete;

    private:
        std::shared_ptr<ListenerBudget> budget;
        std::size_t bytes;
    };

    using Releases = std::vector<Release>;

    explicit ListenerBudget(const ListenerLimits &limits);

    const ListenerLimits &limits() const { return this->listenerLimits; }

    /// Adds a connection. Returns true if a limit is exceeded, so that enforce() is due.
    bool open(const Holding &holding);
    /// Replaces what is held for the connection of \a holding, unless a later revision of it is
    /// known. Returns like open().
    bool update(const Holding &holding);
    void close(std::uint64_t connection);
    bool isFull();

    /// Whether a request of \a bytes may be read.
    bool admits(std::size_t bytes);
    /// Charges a whole request. Null if there is no room for it.
    std::unique_ptr<Charge> charge(std::size_t bytes);

    /// The connections to give up now. The caller carries this out.
    Releases enforce(std::int64_t nowMs);
    /// Connections with an answer that is not completely accepted.
    std::vector<std::uint64_t> unreadConnections();
    /// When enforce() may choose a connection next, if nothing changes until then.
    std::int64_t nextReleaseMs(std::int64_t nowMs);

    ListenerUsage usage();

private:
    struct Entry
    {
        Holding holding;
        bool isReleased = false;
    };

    void add(Entry &entry, const Holding &holding);
    void subtract(Entry &entry);
    bool isExceeded() const;
    std::vector<Holding> holdings() const;

    const ListenerLimits listenerLimits;
    std::mutex mutex;
    std::unordered_map<std::uint64_t, Entry> entries;
    std::size_t connections = 0;
    std::size_t heldBytes = 0;
    std::size_t unreadBytes = 0;
    std::size_t runningBytes = 0;
};

/// The limits that \a settings of any process name.
template <typename Settings>
ProcessLimits processLimits(const Settings &settings)
{
    constexpr double BytesPerMb = 1 << 20U;
    return {static_cast<std::size_t>(settings.processMemoryMb * BytesPerMb),
            static_cast<std::size_t>(settings.maxDescriptors)};
}

/// The limits of a process, and what its listeners hold.
class ResourceBudget
{
public:
    ResourceBudget(const ProcessLimits &limits, const std::vector<Listener> &listeners);

    /// \a listener must be one of those that were named at construction.
    std::shared_ptr<ListenerBudget> of(Listener listener) const;
    std::map<Listener, ListenerUsage> usage() const;

private:
    std::map<Listener, std::shared_ptr<ListenerBudget>> budgets;
};

} // namespace Net
