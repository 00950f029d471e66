#include "Net/HttpConnection.h"

#include <array>
#include <boost/asio/dispatch.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

#include "Common/Clock.h"
#include "Common/Log.h"
#include "Net/HttpReply.h"

namespace Net {

namespace {

/// Requests that a caller may send before it has received the answers to earlier ones.
constexpr std::size_t MaxRequestsAhead = 16;
/// Input behind a request that is being answered; more stays in the kernel until then.
constexpr std::size_t MaxAheadBytes = std::size_t{8} << 10U;
/// Input behind the last request that is read and ignored, so that a caller which is still sending
/// receives its answer before the connection is reset.
constexpr std::size_t MaxIgnoredBytes = std::size_t{256} << 10U;
/// Reads from one connection before others have their turn.
constexpr int MaxReadsPerTurn = 16;
/// What a whole request takes in addition to its head and body.
constexpr std::size_t RequestOverheadBytes = 1024;
constexpr int RequestTimeout = 408;
constexpr int BadRequest = 400;
constexpr int ContentTooLarge = 413;
constexpr int Unavailable = 503;
constexpr int RetrySeconds = 1;

HttpResponse refusal(int status, Schema::Reason reason, const std::string &detail)
{
    HttpResponse response;
    response.status = status;
    response.body = nlohmann::json{
            {"reason", Schema::enumName(reason)},
            {"detail", detail},
            {"notRun",
             true}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    response.retryAfterSeconds = status == Unavailable ? RetrySeconds : 0;
    response.closesConnection = true;
    return response;
}

} // namespace

HttpConnection::HttpConnection(std::uint64_t number, Socket socket,
                               std::shared_ptr<ServerLoop> loop,
                               std::shared_ptr<HttpServerState> server)
    : connectionNumber(number)
    , loop(std::move(loop))
    , server(std::move(server))
    , parser(this->server->bodyLimit)
    , socket(std::move(socket))
{
    this->holding.connection = number;
    this->holding.sinceMs = Common::currentMoment().steadyMs;
}

void HttpConnection::enroll()
{
    this->server->add(this->shared_from_this());
    ++this->server->connections;
    if (this->server->budget->open(this->holding)) {
        this->server->enforceLimits();
    }
    this->server->enforceAt(expiryMs(this->holding, this->server->budget->limits()));
}

void HttpConnection::start()
{
    this->waitForInput();
}

/// Whether more input may be read.
bool HttpConnection::isReadable()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return !this->isClosed && !this->isDisconnected && this->ahead.size() < MaxAheadBytes
           && this->ignoredBytes < MaxIgnoredBytes;
}

void HttpConnection::waitForInput()
{
    if (this->isWaitingForInput || !this->isReadable()) {
        return;
    }
    this->isWaitingForInput = true;
    this->socket.async_wait(Socket::wait_read, [self = this->shared_from_this()](
                                                       const boost::system::error_code &failed) {
        self->isWaitingForInput = false;
        if (!failed) {
            self->readInput();
        }
    });
}

void HttpConnection::readInput()
{
    for (int turn = 0; turn < MaxReadsPerTurn && this->isReadable(); ++turn) {
        std::array<char, ServerLoop::ReadBytes> &input = this->loop->input;
        const ssize_t length =
                ::recv(this->socket.native_handle(), input.data(), input.size(), MSG_DONTWAIT);
        if (length == 0 || (length < 0 && errno != EAGAIN && errno != EINTR)) {
            this->callerEnded();
            return;
        }
        if (length < 0) {
            break;
        }
        const auto bytes = static_cast<std::size_t>(length);
        this->takeInput({input.data(), bytes});
        if (bytes < input.size()) {
            break;
        }
    }
    this->waitForInput();
}

void HttpConnection::takeInput(std::string_view input)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->ignoresInput) {
            this->ignoredBytes += input.size();
            return;
        }
    }
    this->parse(input);
}

void HttpConnection::parse(std::string_view input)
{
    while (!input.empty()) {
        if (!this->mayParse(input)) {
            return;
        }
        switch (this->parser.parse(input)) {
        case ParseResult::NeedsMore:
            break;
        case ParseResult::HeadComplete:
            if (!this->checkHead()) {
                return;
            }
            break;
        case ParseResult::Complete:
            this->handOn();
            break;
        case ParseResult::BodyTooLong:
            this->refuse(ContentTooLarge, Schema::Reason::BodyTooLarge,
                         "the body exceeds the limit of " + std::to_string(this->server->bodyLimit)
                                 + " bytes");
            return;
        case ParseResult::Malformed:
            this->refuse(BadRequest, Schema::Reason::Malformed, "HTTP: " + this->parser.error());
            return;
        }
    }
    if (this->parser.isStarted()) {
        this->noteUnfinishedRequest();
    }
}

