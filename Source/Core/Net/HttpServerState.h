#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <unordered_map>

#include "Net/HttpServer.h"
#include "Net/ReleaseReport.h"
#include "Net/ResourceBudget.h"

namespace Net {

class HttpConnection;

/// What the connections and replies of a server share. It may outlive the server: whoever uses a
/// socket checks isOpen first.
struct HttpServerState
{
    void addUnwritten(int change);
    /// Waits a limited time until all answers are written.
    void waitUntilWritten();

    void add(const std::shared_ptr<HttpConnection> &connection);
    void remove(std::uint64_t connection);
    std::shared_ptr<HttpConnection> find(std::uint64_t connection);
    /// Closes all connections. No other thread uses them any more.
    void closeAll();

    /// Notes what a connection holds, and gives up what exceeds the limits. The caller holds no
    /// connection's mutex.
    void update(const Holding &holding);
    /// Called when the caller has not accepted an answer at once. Notes the progress of the other
    /// unread answers, too: of those that were begun before, the first is the one that has stalled
    /// longest. The caller of this function holds no connection's mutex.
    void unreadAnswerAdded();
    /// Gives up what exceeds the limits or its time. The caller holds no connection's mutex.
    void enforceLimits();
    void enforceOnce();

    HttpHandler handler;
    HttpRefusalListener refused;
    HttpDisconnectionListener disconnected;
    ReleaseListener released;
    DropListener dropped;
    /// Asks for a call of the budget's enforce() at this time or earlier.
    std::function<void(std::int64_t)> enforceAt;
    std::size_t bodyLimit = 0;
    std::shared_ptr<ListenerBudget> budget;
    ReleaseReport report;
    /// Guards isOpen.
    std::shared_mutex mutex;
    bool isOpen = true;
    std::mutex unwrittenMutex;
    std::condition_variable allWritten;
    int unwritten = 0;
    std::atomic<int> connections = 0;
    std::mutex registryMutex;
    std::unordered_map<std::uint64_t, std::weak_ptr<HttpConnection>> registry;
    /// Whether a thread gives up connections, and whether that has to be looked at again.
    std::atomic<bool> isEnforcing = false;
    std::atomic<bool> isEnforcementDue = false;
};

} // namespace Net
