#include "Net/HttpConnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pistache/http_defs.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <utility>

#include "Common/Clock.h"
#include "Common/Log.h"

namespace Net {

namespace {

/// How long stop() waits until answers that were sent are written to their connections.
constexpr std::chrono::seconds FlushTimeout{2};
/// Requests that a caller may send before it has received the answers to earlier ones.
constexpr std::size_t MaxWaitingRequests = 16;
/// Bytes that are written to one connection before others have their turn.
constexpr std::size_t MaxBytesPerTurn = std::size_t{1} << 20U;

std::string encodeHead(const HttpResponse &response, bool closesConnection)
{
    const auto code = static_cast<Pistache::Http::Code>(response.status);
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' '
                       + Pistache::Http::codeString(code) + "\r\n";
    head += closesConnection ? "Connection: Close\r\n" : "Connection: Keep-Alive\r\n";
    if (response.retryAfterSeconds > 0) {
        head += "Retry-After: " + std::to_string(response.retryAfterSeconds) + "\r\n";
    }
    head += "Content-Type: " + response.contentType + "\r\n";
    head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    return head;
}

iovec partOf(std::string &text, std::size_t offset)
{
    return {text.data() + offset, text.size() - offset};
}

std::size_t bytesLeft(const OutgoingAnswer &answer)
{
    return answer.head.size() + answer.body.size() - answer.written;
}

/// Bytes that a request takes while it waits, but for its query.
std::size_t sizeOf(const HttpRequest &request)
{
    std::size_t bytes = request.path.size() + request.body.size();
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

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

struct HttpReply::Implementation
{
    Implementation(std::shared_ptr<HttpConnection> connection,
                   std::shared_ptr<HttpServerState> server)
        : connection(std::move(connection))
        , server(std::move(server))
    {}
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    ~Implementation()
    {
        constexpr int InternalServerError = 500;
        HttpResponse response;
        response.status = InternalServerError;
        this->send(std::move(response));
    }

    bool send(HttpResponse response)
    {
        if (this->isAnswered.exchange(true)) {
            return false;
        }
        const std::shared_lock<std::shared_mutex> lock(this->server->mutex);
        return this->server->isOpen && this->connection->answer(std::move(response));
    }

    bool hasCallerLeft()
    {
        const std::shared_lock<std::shared_mutex> lock(this->server->mutex);
        return !this->server->isOpen || this->connection->hasCallerLeft();
    }

    std::shared_ptr<HttpConnection> connection;
    std::shared_ptr<HttpServerState> server;
    std::atomic<bool> isAnswered = false;
};

HttpReply::HttpReply(std::shared_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{}

bool HttpReply::send(HttpResponse response) const
{
    return this->implementation->send(std::move(response));
}

bool HttpReply::hasCallerLeft() const
{
    return this->implementation->hasCallerLeft();
}

HttpConnection::HttpConnection(std::uint64_t number, int socket,
                               std::shared_ptr<HttpServerState> server)
    : connectionNumber(number)
    , socket(socket)
    , server(std::move(server))
{}

bool HttpConnection::isInputIgnored()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->ignoresInput;
}

std::int64_t HttpConnection::lastArrivalMs()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    tcp_info info{};
    socklen_t length = sizeof info;
    const bool isKnown = !this->isDisconnected
                         && ::getsockopt(this->socket, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
    const std::int64_t unreadMs = isKnown ? static_cast<std::int64_t>(info.tcpi_last_data_recv) : 0;
    return Common::currentMoment().steadyMs - unreadMs;
}

void HttpConnection::receive(ReceivedRequest received)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->ignoresInput || this->isDisconnected) {
            return;
        }
        this->ignoresInput = received.isLast;
        if (this->isBusy) {
            const std::size_t bytes = this->waitingBytes + sizeOf(received.request);
            if (this->waiting.size() == MaxWaitingRequests || bytes > this->server->bodyLimit) {
                // The connection ends after the answers that are due, which tells the caller that
                // this request was not processed.
                this->ignoresInput = true;
                return;
            }
            this->waitingBytes = bytes;
            this->waiting.push_back(std::move(received));
            return;
        }
        this->isBusy = true;
    }
    this->handle(std::move(received));
}

void HttpConnection::handle(ReceivedRequest received)
{
    if (received.refusal) {
        this->answer(std::move(*received.refusal));
        return;
    }
    received.request.connection = this->connectionNumber;
    try {
        this->server->handler(std::move(received.request),
                              HttpReply(std::make_shared<HttpReply::Implementation>(
                                      this->shared_from_this(), this->server)));
    } catch (const std::exception &error) {
        // The reply that was not sent has answered with status 500.
        Common::logEvent(Common::LogLevel::Error, "request_handler_failed",
                         {{"connection", this->connectionNumber}, {"detail", error.what()}});
    }
}

void HttpConnection::handleNext()
{
    ReceivedRequest next;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->waiting.empty()) {
            return;
        }
        next = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->waitingBytes -= sizeOf(next.request);
    }
    this->handle(std::move(next));
}