/// False if \a input is kept until the request before it is answered, or ignored.
bool HttpConnection::mayParse(std::string_view input)
{
    Holding current;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->ignoresInput || this->isClosed) {
            return false;
        }
        if (!this->isBusy && !this->hasAhead) {
            return true;
        }
        this->hasAhead = true;
        this->ahead += input;
        this->holding.bytes += input.size();
        ++this->holding.revision;
        current = this->holding;
    }
    if (!this->isParsingAhead) {
        this->aheadArrivedMs = this->lastArrivalMs();
    }
    this->server->update(current);
    return false;
}

/// Reads on where the input was kept while a request was being answered.
void HttpConnection::parseAhead()
{
    std::string input;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->isBusy || this->isClosed || this->ignoresInput) {
            return;
        }
        input.swap(this->ahead);
        this->hasAhead = false;
    }
    this->isParsingAhead = true;
    this->parse(input);
    this->isParsingAhead = false;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->requestsAhead = this->hasAhead ? this->requestsAhead : 0;
    }
    this->waitForInput();
}

/// Decides on a request by its head, before its body is read. False if it is refused.
bool HttpConnection::checkHead()
{
    const std::size_t bytes = this->parser.heldBytes() + this->parser.announcedBytes().value_or(0);
    if (!this->server->budget->admits(bytes)) {
        this->refuseForRoom(bytes);
        return false;
    }
    // Some callers, such as curl's command line, send an Expect header before a long body and wait
    // a second for the interim answer.
    if (this->parser.expectsContinue()) {
        this->sendContinue();
    }
    return true;
}

void HttpConnection::sendContinue()
{
    static const std::string interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
    // A caller that does not get it sends the body after a pause.
    ::send(this->socket.native_handle(), interimAnswer.data(), interimAnswer.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL);
}

void HttpConnection::noteUnfinishedRequest()
{
    Holding current;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->setHolding(this->parser.isHeadComplete() ? HoldingStage::Body : HoldingStage::Head,
                         this->parser.heldBytes());
        current = this->holding;
    }
    this->server->update(current);
}

/// Passes the whole request to the handler.
void HttpConnection::handOn()
{
    const bool isLast = !this->parser.isKeptAlive();
    const std::size_t bytes = this->parser.heldBytes() + RequestOverheadBytes;
    HttpRequest request = this->parser.takeRequest();
    std::unique_ptr<ListenerBudget::Charge> charge = this->server->budget->charge(bytes);
    if (!charge) {
        this->refuseForRoom(bytes);
        return;
    }
    request.connection = this->connectionNumber;
    request.arrivedMs = this->isParsingAhead ? this->aheadArrivedMs : this->lastArrivalMs();
    this->requestsAhead += this->isParsingAhead ? 1 : 0;
    Holding current;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isBusy = true;
        // The connection ends after the answers that are due, which tells the caller that what it
        // has sent beyond the limit was not processed.
        this->ignoresInput = isLast || this->requestsAhead >= MaxRequestsAhead;
        this->setHolding(HoldingStage::Running, 0);
        current = this->holding;
    }
    this->server->update(current);
    this->handle(std::move(request), std::move(charge));
}

void HttpConnection::handle(HttpRequest request, std::unique_ptr<ListenerBudget::Charge> charge)
{
    try {
        this->server->handler(std::move(request),
                              HttpReply(std::make_shared<HttpReply::Implementation>(
                                      this->shared_from_this(), this->server, std::move(charge))));
    } catch (const std::exception &error) {
        // The reply that was not sent has answered with status 500.
        Common::logEvent(Common::LogLevel::Error, "request_handler_failed",
                         {{"connection", this->connectionNumber}, {"detail", error.what()}});
    }
}

/// Answers in place of the handler and ends the connection. Further input belongs to the refused
/// request and is ignored.
void HttpConnection::refuse(int status, Schema::Reason reason, const std::string &detail)
{
    this->parser.discard();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isBusy = true;
        this->ignoresInput = true;
    }
    this->server->refused(reason);
    this->answer(refusal(status, reason, detail));
}

