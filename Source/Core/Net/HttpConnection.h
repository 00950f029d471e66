#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>

#include "Net/AnswerWriter.h"
#include "Net/HttpServer.h"

namespace Net {

/// What the connections and replies of a server share. It may outlive the server: whoever uses a
/// socket checks isOpen first.
struct HttpServerState
{
    HttpServerState(UnreadLimits limits, DropListener dropped)
        : writer(limits, std::move(dropped))
    {}

    void addUnwritten(int change);
    /// Waits a limited time until all answers are written.
    void waitUntilWritten();

    HttpHandler handler;
    HttpRefusalListener refused;
    HttpDisconnectionListener disconnected;
    std::size_t bodyLimit = 0;
    /// Guards isOpen.
    std::shared_mutex mutex;
    bool isOpen = true;
    std::mutex unwrittenMutex;
    std::condition_variable allWritten;
    int unwritten = 0;
    std::atomic<int> connections = 0;
    AnswerWriter writer;
};

/// A request as it was read, or the reason why it could not be read.
struct ReceivedRequest
{
    HttpRequest request;
    /// Answers the request in place of the handler.
    std::optional<HttpResponse> refusal;
    /// Whatever follows on the connection is ignored.
    bool isLast = false;
};

/// An answer, and how much of it is written.
struct OutgoingAnswer
{
    std::string head;
    std::string body;
    std::size_t written = 0;
};

enum class WriteResult {
    /// Nothing is left to write.
    Complete,
    /// Some bytes were accepted, others are left.
    Partial,
    /// No byte was accepted.
    Blocked,
    /// The connection is broken.
    Failed,
};

/// One caller's connection. Its requests reach the handler one at a time, the next one when the
/// answer to the one before is written: answers keep the order of their requests, and a caller that
/// does not read occupies the memory of one answer at most.
///
/// The answer is written by the thread that gives it, and what the socket does not accept by the
/// AnswerWriter. The library's own queue of answers is not used: its thread tries again without a
/// pause while a caller does not read, and it queues by the number of the socket, which may belong
/// to another caller when the answer is written.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(std::uint64_t number, int socket, std::shared_ptr<HttpServerState> server);

    std::uint64_t number() const { return this->connectionNumber; }
    bool isInputIgnored();

    /// When the last bytes arrived at this machine, on the steady clock. They lie unread while the
    /// process is frozen, or the library has not taken the connection over.
    std::int64_t lastArrivalMs();

    /// Hands \a received to the handler, or keeps it until the requests before it are answered.
    void receive(ReceivedRequest received);

    /// Asks the caller for the body of its request, unless an answer is due first.
    void sendContinue();

    /// Answers the request that was handed on last. False if the caller has disconnected.
    bool answer(HttpResponse response);

    /// True if the caller has closed the connection or its sending side.
    bool hasCallerLeft();

    /// Writes what the socket accepts. Called by the AnswerWriter.
    WriteResult writeMore();

    /// What is left to write of the answer.
    std::size_t unwrittenBytes();

    /// Gives the answer up and resets the connection, so that the caller does not take what it has
    /// received for the whole answer. False if there is nothing left to write.
    bool abort();

    /// Must be called before the socket is closed: from then on its number may belong to another
    /// caller. An answer that is being written goes on: the caller may have ended only its sending.
    void disconnected();

private:
    void handle(ReceivedRequest received);
    void handleNext();
    WriteResult writeOutgoing();
    void finishAnswer();
    bool watch();
    void endWatch();
    void resetConnection();

    const std::uint64_t connectionNumber;
    const int socket;
    const std::shared_ptr<HttpServerState> server;
    /// Guards the members below, and the socket while it is used.
    std::mutex mutex;
    bool isDisconnected = false;
    bool ignoresInput = false;
    /// Whether a request was handed on and its answer is not yet written.
    bool isBusy = false;
    std::deque<ReceivedRequest> waiting;
    std::size_t waitingBytes = 0;
    std::optional<OutgoingAnswer> outgoing;
    /// A duplicate of the socket while the AnswerWriter has the rest of the outgoing answer, or -1.
    /// Unlike the library's, it stays open when the caller ends its sending.
    int watchedSocket = -1;
};

} // namespace Net