void HttpConnection::sendContinue()
{
    static const std::string interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->isBusy && !this->isDisconnected) {
        // A caller that does not get it sends the body after a pause.
        ::send(this->socket, interimAnswer.data(), interimAnswer.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
    }
}

bool HttpConnection::answer(HttpResponse response)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->isDisconnected) {
        return false;
    }
    this->ignoresInput = this->ignoresInput || response.closesConnection;
    if (response.closesConnection) {
        this->waiting.clear();
    }
    const bool isLast = this->ignoresInput && this->waiting.empty();
    this->outgoing.emplace();
    this->outgoing->head = encodeHead(response, isLast);
    this->outgoing->body = std::move(response.body);
    const WriteResult result = this->writeOutgoing();
    if (result == WriteResult::Failed) {
        this->outgoing.reset();
        return false;
    }
    if (result == WriteResult::Complete) {
        this->finishAnswer();
        return true;
    }
    return this->watch();
}

bool HttpConnection::hasCallerLeft()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->isDisconnected) {
        return true;
    }
    pollfd watched{this->socket, POLLRDHUP, 0};
    return ::poll(&watched, 1, 0) > 0;
}

/// Leaves the rest of the outgoing answer to the AnswerWriter. The caller holds the mutex.
bool HttpConnection::watch()
{
    const std::size_t bytes = bytesLeft(*this->outgoing);
    const int duplicate = ::fcntl(this->socket, F_DUPFD_CLOEXEC, 0);
    if (duplicate < 0 || !this->server->writer.add(this->shared_from_this(), duplicate, bytes)) {
        this->resetConnection();
        return false;
    }
    this->watchedSocket = duplicate;
    this->server->addUnwritten(1);
    return true;
}

std::size_t HttpConnection::unwrittenBytes()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->outgoing ? bytesLeft(*this->outgoing) : 0;
}

WriteResult HttpConnection::writeMore()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->outgoing) {
        return WriteResult::Complete;
    }
    const WriteResult result = this->writeOutgoing();
    if (result == WriteResult::Failed) {
        this->endWatch();
    } else if (result == WriteResult::Complete) {
        this->endWatch();
        this->finishAnswer();
    }
    return result;
}

/// The caller holds the mutex.
WriteResult HttpConnection::writeOutgoing()
{
    const int target = this->watchedSocket >= 0 ? this->watchedSocket : this->socket;
    OutgoingAnswer &answer = *this->outgoing;
    const std::size_t total = answer.head.size() + answer.body.size();
    const std::size_t before = answer.written;
    while (answer.written < total && answer.written < before + MaxBytesPerTurn) {
        const std::size_t headWritten = std::min(answer.written, answer.head.size());
        std::array<iovec, 2> parts{partOf(answer.head, headWritten),
                                   partOf(answer.body, answer.written - headWritten)};
        msghdr message{};
        message.msg_iov = parts.data();
        message.msg_iovlen = parts.size();
        const ssize_t sent = ::sendmsg(target, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent >= 0) {
            answer.written += static_cast<std::size_t>(sent);
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return answer.written > before ? WriteResult::Partial : WriteResult::Blocked;
        } else if (errno != EINTR) {
            return WriteResult::Failed;
        }
    }
    return answer.written < total ? WriteResult::Partial : WriteResult::Complete;
}

/// The caller holds the mutex.
void HttpConnection::finishAnswer()
{
    this->outgoing.reset();
    if (this->isDisconnected) {
        return;
    }
    if (!this->waiting.empty()) {
        this->server->writer.post([weak = this->weak_from_this()] {
            if (const std::shared_ptr<HttpConnection> self = weak.lock()) {
                self->handleNext();
            }
        });
        return;
    }
    this->isBusy = false;
    if (this->ignoresInput) {
        // The library closes the connection after the caller has closed its side too.
        ::shutdown(this->socket, SHUT_WR);
    }
}

/// Ends the writing of the outgoing answer, if the AnswerWriter has it. The caller holds the mutex.
void HttpConnection::endWatch()
{
    this->outgoing.reset();
    if (this->watchedSocket >= 0) {
        this->watchedSocket = -1;
        this->server->writer.remove(this->connectionNumber);
        this->server->addUnwritten(-1);
    }
}

bool HttpConnection::abort()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->watchedSocket < 0) {
        return false;
    }
    this->resetConnection();
    this->endWatch();
    return true;
}

/// The library finds the connection ended, and closes it. The caller holds the mutex.
void HttpConnection::resetConnection()
{
    this->ignoresInput = true;
    this->waiting.clear();
    this->outgoing.reset();
    const int target = this->watchedSocket >= 0 ? this->watchedSocket : this->socket;
    const linger discardsUnsent{1, 0};
    ::setsockopt(target, SOL_SOCKET, SO_LINGER, &discardsUnsent, sizeof discardsUnsent);
    ::shutdown(target, SHUT_RDWR);
}

void HttpConnection::disconnected()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->isDisconnected = true;
    this->waiting.clear();
}

} // namespace Net
