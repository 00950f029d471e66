#include "Net/ResourceBudget.h"

#include <utility>

namespace Net {

ListenerBudget::Charge::Charge(std::shared_ptr<ListenerBudget> budget, std::size_t bytes)
    : budget(std::move(budget))
    , bytes(bytes)
{}

ListenerBudget::Charge::~Charge()
{
    const std::lock_guard<std::mutex> lock(this->budget->mutex);
    this->budget->runningBytes -= this->bytes;
}

ListenerBudget::ListenerBudget(const ListenerLimits &limits)
    : listenerLimits(limits)
{}

/// The caller holds the mutex.
void ListenerBudget::add(Entry &entry, const Holding &holding)
{
    entry.holding = holding;
    entry.isReleased = false;
    ++this->connections;
    this->heldBytes += holding.bytes;
    this->unreadBytes += holding.stage == HoldingStage::Answer ? holding.bytes : 0;
}

/// The caller holds the mutex.
void ListenerBudget::subtract(Entry &entry)
{
    if (entry.isReleased) {
        return;
    }
    const Holding &holding = entry.holding;
    --this->connections;
    this->heldBytes -= holding.bytes;
    this->unreadBytes -= holding.stage == HoldingStage::Answer ? holding.bytes : 0;
}

/// The caller holds the mutex.
bool ListenerBudget::isExceeded() const
{
    const ListenerLimits &limits = this->listenerLimits;
    return this->connections > limits.maxConnections
           || this->heldBytes + this->runningBytes > limits.maxBytes
           || this->unreadBytes > limits.unread.maxBytes;
}

/// What is held for the connections that are not released. The caller holds the mutex.
std::vector<Holding> ListenerBudget::holdings() const
{
    std::vector<Holding> holdings;
    holdings.reserve(this->connections);
    for (const auto &[connection, entry] : this->entries) {
        if (!entry.isReleased) {
            holdings.push_back(entry.holding);
        }
    }
    return holdings;
}

bool ListenerBudget::open(const Holding &holding)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->add(this->entries[holding.connection], holding);
    return this->isExceeded();
}

bool ListenerBudget::update(const Holding &holding)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->entries.find(holding.connection);
    if (found == this->entries.end() || holding.revision < found->second.holding.revision) {
        return false;
    }
    this->subtract(found->second);
    this->add(found->second, holding);
    return this->isExceeded();
}

void ListenerBudget::close(std::uint64_t connection)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->entries.find(connection);
    if (found != this->entries.end()) {
        this->subtract(found->second);
        this->entries.erase(found);
    }
}

bool ListenerBudget::admits(std::size_t bytes)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return admitsRequest(bytes, this->runningBytes, this->listenerLimits);
}

std::unique_ptr<ListenerBudget::Charge> ListenerBudget::charge(std::size_t bytes)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!admitsRequest(bytes, this->runningBytes, this->listenerLimits)) {
        return nullptr;
    }
    this->runningBytes += bytes;
    return std::make_unique<Charge>(this->shared_from_this(), bytes);
}

bool ListenerBudget::isFull()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->connections > this->listenerLimits.maxConnections;
}

ListenerBudget::Releases ListenerBudget::enforce(std::int64_t nowMs)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Releases releases =
            holdingsToRelease(this->holdings(), this->runningBytes, this->listenerLimits, nowMs);
    for (const Release &release : releases) {
        Entry &entry = this->entries.at(release.connection);
        this->subtract(entry);
        entry.isReleased = true;
    }
    return releases;
}

std::vector<std::uint64_t> ListenerBudget::unreadConnections()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::uint64_t> unread;
    for (const auto &[connection, entry] : this->entries) {
        if (entry.holding.stage == HoldingStage::Answer) {
            unread.push_back(connection);
        }
    }
    return unread;
}

std::int64_t ListenerBudget::nextReleaseMs(std::int64_t nowMs)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return Net::nextReleaseMs(this->holdings(), this->listenerLimits, nowMs);
}

ListenerUsage ListenerBudget::usage()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return {this->connections, this->heldBytes + this->runningBytes};
}

ResourceBudget::ResourceBudget(const ProcessLimits &limits, const std::vector<Listener> &listeners)
{
    const std::vector<ListenerLimits> all = listenerLimits(effectiveLimits(limits), listeners);
    for (std::size_t index = 0; index < listeners.size(); ++index) {
        this->budgets[listeners[index]] = std::make_shared<ListenerBudget>(all[index]);
    }
}

std::shared_ptr<ListenerBudget> ResourceBudget::of(Listener listener) const
{
    return this->budgets.at(listener);
}

std::map<Listener, ListenerUsage> ResourceBudget::usage() const
{
    std::map<Listener, ListenerUsage> usage;
    for (const auto &[listener, budget] : this->budgets) {
        usage[listener] = budget->usage();
    }
    return usage;
}

} // namespace Net
