#include "Net/HttpServerState.h"

#include <chrono>
#include <vector>

#include "Common/Clock.h"
#include "Net/HttpConnection.h"

namespace Net {

namespace {

/// How long stop() waits until answers that were sent are written to their connections.
constexpr std::chrono::seconds FlushTimeout{2};

} // namespace

void HttpServerState::addUnwritten(int change)
{
    const std::lock_guard<std::mutex> lock(this->unwrittenMutex);
    this->unwritten += change;
    if (this->unwritten == 0) {
        this->allWritten.notify_all();
    }
}

void HttpServerState::waitUntilWritten()
{
    std::unique_lock<std::mutex> lock(this->unwrittenMutex);
    this->allWritten.wait_for(lock, FlushTimeout, [this] { return this->unwritten == 0; });
}

void HttpServerState::add(const std::shared_ptr<HttpConnection> &connection)
{
    const std::lock_guard<std::mutex> lock(this->registryMutex);
    this->registry[connection->number()] = connection;
}

void HttpServerState::remove(std::uint64_t connection)
{
    const std::lock_guard<std::mutex> lock(this->registryMutex);
    this->registry.erase(connection);
}

std::shared_ptr<HttpConnection> HttpServerState::find(std::uint64_t connection)
{
    const std::lock_guard<std::mutex> lock(this->registryMutex);
    const auto found = this->registry.find(connection);
    return found == this->registry.end() ? nullptr : found->second.lock();
}

void HttpServerState::update(const Holding &holding)
{
    if (this->budget->update(holding)) {
        this->enforceLimits();
    }
    this->enforceAt(expiryMs(holding, this->budget->limits()));
}

void HttpServerState::unreadAnswerAdded()
{
    this->enforceLimits();
    this->enforceAt(this->budget->nextReleaseMs(Common::currentMoment().steadyMs));
}

void HttpServerState::closeAll()
{
    std::vector<std::shared_ptr<HttpConnection>> connections;
    {
        const std::lock_guard<std::mutex> lock(this->registryMutex);
        for (const auto &entry : this->registry) {
            connections.push_back(entry.second.lock());
        }
    }
    for (const std::shared_ptr<HttpConnection> &connection : connections) {
        if (connection) {
            connection->close();
        }
    }
}

/// Giving a connection up changes what is held, which may exceed a limit again. The loop takes the
/// place of a recursion as deep as the number of connections.
void HttpServerState::enforceLimits()
{
    this->isEnforcementDue = true;
    while (this->isEnforcementDue && !this->isEnforcing.exchange(true)) {
        this->isEnforcementDue = false;
        this->enforceOnce();
        this->isEnforcing = false;
    }
}

void HttpServerState::enforceOnce()
{
    for (const std::uint64_t number : this->budget->unreadConnections()) {
        if (const std::shared_ptr<HttpConnection> connection = this->find(number)) {
            connection->updateProgress();
        }
    }
    for (const Release &release : this->budget->enforce(Common::currentMoment().steadyMs)) {
        if (const std::shared_ptr<HttpConnection> connection = this->find(release.connection)) {
            connection->release(release);
        }
    }
}

} // namespace Net
