#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "Net/HttpServerState.h"
#include "Net/RequestParser.h"
#include "Net/ServerLoop.h"

namespace Net {

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
    /// Some bytes are left.
    Partial,
    /// The connection is broken.
    Failed,
};

/// One caller's connection. Its requests reach the handler one at a time, the next one when the
/// answer to the one before is written: answers keep the order of their requests, and a caller that
/// does not read occupies the memory of one answer at most.
///
/// Input is read by the connection's loop. An answer is written by the thread that gives it, and
/// what the socket does not accept then by the loop.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    HttpConnection(std::uint64_t number, Socket socket, std::shared_ptr<ServerLoop> loop,
                   std::shared_ptr<HttpServerState> server);

    std::uint64_t number() const { return this->connectionNumber; }

    /// Counts the connection. Called once.
    void enroll();

    /// Starts to read. Called once after enroll(), on the loop.
    void start();

    /// Ends the connection. Called on the loop, or when its thread has ended.
    void close();

    /// Answers the request that was handed on last. False if the caller has disconnected.
    bool answer(HttpResponse response);

    /// True if the caller has closed the connection or its sending side.
    bool hasCallerLeft();

    /// Gives the connection up, unless its request has become whole since it was chosen.
    void release(const Release &release);

    /// Notes what the caller's side has accepted of an answer since the last call.
    void updateProgress();

private:
    bool isReadable();
    void waitForInput();
    void readInput();
    void takeInput(std::string_view input);
    void parse(std::string_view input);
    bool mayParse(std::string_view input);
    void parseAhead();
    bool checkHead();
    void sendContinue();
    void noteUnfinishedRequest();
    void handOn();
    void handle(HttpRequest request, std::unique_ptr<ListenerBudget::Charge> charge);
    void refuse(int status, Schema::Reason reason, const std::string &detail);
    void refuseForRoom(std::size_t bytes);
    void refuseOverloaded();

    WriteResult writeOutgoing();
    void watch();
    void waitUntilWritable();
    void writeMore();
    void finishAnswer();
    void endWatch();
    int unacceptedBytes();

    void carryOut(const Release &release);
    void dropAnswer(const Release &release);
    void callerEnded();
    void closeLater();
    void reportDisconnection();
    void setHolding(HoldingStage stage, std::size_t bytes);
    std::int64_t lastArrivalMs();
    std::string clientAddress();

    const std::uint64_t connectionNumber;
    const std::shared_ptr<ServerLoop> loop;
    const std::shared_ptr<HttpServerState> server;

    // Used on the loop only.
    RequestParser parser;
    bool isWaitingForInput = false;
    bool isParsingAhead = false;
    /// Requests that were read from ahead since it was last empty.
    std::size_t requestsAhead = 0;
    /// When the last input of ahead arrived.
    std::int64_t aheadArrivedMs = 0;
    /// Bytes that were read behind the last request.
    std::size_t ignoredBytes = 0;
    bool isReported = false;

    /// Guards the members below, and the socket's descriptor while another thread than the loop
    /// uses it.
    std::mutex mutex;
    Socket socket;
    bool isClosed = false;
    bool isDisconnected = false;
    bool ignoresInput = false;
    /// Whether a request was handed on and its answer is not yet written.
    bool isBusy = false;
    /// Input that came while a request was being answered.
    std::string ahead;
    bool hasAhead = false;
    std::optional<OutgoingAnswer> outgoing;
    /// Whether the loop writes the rest of the outgoing answer.
    bool isWatched = false;
    /// Bytes in the socket's buffer that the caller's side had not accepted when last looked at.
    int queuedBytes = 0;
    Holding holding;
};

} // namespace Net