void HttpConnection::refuseForRoom(std::size_t bytes)
{
    this->server->report.refused(bytes, this->clientAddress(), Common::currentMoment().steadyMs);
    this->refuseOverloaded();
}

void HttpConnection::refuseOverloaded()
{
    this->refuse(Unavailable, Schema::Reason::Overloaded,
                 "this process has no room for the request; nothing has run");
}

void HttpConnection::release(const Release &release)
{
    boost::asio::dispatch(this->loop->context,
                          [self = this->shared_from_this(), release] { self->carryOut(release); });
}

void HttpConnection::carryOut(const Release &release)
{
    Holding current;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->isClosed) {
            return;
        }
        ++this->holding.revision;
        current = this->holding;
    }
    if (current.stage == HoldingStage::Running) {
        this->server->update(current);
        return;
    }
    this->server->released(release);
    this->server->report.released(release, this->clientAddress(), Common::currentMoment().steadyMs);
    const bool isUnfinished =
            current.stage == HoldingStage::Head || current.stage == HoldingStage::Body;
    if (isUnfinished && release.cause == ReleaseCause::TimedOut) {
        this->refuse(RequestTimeout, Schema::Reason::RequestTimedOut,
                     "the request did not come in time; nothing has run");
    } else if (isUnfinished && release.cause == ReleaseCause::Memory) {
        this->refuseOverloaded();
    } else if (current.stage == HoldingStage::Answer) {
        this->dropAnswer(release);
    } else {
        // What the kernel still has of the last answer is delivered.
        this->close();
    }
}

/// Ends the connection so that the caller does not take what it has received for the whole answer.
void HttpConnection::dropAnswer(const Release &release)
{
    const bool isStalled = release.cause == ReleaseCause::TimedOut;
    this->server->dropped({this->connectionNumber, release.bytes,
                           isStalled ? DropCause::Stalled : DropCause::Memory});
    const linger discardsUnsent{1, 0};
    ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_LINGER, &discardsUnsent,
                 sizeof discardsUnsent);
    this->close();
}

/// The caller has closed the connection or its sending side. An answer that is being written goes
/// on: the caller may have ended only its sending.
void HttpConnection::callerEnded()
{
    bool isWriting = false;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isDisconnected = true;
        isWriting = this->isWatched;
    }
    if (isWriting) {
        this->reportDisconnection();
    } else {
        this->close();
    }
}

void HttpConnection::close()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->isClosed) {
            return;
        }
        this->isDisconnected = true;
        this->endWatch();
        this->ahead = std::string();
    }
    this->parser.discard();
    this->reportDisconnection();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isClosed = true;
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }
    this->server->budget->close(this->connectionNumber);
    this->server->remove(this->connectionNumber);
}

void HttpConnection::reportDisconnection()
{
    if (!std::exchange(this->isReported, true)) {
        --this->server->connections;
        this->server->disconnected(this->connectionNumber);
    }
}

bool HttpConnection::hasCallerLeft()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->isDisconnected) {
        return true;
    }
    pollfd watched{this->socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&watched, 1, 0) > 0;
}

/// Counts \a bytes and the input that is kept. The caller holds the mutex.
void HttpConnection::setHolding(HoldingStage stage, std::size_t bytes)
{
    const bool wasUnfinished =
            this->holding.stage == HoldingStage::Head || this->holding.stage == HoldingStage::Body;
    const bool isUnfinished = stage == HoldingStage::Head || stage == HoldingStage::Body;
    if (stage != this->holding.stage && !(wasUnfinished && isUnfinished)) {
        this->holding.sinceMs = Common::currentMoment().steadyMs;
    }
    this->holding.stage = stage;
    this->holding.bytes = bytes + this->ahead.size();
    ++this->holding.revision;
}

/// When the last bytes arrived at this machine, on the steady clock. They lie unread while the
/// process is frozen or busy.
std::int64_t HttpConnection::lastArrivalMs()
{
    tcp_info info{};
    socklen_t length = sizeof info;
    const bool isKnown =
            ::getsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
    const std::int64_t unreadMs = isKnown ? static_cast<std::int64_t>(info.tcpi_last_data_recv) : 0;
    return Common::currentMoment().steadyMs - unreadMs;
}

std::string HttpConnection::clientAddress()
{
    boost::system::error_code failed;
    const auto endpoint = this->socket.remote_endpoint(failed);
    return failed ? std::string() : endpoint.address().to_string(failed);
}

} // namespace Net
